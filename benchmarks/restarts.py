"""Many restarts under load, counted on the wire: `python -m benchmarks.restarts --rounds 1000 --busy`.

Prints one line a kind of round and every request that was lost; exit code 1 if any was lost, answered twice
or left. Not part of CI: a thousand rounds take some minutes.
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

from tests.rig.restarts import Plan, Tally, busy_cores


def plan_of(kind: str, seed: int, core: int | None) -> Plan:
    return replace(_plan_of(kind, seed, core), port=10000 + seed % 9000)


def _plan_of(kind: str, seed: int, core: int | None) -> Plan:
    match kind:
        case "surge":
            return Plan(seed=seed, connections=85, surge=40, stop=False, core=core)
        case "surge+stop":
            return Plan(seed=seed, connections=85, surge=40, core=core)
        case "slow hub":
            return Plan(seed=seed, connections=100, answers_ms=(500.0, 2500.0), core=core)
        case _:
            return Plan(seed=seed, connections=50 + seed % 51, core=core)


def run_one(plan: Plan, program: list[str]) -> Tally:
    """In a process of its own: a stage is one busy thread."""
    import subprocess

    made = subprocess.run(
        [sys.executable, "-m", "benchmarks.restarts", "--one", json.dumps(asdict(plan)), "--", *program],
        capture_output=True, text=True,
    )  # fmt: skip
    if made.returncode:
        return Tally(notes=[made.stderr[-1500:]], code=made.returncode)
    return Tally(**json.loads(made.stdout))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=100)
    parser.add_argument("--kinds", default="plain,surge,surge+stop,slow hub")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--busy", action="store_true", help="a spinning process beside each program")
    parser.add_argument("--at-once", type=int, default=max((os.cpu_count() or 2) - 2, 1))
    parser.add_argument("--one", help=argparse.SUPPRESS)
    parser.add_argument("program", nargs="*", help="after --: what to start in place of this program")
    args = parser.parse_args()
    if args.one:
        from tests.rig.restarts import play_round

        raw = json.loads(args.one)
        plan = Plan(**{k: tuple(v) if isinstance(v, list) else v for k, v in raw.items()})
        print(json.dumps(asdict(play_round(plan, args.program or None))))
        return 0
    bad = False
    cores = list(range(args.at_once))
    with ExitStack() as stack:
        if args.busy:
            stack.enter_context(busy_cores(cores))
        for kind in args.kinds.split(","):
            began, total = time.monotonic(), Tally()
            exits: list[float] = []
            with ThreadPoolExecutor(args.at_once) as pool:
                rounds = [
                    pool.submit(run_one, plan_of(kind, args.seed + n, cores[n % len(cores)]), args.program)
                    for n in range(args.rounds)
                ]
                for done in as_completed(rounds):
                    total.add(done.result())
                    exits.append(done.result().exit_ms)
            exits.sort()
            print(f"{kind:10} {args.rounds} rounds, {time.monotonic() - began:.0f} s: {total.sent} set-ups, "
                  f"{total.answered} answered, {total.refused} refused, {total.lost} lost, "
                  f"{total.crossed} crossed, {total.turned_away} turned away, {total.twice} twice, "
                  f"{total.unanswered} left; ended after {exits[len(exits) // 2]:.0f} ms (most "
                  f"{exits[-1]:.0f}), code {total.code}", flush=True)  # fmt: skip
            for note in total.notes[:30]:
                print("   ", note)
            bad |= bool(total.lost or total.twice or total.unanswered or total.notes)
    return int(bad)


if __name__ == "__main__":
    sys.exit(main())
