"""Starts one border controller: `python -m landingdeal`. Wires the parts together and minds the signals."""

from __future__ import annotations

import os
import signal
import sys
import threading
import time

from landingdeal.clock import now_ms, seconds_until
from landingdeal.core.broker import Broker, Inbox
from landingdeal.core.events import News, Stop
from landingdeal.log import say
from landingdeal.net.bus import BusReader
from landingdeal.net.callers import Callers
from landingdeal.net.config import Config, ConfigError, TopologyEvent, read_config
from landingdeal.net.hubs import Hubs
from landingdeal.net.link import start_thread

READY_MS = 1000.0  # a test is passed once all lab hubs are connected, at the latest so long after the start
FLUSH_MS = 100.0  # for the last answers to leave the writers' queues


def platform(config: Config) -> None:
    inbox = Inbox()
    hubs = Hubs(config.settings, inbox, f"{config.host}:{config.port}", config.dial_ms)
    callers = Callers(config.settings, inbox, config.host, config.port)
    broker = Broker(config.settings, config.seed, inbox, hubs, callers.release)

    def told(event: TopologyEvent) -> None:
        for name, where, gone in event.addresses:
            hubs.known(name, where, gone)
        inbox.tell(News(event.change))

    def stop(_signal: int, _frame: object) -> None:
        callers.stopping = True
        start_thread("stop", lambda: inbox.tell(Stop()))

    def ready() -> None:
        until = now_ms() + READY_MS
        while now_ms() < until and not hubs.connected():
            time.sleep(0.005)
        callers.ready.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    for event in config.known:
        told(event)
    hubs.start()
    BusReader(config.bus, config.offset, told).start()
    start_thread("ready", ready)
    core = threading.Thread(target=broker.run, name="core", daemon=True)
    core.start()
    while core.is_alive():
        core.join(1.0)
    time.sleep(seconds_until(now_ms() + FLUSH_MS))
    say("stopped")


def main() -> int:
    path = os.environ.get("ROUTER_CONFIG", "")
    try:
        if not path:
            raise ConfigError("ROUTER_CONFIG names no file")
        with open(path, encoding="utf-8") as file:
            config = read_config(file.read())
        platform(config)
    except (ConfigError, OSError, UnicodeDecodeError) as error:
        print(f"landingdeal: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
