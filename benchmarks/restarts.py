"""Counts the cost of many restarts under load: `python -m benchmarks.restarts --rounds 1000 --busy`.

Prints one line per kind of round and every request that was lost; exit code 1 if any was lost, answered twice
or left pending. Not part of CI: a thousand rounds take some minutes.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
import time
from concurrent.futures import ThreadPoolExecutor, as_completed
from contextlib import ExitStack
from dataclasses import asdict, replace

from tests.rig.restarts import RoundPlan, RoundTally, busy_cores


def plan_for(kind: str, seed: int, core: int | None) -> RoundPlan:
    """Returns the plan of a round, with a port that differs between neighbouring seeds."""
    return replace(_plan_without_port(kind, seed, core), port=10000 + seed % 9000)


def _plan_without_port(kind: str, seed: int, core: int | None) -> RoundPlan:
    match kind:
        case "surge":
            return RoundPlan(seed=seed, connections=85, surge=40, stop=False, core=core)
        case "surge+stop":
            return RoundPlan(seed=seed, connections=85, surge=40, core=core)
        case "slow hub":
            return RoundPlan(seed=seed, connections=100, answer_delay_ms=(500.0, 2500.0), core=core)
        case _:
            return RoundPlan(seed=seed, connections=50 + seed % 51, core=core)


def run_one(plan: RoundPlan, program: list[str]) -> RoundTally:
    """Runs the round in a process of its own, because the test environment keeps one thread busy."""
    import subprocess

    completed = subprocess.run(
        [sys.executable, "-m", "benchmarks.restarts", "--one", json.dumps(asdict(plan)), "--", *program],
        capture_output=True, text=True,
    )  # fmt: skip
    if completed.returncode:
        return RoundTally(notes=[completed.stderr[-1500:]], code=completed.returncode)
    return RoundTally(**json.loads(completed.stdout))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=100)
    parser.add_argument("--kinds", default="plain,surge,surge+stop,slow hub")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--busy", action="store_true", help="a spinning process beside each program")
    parser.add_argument("--at-once", type=int, default=max((os.cpu_count() or 2) - 2, 1))
    parser.add_argument("--one", help=argparse.SUPPRESS)
    parser.add_argument("program", nargs="*", help="after --: the command to start in place of this program")
    args = parser.parse_args()
    if args.one:
        from tests.rig.restarts import run_round

        fields = json.loads(args.one)
        plan = RoundPlan(**{k: tuple(v) if isinstance(v, list) else v for k, v in fields.items()})
        print(json.dumps(asdict(run_round(plan, args.program or None))))
        return 0
    failed = False
    cores = list(range(args.at_once))
    with ExitStack() as stack:
        if args.busy:
            stack.enter_context(busy_cores(cores))
        for kind in args.kinds.split(","):
            started_at, total = time.monotonic(), RoundTally()
            exits: list[float] = []
            with ThreadPoolExecutor(args.at_once) as pool:
                rounds = [
                    pool.submit(run_one, plan_for(kind, args.seed + n, cores[n % len(cores)]), args.program)
                    for n in range(args.rounds)
                ]
                for future in as_completed(rounds):
                    total.add(future.result())
                    exits.append(future.result().exit_ms)
            exits.sort()
            print(f"{kind:10} {args.rounds} rounds, {time.monotonic() - started_at:.0f} s: "
                  f"{total.sent} set-ups, "
                  f"{total.answered} answered, {total.refused} refused, {total.lost} lost, "
                  f"{total.raced_close} raced a close, {total.closed_before_use} closed before use, "
                  f"{total.answered_twice} answered twice, "
                  f"{total.left_pending} left pending; ended after {exits[len(exits) // 2]:.0f} ms (most "
                  f"{exits[-1]:.0f}), code {total.code}", flush=True)  # fmt: skip
            for note in total.notes[:30]:
                print("   ", note)
            failed |= bool(total.lost or total.answered_twice or total.left_pending or total.notes)
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
