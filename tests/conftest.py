"""Known failures (KNOWN-RED.txt), and hypothesis settings: each run draws the same examples."""

from __future__ import annotations

from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter
from hypothesis import settings

settings.register_profile("same", derandomize=True, database=None)
settings.load_profile("same")

KNOWN_FAILURES_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_failures() -> dict[str, str]:
    """The entries of KNOWN-RED.txt by test id: `id | command and seed | what was seen | issue`."""
    if not KNOWN_FAILURES_PATH.exists():
        return {}
    lines = [
        line
        for line in KNOWN_FAILURES_PATH.read_text(encoding="utf-8").splitlines()
        if line[:1] not in ("", "#")
    ]
    return {name.strip(): rest.strip() for name, _, rest in (line.partition("|") for line in lines)}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks known failures as xfail; an entry that names no test is an error, so that none is left behind."""
    known_entries = known_failures()
    for item in items:
        if item.nodeid in known_entries:
            item.add_marker(pytest.mark.xfail(reason=known_entries[item.nodeid], strict=False))
    test_ids = {item.nodeid for item in items}
    full_run = not config.option.keyword and all(not Path(arg).suffix for arg in config.args)
    unknown_ids = sorted(set(known_entries) - test_ids) if full_run else []
    if unknown_ids:
        raise pytest.UsageError(f"KNOWN-RED.txt names tests that do not exist: {unknown_ids}")


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    """Prints the known failures that ran."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.getreports(outcome):
            terminalreporter.write_line(f"KNOWN RED ({outcome}): {report.nodeid} | {report.wasxfail}")
