"""Ports of test peers in several processes at once."""

from __future__ import annotations

import os
import subprocess
import sys

from landingdeal.lab.ports import BLOCKS, PORTS_PER_BLOCK, free_port
from tests.scenario import ROOT

TAKE_PORTS = """
import os
os.getpid = lambda: {process_id}
from landingdeal.lab.ports import free_port
print(*[free_port() for _ in range({count})], flush=True)
input()
"""


def test_processes_that_run_at_once_share_no_port() -> None:
    """A program that still dials a peer of one test would reach a peer of another one."""
    code = TAKE_PORTS.format(process_id=os.getpid() + BLOCKS, count=PORTS_PER_BLOCK + 20)
    with subprocess.Popen(
        [sys.executable, "-c", code], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as other:
        assert other.stdin is not None and other.stdout is not None
        others = {int(port) for port in other.stdout.readline().split()}
        own = {free_port() for _ in range(PORTS_PER_BLOCK + 20)}
        other.stdin.close()
    assert len(others) == PORTS_PER_BLOCK + 20 and not own & others
