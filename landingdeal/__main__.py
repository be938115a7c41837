"""Starts one border controller: `python -m landingdeal`. Wires the parts together and minds the signals."""

from __future__ import annotations

import argparse
import os
import signal
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

from badgerstile.interface import ExchangeList, Health, Listed, ListKind
from landingdeal.clock import now_ms, seconds_until
from landingdeal.core.broker import Broker, Inbox
from landingdeal.core.contracts import Contracts
from landingdeal.core.events import Budgets, News, Stop
from landingdeal.core.lifecycle import Lifecycle, Phase, Times
from landingdeal.log import say
from landingdeal.net.bus import BusReader
from landingdeal.net.callers import Callers
from landingdeal.net.config import Config, ConfigError, TopologyEvent, read_config
from landingdeal.net.hubs import Hubs
from landingdeal.net.link import start_thread
from landingdeal.operator import Operator, read_operator
from landingdeal.pcap import NotPcap
from landingdeal.sip.front import SipFront

READY_MS = 1000.0  # a test is passed once all lab hubs are connected, at the latest so long after the start
LOOK_MS = 10.0  # between looks at what is still to be written when the core has ended
RELEASES = Times(flush=2000.0)  # for the SIP front's last releases to be answered


def read_platform(path: str) -> Config:
    return read_config(Path(path).read_text(encoding="utf-8"))


def read_operator_file(where: str) -> Operator:
    return read_operator(Path(where).read_text(encoding="utf-8")) if where else Operator()


def reloads(reread: Callable[[], None]) -> None:
    """On SIGHUP `reread` runs, one at a time; a file that can't be used changes nothing."""
    lock = threading.Lock()

    def once() -> None:
        with lock:
            try:
                reread()
                say("the configuration was read again")
            except (ConfigError, OSError, UnicodeDecodeError) as error:
                say(f"the old configuration stays: {error}")

    # guards against ending on SIGHUP, and against reading a file in the handler, which may interrupt anything
    signal.signal(signal.SIGHUP, lambda _signal, _frame: start_thread("reload", once))


def run(broker: Broker, flush: Callable[[], int]) -> None:
    """Until SIGTERM, then until every call has its answer and `flush` counts nothing left to be written."""
    life = broker.life

    def stop(_signal: int, _frame: object) -> None:
        start_thread("stop", lambda: broker.inbox.tell(Stop()))

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    core = threading.Thread(target=broker.run, name="core", daemon=True)
    core.start()
    while core.is_alive():
        core.join(1.0)
    life.core_gone(now_ms())
    while True:
        left = flush()
        life.flush_looks(left, now_ms())
        if life.phase is Phase.ENDED:
            break
        time.sleep(seconds_until(now_ms() + LOOK_MS))
    say(f"stopped{f', {left} connections not idle' if left else ''}")


def platform(path: str, where: str) -> None:
    config, operator = read_platform(path), read_operator_file(where)
    inbox, life = Inbox(), Lifecycle()
    hubs = Hubs(config.settings, inbox, f"{config.host}:{config.port}", config.dial_ms)
    callers = Callers(config.settings, inbox, config.host, config.port, config.sockets, life)
    contracts = Contracts(operator.contracts)
    broker = Broker(config.settings, config.seed, inbox, hubs, callers.release, contracts, life)

    def told(event: TopologyEvent) -> None:
        for name, where, gone in event.addresses:
            hubs.known(name, where, gone)
        inbox.tell(News(event.change))

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
        new, budgets = read_platform(path), read_operator_file(where).contracts
        bus.move(new.bus, new.known)
        inbox.tell(Budgets(budgets))

    reloads(reread)
    bus.start()
    start_thread("ready", ready)
    run(broker, callers.flush)


def sip(operator: Operator, where: str) -> None:
    assert operator.sip is not None and operator.settings is not None
    inbox, life = Inbox(), Lifecycle(RELEASES)
    seed = int.from_bytes(os.urandom(8), "big")
    front = SipFront(operator.sip, operator.settings, inbox, seed, life)
    contracts = Contracts(operator.contracts)
    broker = Broker(operator.settings, seed, inbox, front, lambda call, cause: None, contracts, life)
    listed = tuple(Listed(hub.name, hub.number, Health.READY, 0.0) for hub in operator.sip.hubs)
    inbox.tell(News(ExchangeList(ListKind.REMEMBERED, listed)))
    reloads(lambda: inbox.tell(Budgets(read_operator_file(where).contracts)))
    front.start(operator.capture_in, operator.capture_out)
    say(f"SIP front on {operator.sip.host}:{operator.sip.port}, UDP and TCP")
    run(broker, front.flush)


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="landingdeal", description="A border controller between callers and lab hubs."
    )
    parser.add_argument(
        "--operator", default=os.environ.get("LANDINGDEAL_OPERATOR", ""), help="the operator's file"
    )
    path = os.environ.get("ROUTER_CONFIG", "")
    where = parser.parse_args().operator
    try:
        if path:
            platform(path, where)
        elif (operator := read_operator_file(where)).sip is not None:
            sip(operator, where)
        else:
            raise ConfigError(
                "neither ROUTER_CONFIG nor an operator's file with the SIP front enabled is named"
            )
    except (ConfigError, NotPcap, OSError, UnicodeDecodeError) as error:
        print(f"landingdeal: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    # without the interpreter's own end: threads that still read and write would go on in the midst of it
    os._exit(code)
