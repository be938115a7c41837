"""Runs a border controller on the platform, with the callers, lab hubs and event bus of its configuration."""

from __future__ import annotations

import time
from pathlib import Path

from badgerstile.interface import Health
from landingdeal.bus.reader import BusReader
from landingdeal.clock import now_ms, seconds_until
from landingdeal.core.broker import Broker
from landingdeal.core.contracts import Contract, Contracts
from landingdeal.core.events import ContractsChanged, HubListChanged
from landingdeal.core.inbox import Inbox
from landingdeal.core.lifecycle import Lifecycle, times_before_kill
from landingdeal.net.callers import CallerConnections
from landingdeal.net.config import Config, TopologyEvent, read_config
from landingdeal.net.hubs import HubConnections
from landingdeal.service.main_loop import run
from landingdeal.service.signals import Signals
from landingdeal.threads import start_supervised_thread

READY_TIMEOUT_MS = 1000.0  # health checks pass once all lab hubs are connected, or so long after the start


def read_platform(path: str) -> Config:
    """Reads the platform's configuration; raises ConfigError if it can't be used."""
    return read_config(Path(path).read_text(encoding="utf-8"))


def read_contracts(operator_path: str) -> tuple[Contract, ...]:
    """Reads the contracts of the operator's file; without one its parser is not even imported."""
    if not operator_path:
        return ()
    from landingdeal.operator_config import parse_operator_config

    return parse_operator_config(Path(operator_path).read_text(encoding="utf-8"), on_platform=True).contracts


def serve(path: str, operator_path: str, signals: Signals) -> None:
    """Runs until SIGTERM; raises ConfigError and OSError at the start."""
    config, initial_contracts = read_platform(path), read_contracts(operator_path)
    longest_deadline_ms = max(call_class.deadline_ms for call_class in config.settings.classes)
    inbox, life = Inbox(), Lifecycle(times_before_kill(longest_deadline_ms))
    hubs = HubConnections(config.settings, inbox, f"{config.host}:{config.port}", config.dial_timeout_ms)
    callers = CallerConnections(config.settings, inbox, config.host, config.port, config.sockets, life)
    contracts = Contracts(initial_contracts)
    broker = Broker(config.settings, config.seed, inbox, hubs, callers.release, contracts, life)

    def apply_event(event: TopologyEvent) -> None:
        for hub_address in event.addresses:
            hubs.update_hub(
                hub_address.name,
                hub_address.host_port,
                hub_address.health is Health.REMOVED,
                hub_address.health is Health.DRAINING,
                hub_address.started_ms,
            )
        inbox.put(HubListChanged(event.change))

    def mark_ready() -> None:
        until = now_ms() + READY_TIMEOUT_MS
        while now_ms() < until and not hubs.all_connected():
            time.sleep(seconds_until(now_ms() + 5))
        callers.ready.set()

    for event in config.known:
        apply_event(event)
    hubs.start()
    bus = BusReader(config.bus, config.offset, apply_event)

    def load_configuration() -> None:
        new_config, new_contracts = read_platform(path), read_contracts(operator_path)
        bus.change_address(new_config.bus, new_config.known)
        inbox.put(ContractsChanged(new_contracts))

    bus.start()
    start_supervised_thread("ready", mark_ready)
    try:
        run(broker, callers.flush, signals, load_configuration)
    finally:
        bus.stop()
