"""`landingdeal capture filter|merge|scrub|repair|compare`: edits and compares captures."""

from __future__ import annotations

import contextlib
import json
import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import click

from landingdeal.capture.encode import CaptureEncoder, PcapEncoder, PcapngEncoder
from landingdeal.capture.messages import CapturedMessage
from landingdeal.capture.reader import ReadReport, read_messages
from landingdeal.commands.capture import FILES_ARGUMENT, JSON_OPTION, capture, exit_code, read_calls
from landingdeal.commands.main import EXIT_CANNOT_RUN, EXIT_PROBLEMS

OUT_ARGUMENT = click.argument("out", type=click.Path(dir_okay=False, path_type=Path))
FILE_ARGUMENT = click.argument("file", type=click.Path(path_type=Path))


def file_format_of(path: Path) -> CaptureEncoder:
    """pcapng if the file name contains `.pcapng`, else pcap."""
    return PcapngEncoder() if ".pcapng" in path.name else PcapEncoder()


def write_capture(out: Path, messages: Iterable[CapturedMessage]) -> None:
    """Writes to a temporary file and renames it, so that an interrupted command leaves no partial file."""
    from landingdeal.capture.rewrite import encode_messages

    part_path = out.with_name(out.name + ".part")
    try:
        with part_path.open("wb") as file:
            for piece in encode_messages(messages, file_format_of(out)):
                file.write(piece)
        os.replace(part_path, out)
    finally:
        with contextlib.suppress(OSError):
            part_path.unlink(missing_ok=True)


@capture.command("filter")
@FILE_ARGUMENT
@OUT_ARGUMENT
@click.option("--where", required=True, help="The filter, for example: class == voice and status >= 500")
@click.pass_context
def filter_(ctx: click.Context, file: Path, out: Path, where: str) -> None:
    """Write the calls that match a filter to another capture."""
    from landingdeal.capture.language import parse_filter

    predicate, reading = parse_filter(where), ReadReport()
    spans: dict[str, list[tuple[int, int]]] = {}
    for call in read_calls((str(file),), reading, False):
        if predicate(call):
            last_ns = max([call.start_ns, call.bye_response_ns, *(step.time_ns for step in call.ladder)])
            spans.setdefault(call.call_id, []).append((call.start_ns, last_ns))

    def selected() -> Iterator[CapturedMessage]:
        for captured in read_messages([str(file)], ReadReport()):
            if any(
                start_ns <= captured.time_ns <= end_ns
                for start_ns, end_ns in spans.get(captured.message.call_id, ())
            ):
                yield captured

    write_capture(out, selected())
    click.echo(f"{sum(map(len, spans.values()))} calls to {out}")
    ctx.exit(exit_code(reading))


@capture.command()
@FILES_ARGUMENT
@OUT_ARGUMENT
@click.pass_context
def merge(ctx: click.Context, files: tuple[str, ...], out: Path) -> None:
    """Merge the messages of several captures, in order of time, into one."""
    reading = ReadReport()
    write_capture(out, read_messages(files, reading))
    click.echo(f"{reading.counts['messages']} messages of {len(files)} captures to {out}")
    ctx.exit(exit_code(reading))


@capture.command()
@FILE_ARGUMENT
@OUT_ARGUMENT
@click.option(
    "--key", envvar="LANDINGDEAL_SCRUB_KEY", required=True, help="The same key gives the same replacements."
)
@click.pass_context
def scrub(ctx: click.Context, file: Path, out: Path, key: str) -> None:
    """Replace names, numbers and addresses consistently; packets that are not SIP are left out."""
    from landingdeal.capture.rewrite import Scrubber

    scrubber, reading = Scrubber(key), ReadReport()
    write_capture(out, map(scrubber.scrub_captured, read_messages([str(file)], reading)))
    click.echo(f"{reading.counts['messages']} messages to {out}")
    ctx.exit(exit_code(reading))


@capture.command()
@FILE_ARGUMENT
@OUT_ARGUMENT
def repair(file: Path, out: Path) -> None:
    """Remove a damaged tail: all complete packets are kept."""
    from landingdeal.capture.formats import NotACapture
    from landingdeal.capture.repair import repair as repair_file

    try:
        repaired = repair_file(file, out)
    except NotACapture as error:
        raise click.ClickException(f"{file}: {error}") from None
    result = f"cut {repaired.removed_bytes} bytes: {repaired.reason}" if repaired.reason else "nothing to cut"
    click.echo(f"{out}: {repaired.packet_count} packets, {repaired.kept_bytes} bytes; {result}")


@capture.command()
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", type=click.Path(path_type=Path))
@JSON_OPTION
@click.pass_context
def compare(ctx: click.Context, a: Path, b: Path, as_json: bool) -> None:
    """Compare two captures call by call. Exit code 1 if calls are missing or ended differently."""
    from landingdeal.capture.compare import compare as compare_calls
    from landingdeal.capture.compare import time_shifts_ms
    from landingdeal.capture.results import quantile

    readings = ReadReport(), ReadReport()
    comparison = compare_calls(
        read_calls((str(a),), readings[0], False), read_calls((str(b),), readings[1], False)
    )
    shifts: dict[str, list[float]] = {
        name: values for name, values in time_shifts_ms(comparison).items() if values
    }
    output: dict[str, Any] = {
        "both": len(comparison.pairs), "only_a": len(comparison.only_a), "only_b": len(comparison.only_b),
        "differing": [
            {"a": call_a.call_id, "b": call_b.call_id, "a_status": call_a.status, "b_status": call_b.status,
             "a_outcome": call_a.outcome.value, "b_outcome": call_b.outcome.value}
            for call_a, call_b in comparison.differing
        ],
        "later": {
            name: {
                "p50": round(quantile(values, 0.5), 3),
                "p99": round(quantile(values, 0.99), 3),
                "most": round(max(values + [-value for value in values]), 3),
            }
            for name, values in shifts.items()
        },
    }  # fmt: skip
    if as_json:
        click.echo(json.dumps(output))
    else:
        click.echo(
            f"{output['both']} calls in both, {output['only_a']} only in {a}, {output['only_b']} only in {b}"
        )
        for row in output["differing"]:
            click.echo(f"{row['a']} {row['a_outcome']} {row['a_status']} -> "
                       f"{row['b']} {row['b_outcome']} {row['b_status']}")  # fmt: skip
        for name, values in output["later"].items():
            click.echo(f"{name:10} later by p50 {values['p50']}, p99 {values['p99']}, most {values['most']}")
    if any(exit_code(reading) == EXIT_CANNOT_RUN for reading in readings):
        ctx.exit(EXIT_CANNOT_RUN)
    ctx.exit(0 if comparison.equal else EXIT_PROBLEMS)
