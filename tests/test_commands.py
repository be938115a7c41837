"""Tests of the command line: output and exit codes."""

from __future__ import annotations

import csv
import io
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from landingdeal.capture.encode import PcapEncoder, PcapngEncoder
from landingdeal.capture.sample import TrafficProfile, encode_capture, generate_traffic, to_packets
from tests.scenario import ROOT


def landingdeal(*arguments: str, data: bytes = b"") -> tuple[int, str, str]:
    env = {
        key: value
        for key, value in os.environ.items()
        if key not in ("ROUTER_CONFIG", "LANDINGDEAL_OPERATOR")
    }
    completed = subprocess.run(
        [sys.executable, "-m", "landingdeal", *arguments], cwd=ROOT, env=env, input=data, capture_output=True
    )
    return completed.returncode, completed.stdout.decode(), completed.stderr.decode()


@pytest.fixture(scope="module")
def sample(tmp_path_factory: pytest.TempPathFactory) -> Path:
    path = tmp_path_factory.mktemp("capture") / "sample.pcapng"
    path.write_bytes(
        encode_capture(
            to_packets(generate_traffic(TrafficProfile(call_count=12, transport="TCP"))), PcapngEncoder()
        )
    )
    return path


COMMANDS = ["", "capture", "capture check", "capture info", "capture calls", "capture ladder", "config",
          "config check", "serve"]  # fmt: skip


@pytest.mark.parametrize("words", COMMANDS)
def test_every_command_has_help(words: str) -> None:
    code, out, err = landingdeal(*words.split(), "--help")
    assert code == 0 and "Usage:" in out and not err


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("bogus",), "No such command 'bogus'"),
        (("capture", "check"), "Missing argument"),
        (("capture", "check", "--bogus", "x"), "No such option"),
        (("capture", "check", "no/such/file"), "No such file"),
        (("capture", "ladder", "99", "README.md"), "no call '99'"),
        (("config", "check", "no/such/file"), "No such file"),
        ((), "neither ROUTER_CONFIG nor an operator's file"),
    ],
)
def test_command_that_can_not_run_prints_one_line_and_exits_with_2(
    arguments: tuple[str, ...], message: str
) -> None:
    code, _, errors = landingdeal(*arguments)
    assert code == 2 and message in errors and errors.count("\n") == 1


def test_check_reports_the_problem_and_its_position(sample: Path) -> None:
    assert landingdeal("capture", "check", str(sample))[0] == 0
    code, out, _ = landingdeal("capture", "check", "--json", str(sample))
    report = json.loads(out)
    assert code == 0 and report["complete"] and report["calls"] == 12 and report["problems"] == []
    truncated = sample.with_name("cut")
    truncated.write_bytes(sample.read_bytes()[:-30])
    code, out, _ = landingdeal("capture", "check", "--json", str(truncated))
    report = json.loads(out)
    (problem,) = report["problems"]
    assert code == 1 and not report["complete"] and problem["kind"] == "truncated-file"
    assert 0 < problem["offset"] < truncated.stat().st_size and problem["packet"] == report["packets"] + 1
    code, out, _ = landingdeal("capture", "check", "README.md")
    assert code == 1 and "not-a-capture" in out


def test_calls_prints_a_table_csv_or_json(sample: Path) -> None:
    code, out, _ = landingdeal("capture", "calls", str(sample))
    assert code == 0 and len(out.splitlines()) == 13
    _, out, _ = landingdeal("capture", "calls", "--csv", str(sample))
    rows = list(csv.DictReader(io.StringIO(out)))
    _, out, _ = landingdeal("capture", "calls", "--json", str(sample))
    objects = [json.loads(line) for line in out.splitlines()]
    assert [row["call_id"] for row in rows] == [row["call_id"] for row in objects] and len(rows) == 12


def test_info_reads_standard_input_and_ladder_draws_a_call(sample: Path) -> None:
    code, out, _ = landingdeal("capture", "info", "--json", "-", data=sample.read_bytes())
    assert code == 0 and json.loads(out)["calls"] == 12
    _, out, _ = landingdeal("capture", "calls", "--json", str(sample))
    established = next(call for call in map(json.loads, out.splitlines()) if call["outcome"] == "stood")
    code, out, _ = landingdeal("capture", "ladder", established["call_id"], str(sample))
    assert code == 0 and out.splitlines()[2].rstrip().endswith(">|") and " 180 Ringing " in out
    assert established["call_id"] in out.splitlines()[0]


def test_check_reads_several_files_as_one_capture(sample: Path) -> None:
    all_packets = to_packets(generate_traffic(TrafficProfile(call_count=10)))
    names = [sample.with_name(f"part{n}") for n in range(2)]
    for n, name in enumerate(names):
        name.write_bytes(encode_capture(all_packets[n::2], PcapEncoder()))
    code, out, _ = landingdeal("capture", "check", "--json", *map(str, names))
    assert code == 0 and json.loads(out)["calls"] == 10


def test_config_check_reports_every_file(tmp_path: Path) -> None:
    bad = tmp_path / "bad.toml"
    bad.write_text("[sop]\n")
    code, out, _ = landingdeal("config", "check", "deploy/operator.toml", str(bad))
    assert code == 1 and "deploy/operator.toml: can be used" in out and "has unknown sections: sop" in out
    code, out, _ = landingdeal("config", "check", "--json", "deploy/operator.toml")
    assert code == 0 and json.loads(out)["files"][0]["problem"] == ""
