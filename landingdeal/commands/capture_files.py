"""`landingdeal capture filter|merge|scrub|repair|compare`: captures made from captures."""

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
from landingdeal.commands.capture import FILES, JSON, calls_of, capture, code_of
from landingdeal.commands.main import CAN_NOT, FOUND

OUT = click.argument("out", type=click.Path(dir_okay=False, path_type=Path))
IN = click.argument("file", type=click.Path(path_type=Path))


def form_of(path: Path) -> CaptureEncoder:
    return PcapngEncoder() if ".pcapng" in path.name else PcapEncoder()


def write(out: Path, messages: Iterable[CapturedMessage]) -> None:
    """Written beside and renamed: a command that is stopped leaves no half of a file."""
    from landingdeal.capture.rewrite import written

    part = out.with_name(out.name + ".part")
    try:
        with part.open("wb") as file:
            for piece in written(messages, form_of(out)):
                file.write(piece)
        os.replace(part, out)
    finally:
        with contextlib.suppress(OSError):
            part.unlink(missing_ok=True)


@capture.command("filter")
@IN
@OUT
@click.option("--where", required=True, help="As: class == voice and status >= 500")
@click.pass_context
def filter_(ctx: click.Context, file: Path, out: Path, where: str) -> None:
    """Write the calls that a filter lets through to another capture."""
    from landingdeal.capture.language import parse

    test, reading = parse(where), ReadReport()
    spans: dict[str, list[tuple[int, int]]] = {}
    for call in calls_of((str(file),), reading, False):
        if test(call):
            last = max([call.start_ns, call.bye_response_ns, *(step.time_ns for step in call.ladder)])
            spans.setdefault(call.call_id, []).append((call.start_ns, last))

    def kept() -> Iterator[CapturedMessage]:
        for seen in read_messages([str(file)], ReadReport()):
            if any(low <= seen.time_ns <= high for low, high in spans.get(seen.message.call_id, ())):
                yield seen

    write(out, kept())
    click.echo(f"{sum(map(len, spans.values()))} calls to {out}")
    ctx.exit(code_of(reading))


@capture.command()
@FILES
@OUT
@click.pass_context
def merge(ctx: click.Context, files: tuple[str, ...], out: Path) -> None:
    """Write the messages of several captures, in order of time, to one."""
    reading = ReadReport()
    write(out, read_messages(files, reading))
    click.echo(f"{reading.counts['messages']} messages of {len(files)} captures to {out}")
    ctx.exit(code_of(reading))


@capture.command()
@IN
@OUT
@click.option("--key", envvar="LANDINGDEAL_SCRUB_KEY", required=True, help="The same key, the same names.")
@click.pass_context
def scrub(ctx: click.Context, file: Path, out: Path, key: str) -> None:
    """Replace names, numbers and addresses, consistently; what is not SIP is left out."""
    from landingdeal.capture.rewrite import Scrubber

    scrubber, reading = Scrubber(key), ReadReport()
    write(out, map(scrubber.seen, read_messages([str(file)], reading)))
    click.echo(f"{reading.counts['messages']} messages to {out}")
    ctx.exit(code_of(reading))


@capture.command()
@IN
@OUT
def repair(file: Path, out: Path) -> None:
    """Cut a damaged tail off: all that is whole is kept."""
    from landingdeal.capture.formats import NotACapture
    from landingdeal.capture.repair import repair as cut

    try:
        done = cut(file, out)
    except NotACapture as error:
        raise click.ClickException(f"{file}: {error}") from None
    what = f"cut {done.removed_bytes} bytes: {done.reason}" if done.reason else "nothing to cut"
    click.echo(f"{out}: {done.packet_count} packets, {done.kept_bytes} bytes; {what}")


@capture.command()
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", type=click.Path(path_type=Path))
@JSON
@click.pass_context
def compare(ctx: click.Context, a: Path, b: Path, as_json: bool) -> None:
    """Compare two captures call by call. Exit code 1 where calls are missing or ended otherwise."""
    from landingdeal.capture.compare import compare as compared
    from landingdeal.capture.compare import shifts
    from landingdeal.capture.results import quantile

    readings = ReadReport(), ReadReport()
    made = compared(calls_of((str(a),), readings[0], False), calls_of((str(b),), readings[1], False))
    later: dict[str, list[float]] = {name: values for name, values in shifts(made).items() if values}
    told: dict[str, Any] = {
        "both": len(made.pairs), "only_a": len(made.only_a), "only_b": len(made.only_b),
        "differing": [
            {"a": one.call_id, "b": other.call_id, "a_status": one.status, "b_status": other.status,
             "a_outcome": one.outcome.value, "b_outcome": other.outcome.value}
            for one, other in made.differing
        ],
        "later": {
            name: {
                "p50": round(quantile(values, 0.5), 3),
                "p99": round(quantile(values, 0.99), 3),
                "most": round(max(values + [-value for value in values]), 3),
            }
            for name, values in later.items()
        },
    }  # fmt: skip
    if as_json:
        click.echo(json.dumps(told))
    else:
        click.echo(
            f"{told['both']} calls in both, {told['only_a']} only in {a}, {told['only_b']} only in {b}"
        )
        for row in told["differing"]:
            click.echo(f"{row['a']} {row['a_outcome']} {row['a_status']} -> "
                       f"{row['b']} {row['b_outcome']} {row['b_status']}")  # fmt: skip
        for name, values in told["later"].items():
            click.echo(f"{name:10} later by p50 {values['p50']}, p99 {values['p99']}, most {values['most']}")
    if any(code_of(reading) == CAN_NOT for reading in readings):
        ctx.exit(CAN_NOT)
    ctx.exit(0 if made.equal else FOUND)
