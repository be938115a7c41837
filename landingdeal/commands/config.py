"""`landingdeal config`."""

from __future__ import annotations

import json
from pathlib import Path

import click

from landingdeal.commands.main import EXIT_PROBLEMS
from landingdeal.errors import ConfigError


def file_problem(path: Path) -> str:
    """Why a file can't be used, else empty. JSON is a platform configuration, TOML an operator's file."""
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
    """Check operator's files (TOML) and platform configurations (JSON). Exit code 1 if one can't be used."""
    problems = {str(path): file_problem(path) for path in files}
    if as_json:
        click.echo(
            json.dumps({"files": [{"file": name, "problem": problem} for name, problem in problems.items()]})
        )
    else:
        for name, problem in problems.items():
            click.echo(f"{name}: {problem or 'can be used'}")
    ctx.exit(EXIT_PROBLEMS if any(problems.values()) else 0)
