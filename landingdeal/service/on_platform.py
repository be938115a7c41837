"""One border controller on the platform: callers, lab hubs and event bus as its configuration says."""

from __future__ import annotations

import time
from pathlib import Path

from badgerstile.interface import Health
from landingdeal.clock import now_ms, seconds_until
from landingdeal.core.broker import Broker, Inbox
from landingdeal.core.contracts import Contract, Contracts
from landingdeal.core.events import ContractsChanged, HubListChanged
from landingdeal.core.lifecycle import Lifecycle, times_before_kill
from landingdeal.net.bus import BusReader
from landingdeal.net.callers import Callers
from landingdeal.net.config import Config, TopologyEvent, read_config
from landingdeal.net.hubs import Hubs
from landingdeal.service.life import run
from landingdeal.service.signals import Signals
from landingdeal.threads import start_supervised_thread

READY_MS = 1000.0  # a test is passed once all lab hubs are connected, at the latest so long after the start


def read_platform(path: str) -> Config:
    return read_config(Path(path).read_text(encoding="utf-8"))


def read_contracts_of(where: str) -> tuple[Contract, ...]:
    """What counts here of the operator's file; without one its reader is not even imported."""
    if not where:
        return ()
    from landingdeal.operator import parse_operator_config

    return parse_operator_config(Path(where).read_text(encoding="utf-8"), on_platform=True).contracts


def serve(path: str, where: str, signals: Signals) -> None:
    config, contracted = read_platform(path), read_contracts_of(where)
    longest = max(kind.deadline_ms for kind in config.settings.classes)
    inbox, life = Inbox(), Lifecycle(times_before_kill(longest))
    hubs = Hubs(config.settings, inbox, f"{config.host}:{config.port}", config.dial_ms)
    callers = Callers(config.settings, inbox, config.host, config.port, config.sockets, life)
    contracts = Contracts(contracted)
    broker = Broker(config.settings, config.seed, inbox, hubs, callers.release, contracts, life)

    def told(event: TopologyEvent) -> None:
        for one in event.addresses:
            hubs.known(one.name, one.where, one.health is Health.REMOVED, one.health is Health.DRAINING)
        inbox.put(HubListChanged(event.change))

    def ready() -> None:
        until = now_ms() + READY_MS
        while now_ms() < until and not hubs.connected():
            time.sleep(seconds_until(now_ms() + 5))
        callers.ready.set()

    for event in config.known:
        told(event)
    hubs.start()
    bus = BusReader(config.bus, config.offset, told)

    def reread() -> None:
        new, budgets = read_platform(path), read_contracts_of(where)
        bus.move(new.bus, new.known)
        inbox.put(ContractsChanged(budgets))

    bus.start()
    start_supervised_thread("ready", ready)
    run(broker, callers.flush, signals, reread)
