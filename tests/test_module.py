"""Limits of the decision module's source (size, line length, imports), and the example of the README."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_decision_module_stays_within_its_size_limits() -> None:
    lines = [row for row in (ROOT / "badgerstile/control.py").read_text().splitlines() if row.strip()]
    assert len(lines) <= 650
    assert max(map(len, lines)) <= 110


def test_the_decision_module_uses_no_clock_files_or_shared_random_state() -> None:
    text = (ROOT / "badgerstile/control.py").read_text()
    assert not re.search(r"^\s*(import|from) (time|os|sys|socket|datetime|threading|asyncio)\b", text, re.M)
    assert "random.random(" not in text.replace("self.random.random(", "")


def test_the_readme_example_runs() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    exec(compile(example, "README.md", "exec"), {})
