"""`landingdeal capture`: what is in captures, and what is wrong with them."""

from __future__ import annotations

import csv
import json
import sys
from collections import Counter
from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any

import click

from landingdeal.capture.calls import CallRecord, Calls
from landingdeal.capture.problems import Kind
from landingdeal.capture.reader import Reading, read
from landingdeal.capture.views import FIELDS, as_row, call_table, ladder_of
from landingdeal.commands.main import CAN_NOT, FOUND

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
