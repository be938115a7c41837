"""The main thread of both fronts: reloads on SIGHUP and the orderly end."""

from __future__ import annotations

import time
from collections.abc import Callable

from landingdeal.clock import now_ms, seconds_until
from landingdeal.core.broker import Broker
from landingdeal.core.events import StopRequested
from landingdeal.core.lifecycle import Phase
from landingdeal.errors import ConfigError
from landingdeal.log import log_event, log_exception, log_text
from landingdeal.service.signals import Signals
from landingdeal.threads import START_TIMEOUT_MS, start_thread

FLUSH_POLL_MS = 10.0  # between checks for unwritten messages after the core has ended


def reload(load_configuration: Callable[[], None]) -> None:
    """Loads the configuration again; after an error the old one stays in effect."""
    try:
        load_configuration()
        log_text("configuration reloaded")
    except (ConfigError, OSError, UnicodeDecodeError) as error:
        log_text(f"the old configuration is kept: {error}")
    except Exception:
        log_text("the old configuration is kept: the new one could not be applied")
        log_exception()


def run(
    broker: Broker, flush: Callable[[], int], signals: Signals, load_configuration: Callable[[], None]
) -> None:
    """Runs until SIGTERM, then until every call has its answer and all messages are written.

    `flush` is called after the end of the core; it returns how many connections are still to be flushed.
    """
    life = broker.lifecycle
    life.phase_listeners.append(lambda: log_event("phase", now=life.phase.name))
    signals.handle_with(
        lambda at_ms: broker.inbox.put(StopRequested(at_ms)), lambda: reload(load_configuration)
    )
    core_thread = start_thread("core", broker.run, START_TIMEOUT_MS)
    while core_thread.is_alive():
        core_thread.join(1.0)
    life.core_stopped(now_ms())
    while True:
        unflushed = flush()
        life.check_flush(unflushed, now_ms())
        if life.phase is Phase.ENDED:
            break
        time.sleep(seconds_until(now_ms() + FLUSH_POLL_MS))
    log_text(f"stopped{f', {unflushed} connections not flushed' if unflushed else ''}")
