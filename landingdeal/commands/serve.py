"""`landingdeal serve`."""

from __future__ import annotations

import click

from landingdeal.__main__ import serve as start


@click.command()
@click.option("--operator", envvar="LANDINGDEAL_OPERATOR", default="", help="The operator's file (TOML).")
@click.pass_context
def serve(ctx: click.Context, operator: str) -> None:
    """Start the program: on the platform if ROUTER_CONFIG is set, otherwise the SIP front."""
    ctx.exit(start(operator))
