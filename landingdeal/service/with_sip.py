"""Runs a border controller with the SIP front, as set in the operator's file."""

from __future__ import annotations

import os
from pathlib import Path

from badgerstile.interface import ExchangeEntry, ExchangeList, Health, ListKind
from landingdeal.capture.settings import CaptureSettings
from landingdeal.capture.sink import CaptureWriter
from landingdeal.clock import now_ms
from landingdeal.core.broker import Broker
from landingdeal.core.contracts import Contracts
from landingdeal.core.events import ContractsChanged, HubListChanged
from landingdeal.core.inbox import Inbox
from landingdeal.core.lifecycle import Lifecycle, times_before_kill
from landingdeal.errors import ConfigError
from landingdeal.log import log_text
from landingdeal.operator_config import OperatorConfig, parse_operator_config
from landingdeal.service.main_loop import run
from landingdeal.service.signals import Signals
from landingdeal.sip.capture import CapturePlayback
from landingdeal.sip.front import SipFront

CAPTURE_FLUSH_MS = 2000.0  # at the end, for writing the rest of the capture
RELEASE_FLUSH_MS = 2000.0  # at the end, for answers to the SIP front's last releases


def read_operator_file(operator_path: str) -> OperatorConfig:
    """Reads the operator's file; without one the defaults apply."""
    return (
        parse_operator_config(Path(operator_path).read_text(encoding="utf-8"))
        if operator_path
        else OperatorConfig()
    )


def serve(operator_path: str, signals: Signals) -> None:
    """Runs until SIGTERM; raises ConfigError and OSError at the start."""
    operator = read_operator_file(operator_path)
    if operator.sip is None:
        raise ConfigError("neither ROUTER_CONFIG nor an operator's file with the SIP front enabled is named")
    _serve_operator(operator, operator_path, signals)


def _serve_operator(operator: OperatorConfig, operator_path: str, signals: Signals) -> None:
    assert operator.sip is not None and operator.settings is not None
    longest_deadline_ms = max(call_class.deadline_ms for call_class in operator.settings.classes)
    inbox, life = Inbox(), Lifecycle(times_before_kill(longest_deadline_ms, RELEASE_FLUSH_MS))
    seed = int.from_bytes(os.urandom(8), "big")
    capture_settings, listen_address = (
        operator.capture or CaptureSettings(),
        (operator.sip.host, operator.sip.port),
    )
    sink = (
        CaptureWriter(capture_settings.write, capture_settings.bounds, capture_settings.compress)
        if capture_settings.write is not None
        else None
    )
    front = SipFront(operator.sip, operator.settings, inbox, seed, life, sink)
    capture = CapturePlayback(capture_settings.read, sink, listen_address) if capture_settings.read else None
    contracts = Contracts(operator.contracts)
    broker = Broker(operator.settings, seed, inbox, front, lambda call, cause: None, contracts, life)
    entries = tuple(ExchangeEntry(hub.name, hub.number, Health.READY, 0.0) for hub in operator.sip.hubs)
    inbox.put(HubListChanged(ExchangeList(ListKind.CACHED, entries)))
    front.start(capture)
    log_text(f"SIP front on {operator.sip.host}:{operator.sip.port}, UDP and TCP")
    run(
        broker,
        front.flush,
        signals,
        lambda: inbox.put(ContractsChanged(read_operator_file(operator_path).contracts)),
    )
    if sink is not None:
        sink.end(now_ms() + CAPTURE_FLUSH_MS)
