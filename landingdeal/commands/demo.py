"""`landingdeal demo`."""

from __future__ import annotations

import json

import click

from landingdeal.commands.main import EXIT_PROBLEMS


@click.command()
@click.option("--calls", type=click.IntRange(1, 2000), default=40, show_default=True)
@click.option("--per-s", type=click.FloatRange(0.1, 500), default=20.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="One JSON object, for machines.")
@click.pass_context
def demo(ctx: click.Context, calls: int, per_s: float, seed: int, as_json: bool) -> None:
    """Start the SIP front and two simulated hubs and replay a small capture.

    Exit code 0 if each call got exactly one final answer.
    """
    from landingdeal.lab.demo import demonstrate

    demonstration = demonstrate(calls, per_s, seed)
    unanswered = demonstration.unanswered
    if as_json:
        click.echo(
            json.dumps(
                {
                    "planned": demonstration.planned,
                    "unanswered": len(unanswered),
                    "calls": demonstration.table,
                }
            )
        )
    else:
        click.echo(f"{'call':>5} {'class':14} {'at ms':>8}  {'answer':12} {'ms':>8} {'late ms':>8}  ended by")
        for row in demonstration.table:
            answer = f"{row['replayed']} {row['replayed_status']}"
            click.echo(f"{row['call']:>5} {row['class']:14} {row['at_ms']:8.0f}  {answer:12} "
                       f"{row['replayed_ms']:8.1f} {row['late_ms']:8.2f}  {row['ended_by']}")  # fmt: skip
        click.echo(f"{demonstration.planned} calls, {len(unanswered)} without exactly one final answer")
    ctx.exit(EXIT_PROBLEMS if unanswered or len(demonstration.table) < demonstration.planned else 0)
