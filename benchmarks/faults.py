"""Runs many fault trials: `python -m benchmarks.faults --seeds 1-50 --at-once 4`.

Each trial draws its plan from its seed and runs it against a process of its own. Prints one line per
trial and every broken rule; exit code 1 if any rule was broken.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from landingdeal.lab.trial.trial import draw_plan, run_trial

ROOT = Path(__file__).resolve().parent.parent


def parse_seeds(text: str) -> list[int]:
    """Reads a seed or a range such as 1-50."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def run_one_trial(seed: int, logs: str) -> int:
    """Runs a trial, prints its result and returns the exit code."""
    result = run_trial(draw_plan(seed))
    exit_times = ", ".join(f"{ms:.0f}" for ms in result.exits_ms)
    print(
        f"seed {seed}: {result.sent} sent, {result.answered} answered, {result.established} established, "
        f"{result.max_descriptors} descriptors, ended after [{exit_times}] ms, "
        f"test environment's lag {result.max_lag_ms:.0f} ms, "
        f"{len(result.violations)} broken"
    )
    for line in result.violations:
        print(f"  seed {seed}: {line}")
    if logs and result.violations:
        Path(logs).mkdir(parents=True, exist_ok=True)
        (Path(logs) / f"{seed}.log").write_text(result.log)
    return 1 if result.violations else 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-50")
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--logs", default="", help="a folder for the logs of trials that broke a rule")
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.one is not None:
        return run_one_trial(args.one, args.logs)

    def run_in_process(seed: int) -> int:
        """Runs the trial in a process of its own, because it keeps one thread busy."""
        command = [sys.executable, "-m", "benchmarks.faults", "--one", str(seed), "--logs", args.logs]
        completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
        print(completed.stdout + completed.stderr[-2000:], end="", flush=True)
        return completed.returncode

    seeds = parse_seeds(args.seeds)
    with ThreadPoolExecutor(args.at_once) as pool:
        exit_codes = list(pool.map(run_in_process, seeds))
    failed = [seed for seed, code in zip(seeds, exit_codes, strict=True) if code]
    print(f"{len(seeds)} trials, {len(failed)} with broken rules: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
