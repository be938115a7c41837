"""The SIP front as the operator's file says."""

from __future__ import annotations

import os
from pathlib import Path

from badgerstile.interface import ExchangeEntry, ExchangeList, Health, ListKind
from landingdeal.capture.settings import CaptureSettings
from landingdeal.capture.sink import Sink
from landingdeal.clock import now_ms
from landingdeal.core.broker import Broker, Inbox
from landingdeal.core.contracts import Contracts
from landingdeal.core.events import ContractsChanged, HubListChanged
from landingdeal.core.lifecycle import Lifecycle, times_before_kill
from landingdeal.errors import ConfigError
from landingdeal.log import log_text
from landingdeal.operator import OperatorConfig, parse_operator_config
from landingdeal.service.life import run
from landingdeal.service.signals import Signals
from landingdeal.sip.capture import Capture
from landingdeal.sip.front import SipFront

SINK_MS = 2000.0  # for what waits to be written to a capture at the end
RELEASES_MS = 2000.0  # for the SIP front's last releases to be answered


def read_operator_file(where: str) -> OperatorConfig:
    return parse_operator_config(Path(where).read_text(encoding="utf-8")) if where else OperatorConfig()


def serve(where: str, signals: Signals) -> None:
    """Raises ConfigError and OSError."""
    operator = read_operator_file(where)
    if operator.sip is None:
        raise ConfigError("neither ROUTER_CONFIG nor an operator's file with the SIP front enabled is named")
    _serve(operator, where, signals)


def _serve(operator: OperatorConfig, where: str, signals: Signals) -> None:
    assert operator.sip is not None and operator.settings is not None
    longest = max(kind.deadline_ms for kind in operator.settings.classes)
    inbox, life = Inbox(), Lifecycle(times_before_kill(longest, RELEASES_MS))
    seed = int.from_bytes(os.urandom(8), "big")
    told, listen = operator.capture or CaptureSettings(), (operator.sip.host, operator.sip.port)
    sink = Sink(told.write, told.bounds, told.compress) if told.write is not None else None
    front = SipFront(operator.sip, operator.settings, inbox, seed, life, sink)
    capture = Capture(told.read, sink, listen) if told.read else None
    contracts = Contracts(operator.contracts)
    broker = Broker(operator.settings, seed, inbox, front, lambda call, cause: None, contracts, life)
    listed = tuple(ExchangeEntry(hub.name, hub.number, Health.READY, 0.0) for hub in operator.sip.hubs)
    inbox.put(HubListChanged(ExchangeList(ListKind.CACHED, listed)))
    front.start(capture)
    log_text(f"SIP front on {operator.sip.host}:{operator.sip.port}, UDP and TCP")
    run(
        broker,
        front.flush,
        signals,
        lambda: inbox.put(ContractsChanged(read_operator_file(where).contracts)),
    )
    if sink is not None:
        sink.end(now_ms() + SINK_MS)
