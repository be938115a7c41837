"""Reloads, and the end: what both fronts are run by."""

from __future__ import annotations

import sys
import time
import traceback
from collections.abc import Callable

from landingdeal.clock import now_ms, seconds_until
from landingdeal.core.broker import Broker
from landingdeal.core.events import StopRequested
from landingdeal.core.lifecycle import Phase
from landingdeal.errors import ConfigError
from landingdeal.log import log_event, log_text
from landingdeal.service.signals import Signals
from landingdeal.threads import START_TIMEOUT_MS, start_thread

LOOK_MS = 10.0  # between looks at what is still to be written when the core has ended


def reload(reread: Callable[[], None]) -> None:
    """A file that cannot be used changes nothing, and ends nothing."""
    try:
        reread()
        log_text("the configuration was read again")
    except (ConfigError, OSError, UnicodeDecodeError) as error:
        log_text(f"the old configuration stays: {error}")
    except Exception:
        log_text("the old configuration stays: it could not be carried out")
        traceback.print_exc(file=sys.stderr)


def run(broker: Broker, flush: Callable[[], int], signals: Signals, reread: Callable[[], None]) -> None:
    """Until SIGTERM, then until every call has its answer and `flush` counts nothing left to be written."""
    life = broker.lifecycle
    life.phase_listeners.append(lambda: log_event("phase", now=life.phase.name))
    signals.carry_out(lambda at_ms: broker.inbox.put(StopRequested(at_ms)), lambda: reload(reread))
    core = start_thread("core", broker.run, START_TIMEOUT_MS)
    while core.is_alive():
        core.join(1.0)
    life.core_stopped(now_ms())
    while True:
        left = flush()
        life.check_flush(left, now_ms())
        if life.phase is Phase.ENDED:
            break
        time.sleep(seconds_until(now_ms() + LOOK_MS))
    log_text(f"stopped{f', {left} connections not idle' if left else ''}")
