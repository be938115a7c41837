"""The event bus breaks off, then answers late: does the border controller learn of a drain?"""

import asyncio
from pathlib import Path

from standins_2 import TROUBLE, Bus, Caller, Controller, Hub, Record, default_settings, main

ANSWER_S = 3.0  # from a request to the event bus to its answer
TOLD_S = 7.0  # what the event bus has to tell counts as told then, whether it arrived or not
GRACE_S = 1.0 + 0.05  # the rule on drains, and 50 ms on sockets
DRAIN_S = 16.0  # from the drain to the end of the lab hub


async def scenario(record: Record, folder: Path) -> list[str]:
    bus, hubs = Bus(record), [Hub(record, f"s-{n}", n) for n in range(3)]
    for hub in hubs:
        await hub.listen()
    draining = hubs[1]
    bus.add([h.entry() for h in hubs], snapshot=True)
    await bus.listen()
    controller = Controller(record, bus, default_settings(), folder)
    try:
        controller.start()
        caller = Caller(record, controller.port)
        peer = await controller.ready(caller)
        placing = asyncio.create_task(place(caller, peer))
        await asyncio.sleep(2.0)
        if TROUBLE:
            bus.answer_delay_s = ANSWER_S
            bus.break_off()
        await asyncio.sleep(0.5)
        number = bus.add([draining.entry("draining")])
        drained_at = bus.recorded_at[number]
        record.add("case", f"{draining.name} drains; counts as told {TOLD_S:.0f} s later at the latest")
        await asyncio.sleep(DRAIN_S)
        placing.cancel()
        record.add(draining.name, "stops: the calls that stand there are cut")
        for call in list(draining.calls.values()):
            draining.release(call, 41)
        await asyncio.sleep(1.0)
        told_at = min(bus.written_at.get(number, float("inf")), drained_at + TOLD_S)
        late = [(at, call) for at, call in draining.arrivals if at > told_at + GRACE_S]
        cut = [c for _, c in late if draining.calls[c].stands and draining.calls[c].ended_by.endswith("41")]
        broken = [f"set-up {call} arrived at {draining.name} {at - told_at:.2f} s after the border controller "
                  f"counts as told that it drains" for at, call in late]  # fmt: skip
        if cut:
            broken.append(f"{len(cut)} of these calls stood and were cut when the lab hub stopped")
        return broken
    finally:
        controller.end()


async def place(caller: Caller, peer: object) -> None:
    while True:
        for dest in (1, 2):
            caller.place(peer, dest)
            await asyncio.sleep(0.2)


if __name__ == "__main__":
    main(__file__, scenario)
