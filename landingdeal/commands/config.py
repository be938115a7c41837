"""`landingdeal config`."""

from __future__ import annotations

import json
from pathlib import Path

import click

from landingdeal.commands.main import FOUND
from landingdeal.errors import ConfigError


def problem_of(path: Path) -> str:
    """What is wrong with a file; empty if it can be used. JSON is the platform's, all else the operator's."""
    text = path.read_text(encoding="utf-8")
    try:
        if text.lstrip().startswith("{"):
            from landingdeal.net.config import read_config

            read_config(text)
        else:
            from landingdeal.operator_config import parse_operator_config

            parse_operator_config(text)
    except ConfigError as error:
        return str(error)
    return ""


@click.group()
def config() -> None:
    """Check configuration files."""


@config.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="One JSON object, for machines.")
@click.pass_context
def check(ctx: click.Context, files: tuple[Path, ...], as_json: bool) -> None:
    """Check operator's files (TOML) and platform configurations (JSON); code 1 where one can't be used."""
    found = {str(path): problem_of(path) for path in files}
    if as_json:
        click.echo(json.dumps({"files": [{"file": name, "problem": why} for name, why in found.items()]}))
    else:
        for name, why in found.items():
            click.echo(f"{name}: {why or 'can be used'}")
    ctx.exit(FOUND if any(found.values()) else 0)
