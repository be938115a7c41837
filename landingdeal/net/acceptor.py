"""Listening sockets: connections are accepted in a thread of its own and passed on."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import time
from collections.abc import Callable

from landingdeal.clock import now_ms, seconds_until
from landingdeal.core import steps
from landingdeal.log import log_text
from landingdeal.threads import start_supervised_thread

ACCEPT_RETRY_MS = 50.0  # pause after the system has run out of descriptors


class Acceptor:
    """Listens on an address and passes each accepted connection to `on_accepted`, in a thread of its own.

    Once `accepts` returns False, connections that the kernel has accepted by then are still passed on; then
    the listener is closed and `on_closed` called.
    """

    def __init__(
        self,
        host: str,
        port: int,
        on_accepted: Callable[[socket.socket], None],
        accepts: Callable[[], bool] = lambda: True,
        on_closed: Callable[[], None] = lambda: None,
    ) -> None:
        self.on_accepted, self.accepts, self.on_closed = on_accepted, accepts, on_closed
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, port))
        self.listener.listen(512)
        self.listener.setblocking(False)
        self.wake_event = os.eventfd(0, os.EFD_NONBLOCK)
        start_supervised_thread("accept", self._run)

    def wake(self) -> None:
        """Makes the thread check `accepts` again. May be called from any thread."""
        os.eventfd_write(self.wake_event, 1)

    def _run(self) -> None:
        poll = select.poll()
        poll.register(self.listener, select.POLLIN)
        poll.register(self.wake_event, select.POLLIN)
        while self.accepts():
            poll.poll()
            with contextlib.suppress(BlockingIOError):
                os.eventfd_read(self.wake_event)
            self._accept_pending()
        self._accept_pending()
        self.listener.close()
        self.on_closed()

    def _accept_pending(self) -> None:
        """Accepts all pending connections; out of descriptors, it pauses and leaves them in the backlog."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS):
                    time.sleep(seconds_until(now_ms() + ACCEPT_RETRY_MS))
                    return
                continue  # the peer closed before the accept
            steps.reached(steps.ACCEPTED)
            try:
                sock.setblocking(True)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.on_accepted(sock)
            except Exception as error:  # one failure must not end the accepting of later connections
                log_text(f"cannot serve an accepted connection: {type(error).__name__} {error}")
                sock.close()
