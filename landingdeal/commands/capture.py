"""`landingdeal capture`: what is in captures, and what is wrong with them."""

from __future__ import annotations

import csv
import json
import signal
import sys
from collections import Counter
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click

from landingdeal.capture.calls import CallRecord, Calls
from landingdeal.capture.problems import Kind
from landingdeal.capture.reader import Reading, read
from landingdeal.capture.retries import Policy
from landingdeal.capture.views import FIELDS, as_row, call_table, ladder_of
from landingdeal.commands.main import CAN_NOT, FOUND
from landingdeal.errors import parse_address

FILES = click.argument("files", nargs=-1, required=True)
JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object, for machines.")
STRICT = click.option("--strict-checksums", is_flag=True, help="Drop packets whose checksum is wrong.")


@click.group()
def capture() -> None:
    """Read, check and look into captures: pcap and pcapng, plain, gzip or zstd; `-` is standard input."""


def calls_of(files: tuple[str, ...], reading: Reading, strict: bool) -> Iterator[CallRecord]:
    calls = Calls()
    for seen in read(files, reading, strict):
        yield from calls.feed(seen)
    yield from calls.end()


def told(reading: Reading, calls: int) -> dict[str, Any]:
    """What `check --json` prints."""
    problems = [
        {"kind": p.kind.value, "offset": p.offset, "packet": p.packet, "detail": p.detail, "file": p.file}
        for p in reading.problems.kept
    ]
    return {
        "packets": reading.counts["packets"], "messages": reading.counts["messages"], "calls": calls,
        "complete": reading.complete, "problems": problems,
        "kinds": {kind.value: count for kind, count in sorted(reading.problems.counts.items())},
        "counts": dict(sorted(reading.counts.items())),
    }  # fmt: skip


def code_of(reading: Reading) -> int:
    """2 where nothing could be read since a file is no capture; 1 with other problems."""
    if reading.problems.counts[Kind.NOT_A_CAPTURE] and not reading.counts["packets"]:
        return CAN_NOT
    return 0 if reading.complete else FOUND


@capture.command()
@FILES
@STRICT
@JSON
@click.pass_context
def check(ctx: click.Context, files: tuple[str, ...], strict_checksums: bool, as_json: bool) -> None:
    """Say everything that is wrong with captures. Exit code 1 where anything is."""
    reading = Reading()
    calls = sum(1 for _ in calls_of(files, reading, strict_checksums))
    if as_json:
        click.echo(json.dumps(told(reading, calls)))
    else:
        for problem in reading.problems.kept:
            click.echo(problem.line())
        left = len(reading.problems) - len(reading.problems.kept)
        if left:
            click.echo(f"{left} more problems")
        click.echo(
            f"{reading.counts['packets']} packets, {reading.counts['messages']} messages, {calls} calls, "
            f"{len(reading.problems) or 'no'} problems"
        )
    ctx.exit(FOUND if not reading.complete else 0)


@capture.command()
@FILES
@JSON
@click.pass_context
def info(ctx: click.Context, files: tuple[str, ...], as_json: bool) -> None:
    """Say what captures hold: span of time, packets, calls by outcome and class."""
    reading = Reading()
    outcomes: Counter[str] = Counter()
    classes: Counter[str] = Counter()
    again = marked = 0
    for call in calls_of(files, reading, False):
        outcomes[call.outcome.value] += 1
        classes[call.class_name or "-"] += 1
        again += bool(call.first_try)
        marked += call.begun_before or call.cut_off
    seconds = (reading.last_ns - reading.first_ns) / 1e9
    rows: dict[str, Any] = {
        "first": datetime.fromtimestamp(reading.first_ns / 1e9, UTC).isoformat(timespec="milliseconds"),
        "seconds": round(seconds, 3), "packets": reading.counts["packets"],
        "messages": reading.counts["messages"], "calls": outcomes.total(),
        "outcomes": dict(sorted(outcomes.items())),
        "classes": dict(sorted(classes.items())), "tried again": again, "begun before or cut off": marked,
        "problems": len(reading.problems), "counts": dict(sorted(reading.counts.items())),
    }  # fmt: skip
    if as_json:
        click.echo(json.dumps(rows))
    else:
        for name, value in rows.items():
            if isinstance(value, dict):
                value = ", ".join(f"{count} {what}" for what, count in value.items())
            click.echo(f"{name:24} {value}")
    ctx.exit(code_of(reading))


