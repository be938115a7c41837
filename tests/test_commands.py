"""The command line as operators use it: what it prints, and its exit codes."""

from __future__ import annotations

import csv
import io
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from landingdeal.capture.encode import PcapFile, PcapngFile
from landingdeal.capture.sample import Shape, capture_file, packets, traffic
from tests.scenario import ROOT


def landingdeal(*words: str, data: bytes = b"") -> tuple[int, str, str]:
    env = {
        key: value
        for key, value in os.environ.items()
        if key not in ("ROUTER_CONFIG", "LANDINGDEAL_OPERATOR")
    }
    done = subprocess.run(
        [sys.executable, "-m", "landingdeal", *words], cwd=ROOT, env=env, input=data, capture_output=True
    )
    return done.returncode, done.stdout.decode(), done.stderr.decode()


@pytest.fixture(scope="module")
def sample(tmp_path_factory: pytest.TempPathFactory) -> Path:
    path = tmp_path_factory.mktemp("capture") / "sample.pcapng"
    path.write_bytes(capture_file(packets(traffic(Shape(calls=12, transport="TCP"))), PcapngFile()))
    return path


HELPED = ["", "capture", "capture check", "capture info", "capture calls", "capture ladder", "config",
          "config check", "serve"]  # fmt: skip


@pytest.mark.parametrize("words", HELPED)
def test_every_command_has_help(words: str) -> None:
    code, out, err = landingdeal(*words.split(), "--help")
    assert code == 0 and "Usage:" in out and not err


@pytest.mark.parametrize(
    ("words", "told"),
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
def test_what_can_not_run_is_one_line_and_code_2(words: tuple[str, ...], told: str) -> None:
    code, _, err = landingdeal(*words)
    assert code == 2 and told in err and err.count("\n") == 1


def test_check_says_what_is_wrong_and_where(sample: Path) -> None:
    assert landingdeal("capture", "check", str(sample))[0] == 0
    code, out, _ = landingdeal("capture", "check", "--json", str(sample))
    told = json.loads(out)
    assert code == 0 and told["complete"] and told["calls"] == 12 and told["problems"] == []
    cut = sample.with_name("cut")
    cut.write_bytes(sample.read_bytes()[:-30])
    code, out, _ = landingdeal("capture", "check", "--json", str(cut))
    told = json.loads(out)
    (problem,) = told["problems"]
    assert code == 1 and not told["complete"] and problem["kind"] == "truncated-file"
    assert 0 < problem["offset"] < cut.stat().st_size and problem["packet"] == told["packets"] + 1
    code, out, _ = landingdeal("capture", "check", "README.md")
    assert code == 1 and "not-a-capture" in out


def test_calls_as_table_as_csv_and_as_json(sample: Path) -> None:
    code, out, _ = landingdeal("capture", "calls", str(sample))
    assert code == 0 and len(out.splitlines()) == 13
    _, out, _ = landingdeal("capture", "calls", "--csv", str(sample))
    rows = list(csv.DictReader(io.StringIO(out)))
    _, out, _ = landingdeal("capture", "calls", "--json", str(sample))
    objects = [json.loads(line) for line in out.splitlines()]
    assert [row["call_id"] for row in rows] == [row["call_id"] for row in objects] and len(rows) == 12


def test_standard_input_and_a_ladder(sample: Path) -> None:
    code, out, _ = landingdeal("capture", "info", "--json", "-", data=sample.read_bytes())
    assert code == 0 and json.loads(out)["calls"] == 12
    _, out, _ = landingdeal("capture", "calls", "--json", str(sample))
    stood = next(one for one in map(json.loads, out.splitlines()) if one["outcome"] == "stood")
    code, out, _ = landingdeal("capture", "ladder", stood["call_id"], str(sample))
    assert code == 0 and out.splitlines()[2].rstrip().endswith(">|") and " 180 Ringing " in out
    assert stood["call_id"] in out.splitlines()[0]


def test_several_files_are_one_capture(sample: Path) -> None:
    made = packets(traffic(Shape(calls=10)))
    names = [sample.with_name(f"part{n}") for n in range(2)]
    for n, name in enumerate(names):
        name.write_bytes(capture_file(made[n::2], PcapFile()))
    code, out, _ = landingdeal("capture", "check", "--json", *map(str, names))
    assert code == 0 and json.loads(out)["calls"] == 10


def test_config_check_names_every_file(tmp_path: Path) -> None:
    bad = tmp_path / "bad.toml"
    bad.write_text("[sop]\n")
    code, out, _ = landingdeal("config", "check", "deploy/operator.toml", str(bad))
    assert code == 1 and "deploy/operator.toml: can be used" in out and "has unknown sections: sop" in out
    code, out, _ = landingdeal("config", "check", "--json", "deploy/operator.toml")
    assert code == 0 and json.loads(out)["files"][0]["problem"] == ""
