"""`landingdeal capture check|info|calls|replay|ladder`: inspects and replays captures."""

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

from landingdeal.capture.calls import CallRecord, CallTracker
from landingdeal.capture.problems import ProblemKind
from landingdeal.capture.reader import ReadReport, read_messages
from landingdeal.capture.retries import ReplayRetryPolicy
from landingdeal.capture.views import COLUMNS, as_row, call_table, ladder_lines
from landingdeal.commands.main import EXIT_CANNOT_RUN, EXIT_PROBLEMS
from landingdeal.errors import parse_address

FILES_ARGUMENT = click.argument("files", nargs=-1, required=True)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="One JSON object, for machines.")
STRICT_CHECKSUMS_OPTION = click.option(
    "--strict-checksums", is_flag=True, help="Drop packets with a wrong checksum."
)


@click.group()
def capture() -> None:
    """Inspect, replay and edit captures: pcap or pcapng, plain, gzip or zstd; `-` for standard input."""


def read_calls(files: tuple[str, ...], reading: ReadReport, strict: bool) -> Iterator[CallRecord]:
    """The calls of the files. Counts and problems go to `reading`."""
    calls = CallTracker()
    for captured in read_messages(files, reading, strict):
        yield from calls.feed(captured)
    yield from calls.end()


def check_report(reading: ReadReport, calls: int) -> dict[str, Any]:
    """The JSON object that `check --json` prints."""
    problems = [
        {"kind": p.kind.value, "offset": p.offset, "packet": p.packet, "detail": p.detail, "file": p.file}
        for p in reading.problems.listed
    ]
    return {
        "packets": reading.counts["packets"], "messages": reading.counts["messages"], "calls": calls,
        "complete": reading.complete, "problems": problems,
        "kinds": {kind.value: count for kind, count in sorted(reading.problems.counts.items())},
        "counts": dict(sorted(reading.counts.items())),
    }  # fmt: skip


def exit_code(reading: ReadReport) -> int:
    """2 if nothing was read and a file is not a capture; 1 for other problems; otherwise 0."""
    if reading.problems.counts[ProblemKind.NOT_A_CAPTURE] and not reading.counts["packets"]:
        return EXIT_CANNOT_RUN
    return 0 if reading.complete else EXIT_PROBLEMS


@capture.command()
@FILES_ARGUMENT
@STRICT_CHECKSUMS_OPTION
@JSON_OPTION
@click.pass_context
def check(ctx: click.Context, files: tuple[str, ...], strict_checksums: bool, as_json: bool) -> None:
    """List all problems of captures. Exit code 1 if there are any."""
    reading = ReadReport()
    calls = sum(1 for _ in read_calls(files, reading, strict_checksums))
    if as_json:
        click.echo(json.dumps(check_report(reading, calls)))
    else:
        for problem in reading.problems.listed:
            click.echo(problem.line())
        omitted = len(reading.problems) - len(reading.problems.listed)
        if omitted:
            click.echo(f"{omitted} more problems")
        click.echo(
            f"{reading.counts['packets']} packets, {reading.counts['messages']} messages, {calls} calls, "
            f"{len(reading.problems) or 'no'} problems"
        )
    ctx.exit(EXIT_PROBLEMS if not reading.complete else 0)


@capture.command()
@FILES_ARGUMENT
@JSON_OPTION
@click.pass_context
def info(ctx: click.Context, files: tuple[str, ...], as_json: bool) -> None:
    """Summarize captures: time span, packets, calls by outcome and class."""
    reading = ReadReport()
    outcomes: Counter[str] = Counter()
    classes: Counter[str] = Counter()
    retried = incomplete = 0
    for call in read_calls(files, reading, False):
        outcomes[call.outcome.value] += 1
        classes[call.class_name or "-"] += 1
        retried += bool(call.first_try)
        incomplete += call.started_before_capture or call.cut_off
    seconds = (reading.last_ns - reading.first_ns) / 1e9
    summary: dict[str, Any] = {
        "first": datetime.fromtimestamp(reading.first_ns / 1e9, UTC).isoformat(timespec="milliseconds"),
        "seconds": round(seconds, 3), "packets": reading.counts["packets"],
        "messages": reading.counts["messages"], "calls": outcomes.total(),
        "outcomes": dict(sorted(outcomes.items())),
        "classes": dict(sorted(classes.items())), "tried again": retried,
        "begun before or cut off": incomplete, "problems": len(reading.problems),
        "counts": dict(sorted(reading.counts.items())),
    }  # fmt: skip
    if as_json:
        click.echo(json.dumps(summary))
    else:
        for name, value in summary.items():
            if isinstance(value, dict):
                value = ", ".join(f"{count} {label}" for label, count in value.items())
            click.echo(f"{name:24} {value}")
    ctx.exit(exit_code(reading))


