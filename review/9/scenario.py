"""A planned restart while set-ups of a class that must not run twice are out: what are their callers told?"""

import asyncio
import signal
import time
from pathlib import Path

from standins_2 import (
    TROUBLE, Bus, Caller, CannotRun, Controller, Hub, Message, Peer, Record, default_settings, main, new_id,
)  # fmt: skip

WORK_S = 5.0  # of the lab hub for one set-up: within the wanted time of 6 s
CALLS = 3
EARLIEST_KILL_S = 3.0 + 0.7  # after SIGTERM; the longest deadline counts as 3 s


class SlowHub(Hub):
    """Works for 5 s on a set-up, also on one that was given up, and counts by the number called what it has run."""

    def __init__(self, record: Record, name: str, number: int) -> None:
        super().__init__(record, name, number)
        self.runs: dict[str, list[str]] = {}

    def invite(self, peer: Peer, message: Message) -> None:
        super().invite(peer, message)
        number = message.uri.removeprefix("sip:").partition("@")[0]
        asyncio.get_running_loop().call_later(self.answer_s - 0.01, self.run, number, message.call)

    def run(self, number: str, call: str) -> None:
        self.runs.setdefault(number, []).append(call)
        self.record.add(
            self.name, f"has run {call}, number {number}: run {len(self.runs[number])} of this number"
        )


async def scenario(record: Record, folder: Path) -> list[str]:
    bus, hubs = Bus(record), [SlowHub(record, "s-1", 1), Hub(record, "s-2", 2), Hub(record, "s-0", 0)]
    for hub in hubs:
        await hub.listen()
    hubs[0].answer_s = WORK_S
    bus.add([h.entry() for h in hubs], snapshot=True)
    await bus.listen()
    settings = default_settings()
    settings["classes"][0].update(effect="single_shot", slo_ms=6000.0)
    settings["classes"][1].update(slo_ms=6000.0)
    controller = Controller(record, bus, settings, folder)
    try:
        controller.start()
        caller = Caller(record, controller.port)
        peer = await controller.ready(caller)
        set_ups = {(n := new_id()): caller.place(peer, 1, patience_ms=9000, number=n) for _ in range(CALLS)}
        await asyncio.sleep(0.3)
        if len(hubs[0].arrivals) < CALLS:
            raise CannotRun("not all set-ups have reached the lab hub")
        if TROUBLE:
            controller.signal(signal.SIGTERM)
            killed_at = time.time() + EARLIEST_KILL_S
            while time.time() < killed_at and controller.process.poll() is None:
                await asyncio.sleep(0.01)
            controller.end()
            record.add("border controller", "has ended")
            controller.start()
            peer = await controller.ready(caller)
        await asyncio.sleep(WORK_S)
        again = {}
        for number, set_up in set_ups.items():
            if set_up.answers and set_up.answers[0][1] in (503, 480):
                again[number] = caller.place(peer, 1, patience_ms=9000, number=number)
        await asyncio.sleep(WORK_S + 1.0)
        broken = []
        for number, set_up in set_ups.items():
            if number in again:
                broken.append(f"set-up {set_up.id} of a single_shot class: answered {set_up.answers[0][1]}, 'trying again "
                              f"is harmless', while its attempt was out and not shown never to have run; with the new "
                              f"try the lab hub ran the number {len(hubs[0].runs.get(number, []))} times")  # fmt: skip
        return broken
    finally:
        controller.end()


if __name__ == "__main__":
    main(__file__, scenario)