@capture.command()
@FILES
@click.option("--csv", "as_csv", is_flag=True, help="Comma-separated values with a head line.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line, for machines.")
@click.pass_context
def calls(ctx: click.Context, files: tuple[str, ...], as_csv: bool, as_json: bool) -> None:
    """List the calls, one a line."""
    reading = Reading()
    found = calls_of(files, reading, False)
    if as_json:
        for call in found:  # one object a line: memory does not grow with the file
            click.echo(json.dumps(as_row(call)))
    elif as_csv:
        writer = csv.DictWriter(sys.stdout, FIELDS)
        writer.writeheader()
        for call in found:
            writer.writerow(as_row(call))
    else:
        for line in call_table(found):
            click.echo(line)
    ctx.exit(code_of(reading))


@capture.command()
@FILES
@click.option("--to", required=True, metavar="ADDRESS:PORT", help="Where the calls are offered.")
@click.option("--transport", type=click.Choice(["udp", "tcp"]), help="Instead of the recorded one.")
@click.option("--speed", type=click.FloatRange(0.001, 1000), default=1.0, show_default=True)
@click.option(
    "--scale", type=click.IntRange(1, 1000), default=1, show_default=True, help="Callers for each one."
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--from", "from_s", type=float, default=0.0, help="Seconds after the first call.")
@click.option("--until", "until_s", type=float, help="Seconds after the first call.")
@click.option("--filter", "where", default="", help="Only these calls, as: class == voice and status >= 500")
@click.option(
    "--retries", type=click.Choice([p.value for p in Policy]), default="recorded", show_default=True
)
@click.option("--outstanding", type=click.IntRange(1), default=10_000, show_default=True)
@click.option("--per-s", type=click.FloatRange(0.1), default=5000.0, show_default=True)
@click.option(
    "--t1-ms", type=click.FloatRange(1, 10_000), default=500.0, show_default=True, help="RFC 3261 T1."
)
@click.option(
    "--state", type=click.Path(dir_okay=False, path_type=Path), help="Progress; goes on from there."
)
@click.option("--calls", "each", is_flag=True, help="Also one line a call.")
@JSON
@click.pass_context
def replay(
    ctx: click.Context, /, files: tuple[str, ...], to: str, transport: str | None, **given: Any
) -> None:
    """Offer the calls of captures to an address, open loop. Exit code 1 where a call had no answer."""
    from landingdeal.capture.limits import Limits
    from landingdeal.capture.plan import Left, Shape, plan
    from landingdeal.capture.replay import Replay
    from landingdeal.capture.results import rows, summary

    reading, left = Reading(), Left({})
    shape = Shape(given["speed"], given["scale"], seed=given["seed"], retries=Policy(given["retries"]),
                  transport=(transport or "").upper())  # fmt: skip
    found = chosen(files, reading, given["where"], given["from_s"], given["until_s"])
    made = plan(found, shape, left)
    if not made:
        raise click.ClickException(f"nothing to offer in {', '.join(files)}: {left.reasons or 'no calls'}")
    limits = Limits(outstanding=given["outstanding"], per_s=given["per_s"])
    engine = Replay(
        made, parse_address(to, "--to"), shape, limits, state_file=given["state"], t1_ms=given["t1_ms"]
    )
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: engine.stop())
    report = engine.run()
    told = {"planned": len(made), "left_out": left.reasons, **summary(report)}
    if given["as_json"]:
        if given["each"]:
            told["each"] = list(rows(report))
        click.echo(json.dumps(told))
    else:
        for row in rows(report) if given["each"] else ():
            click.echo("  ".join(f"{name}={value}" for name, value in row.items() if value not in ("", -1)))
        for name, value in told.items():
            click.echo(f"{name:16} {value}")
    ctx.exit(FOUND if told["errors"] or told["twice_answered"] or report.stopped else 0)


def chosen(
    files: tuple[str, ...], reading: Reading, where: str, from_s: float, until_s: float | None
) -> Iterator[CallRecord]:
    """The calls of a span of time and of a filter."""
    from landingdeal.capture.language import parse

    test, first = parse(where), -1
    for call in calls_of(files, reading, False):
        first = call.start_ns if first < 0 else min(first, call.start_ns)
        at = (call.start_ns - first) / 1e9
        if at >= from_s and (until_s is None or at < until_s) and test(call):
            yield call


@capture.command()
@click.argument("call")
@FILES
@click.pass_context
def ladder(ctx: click.Context, call: str, files: tuple[str, ...]) -> None:
    """Draw the ladder of one CALL, named by its number or its Call-ID."""
    reading = Reading()
    for found in calls_of(files, reading, False):
        if call in (found.call_id, str(found.number)):
            for line in ladder_of(found):
                click.echo(line)
            return
    raise click.ClickException(f"no call {call!r} in {', '.join(files)}")