@capture.command()
@FILES_ARGUMENT
@click.option("--csv", "as_csv", is_flag=True, help="Comma-separated values with a header line.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object per line, for machines.")
@click.pass_context
def calls(ctx: click.Context, files: tuple[str, ...], as_csv: bool, as_json: bool) -> None:
    """List the calls, one per line."""
    reading = ReadReport()
    records = read_calls(files, reading, False)
    if as_json:
        for call in records:  # one object per line, so that memory does not grow with the file
            click.echo(json.dumps(as_row(call)))
    elif as_csv:
        writer = csv.DictWriter(sys.stdout, COLUMNS)
        writer.writeheader()
        for call in records:
            writer.writerow(as_row(call))
    else:
        for line in call_table(records):
            click.echo(line)
    ctx.exit(exit_code(reading))


@capture.command()
@FILES_ARGUMENT
@click.option(
    "--to", required=True, metavar="ADDRESS:PORT", help="The address to which the calls are offered."
)
@click.option(
    "--transport", type=click.Choice(["udp", "tcp"]), help="Transport to use instead of the recorded one."
)
@click.option("--speed", type=click.FloatRange(0.001, 1000), default=1.0, show_default=True)
@click.option(
    "--scale",
    type=click.IntRange(1, 1000),
    default=1,
    show_default=True,
    help="Calls offered for each recorded call.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--from", "from_s", type=float, default=0.0, help="Skip calls before this many seconds after the first."
)
@click.option("--until", "until_s", type=float, help="Skip calls from this many seconds after the first.")
@click.option(
    "--filter",
    "where",
    default="",
    help="Offer only matching calls, for example: class == voice and status >= 500",
)
@click.option(
    "--retries",
    type=click.Choice([p.value for p in ReplayRetryPolicy]),
    default="recorded",
    show_default=True,
)
@click.option("--outstanding", type=click.IntRange(1), default=10_000, show_default=True)
@click.option("--per-s", type=click.FloatRange(0.1), default=5000.0, show_default=True)
@click.option(
    "--t1-ms", type=click.FloatRange(1, 10_000), default=500.0, show_default=True, help="RFC 3261 T1."
)
@click.option(
    "--state",
    type=click.Path(dir_okay=False, path_type=Path),
    help="File to save progress in and to resume from.",
)
@click.option("--calls", "each", is_flag=True, help="Also print one line per call.")
@JSON_OPTION
@click.pass_context
def replay(
    ctx: click.Context, /, files: tuple[str, ...], to: str, transport: str | None, **given: Any
) -> None:
    """Offer the calls of captures to an address as open-loop load.

    Exit code 1 if a call had an error or several final answers, or the replay was interrupted.
    """
    from landingdeal.capture.limits import ReplayLimits
    from landingdeal.capture.plan import ReplayOptions, SkippedCalls, plan
    from landingdeal.capture.replay import Replay
    from landingdeal.capture.results import rows, summary

    reading, skipped = ReadReport(), SkippedCalls({})
    options = ReplayOptions(
        given["speed"],
        given["scale"],
        seed=given["seed"],
        retries=ReplayRetryPolicy(given["retries"]),
        transport=(transport or "").upper(),
    )
    records = select_calls(files, reading, given["where"], given["from_s"], given["until_s"])
    planned = plan(records, options, skipped)
    if not planned:
        raise click.ClickException(f"nothing to offer in {', '.join(files)}: {skipped.reasons or 'no calls'}")
    limits = ReplayLimits(max_pending=given["outstanding"], max_per_s=given["per_s"])
    runner = Replay(
        planned, parse_address(to, "--to"), options, limits, state_file=given["state"], t1_ms=given["t1_ms"]
    )
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: runner.stop())
    report = runner.run()
    output = {"planned": len(planned), "left_out": skipped.reasons, **summary(report)}
    if given["as_json"]:
        if given["each"]:
            output["each"] = list(rows(report))
        click.echo(json.dumps(output))
    else:
        for row in rows(report) if given["each"] else ():
            click.echo("  ".join(f"{name}={value}" for name, value in row.items() if value not in ("", -1)))
        for name, value in output.items():
            click.echo(f"{name:16} {value}")
    ctx.exit(EXIT_PROBLEMS if output["errors"] or output["twice_answered"] or report.stopped else 0)


def select_calls(
    files: tuple[str, ...], reading: ReadReport, filter_text: str, from_s: float, until_s: float | None
) -> Iterator[CallRecord]:
    """The calls in a time span that match a filter."""
    from landingdeal.capture.language import parse_filter

    predicate, first_ns = parse_filter(filter_text), -1
    for call in read_calls(files, reading, False):
        first_ns = call.start_ns if first_ns < 0 else min(first_ns, call.start_ns)
        offset_s = (call.start_ns - first_ns) / 1e9
        if offset_s >= from_s and (until_s is None or offset_s < until_s) and predicate(call):
            yield call


@capture.command()
@click.argument("call")
@FILES_ARGUMENT
@click.pass_context
def ladder(ctx: click.Context, call: str, files: tuple[str, ...]) -> None:
    """Draw the ladder diagram of one CALL, given by its number or Call-ID."""
    reading = ReadReport()
    for record in read_calls(files, reading, False):
        if call in (record.call_id, str(record.number)):
            for line in ladder_lines(record):
                click.echo(line)
            return
    raise click.ClickException(f"no call {call!r} in {', '.join(files)}")
