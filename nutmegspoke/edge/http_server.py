"""HTTP server whose handlers can stream an answer or abort it.

Servers of libraries hide when a caller disconnects and whether an answer was
aborted. So this module uses a parser from a library but handles connections
itself.
"""

from __future__ import annotations

import asyncio
import collections
import logging
import os
import socket
from typing import TYPE_CHECKING, Protocol

from nutmegspoke.admission.answer_memory import AnswerMemory
from nutmegspoke.admission.caller_memory import CallerMemory
from nutmegspoke.edge.caller_answer import CloseCause
from nutmegspoke.edge.caller_connection import HttpConnection
from nutmegspoke.entry_host import CallerLimits
from nutmegspoke.listening import BACKLOG, ListeningSocket, open_listener

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from nutmegspoke.edge.caller_answer import Answer
    from nutmegspoke.forwarded import CallerRequest

logger = logging.getLogger(__name__)

# Default limit on the open connections of a server.
_MAX_OPEN = 1_024
# Memory limit of a process of which a server knows none.
_MEMORY_BYTES = 300_000_000


class Handler(Protocol):
    """Handler of requests."""

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answer a request; the task is cancelled if the caller disconnects."""


class ConnectionSet:
    """The open connections of a server, with its limits.

    ``on_close`` is called for each connection that ends, with the cause and the
    number of its requests that were read but not answered completely.

    :param handler: answers the requests.
    :param memory: memory for requests of callers; ``None`` for memory of its
        own.
    :ivar open: the connections; that of least recent progress comes first.
    """

    def __init__(
        self, handler: Handler, memory: CallerMemory | None = None
    ) -> None:
        """Start without connections."""
        self.handler = handler
        self.memory = memory or CallerMemory(AnswerMemory(0), _MEMORY_BYTES)
        self._limits = CallerLimits()
        self.is_stopping = False
        self.is_refusing = False
        self.max_open = _MAX_OPEN
        self.rejected_count = 0
        self.stalled_count = 0
        self.open: collections.OrderedDict[HttpConnection, None] = (
            collections.OrderedDict()
        )
        self.on_close: Callable[[CloseCause, int], None] = _ignore_close

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests."""
        return self._limits

    @limits.setter
    def limits(self, limits: CallerLimits) -> None:
        """Apply limits; idle connections stay open for a longer timeout.

        Callers reuse them within the timeout that is in force at the time.
        """
        is_longer = limits.idle_timeout_s > self._limits.idle_timeout_s
        self._limits = limits
        for connection in tuple(self.open) if is_longer else ():
            if not connection.is_busy:
                connection.await_request()

    def connect(self) -> HttpConnection:
        """Return the protocol of a new connection."""
        return HttpConnection(self)

    def now_s(self) -> float:
        """Return the time of the loop."""
        return asyncio.get_running_loop().time()

    def note_progress(self, connection: HttpConnection) -> None:
        """Order a connection behind those of less recent progress."""
        if connection in self.open:
            self.open.move_to_end(connection)

    def shed_excess(self) -> None:
        """Give back memory beyond the limit."""
        self.memory.shed_excess(self.now_s())

    def make_capacity(self) -> bool:
        """Make capacity for a connection; ``False`` if all others are served.

        At the limit an idle connection is closed, as its caller can open a new
        one; without any, one whose request is not complete. The one of least
        recent progress comes first.
        """
        if len(self.open) < self.max_open:
            return True
        stalled = None
        for connection in self.open:
            if not connection.is_busy:
                self.open.pop(connection)
                connection.close(CloseCause.CAPACITY)
                return True
            if stalled is None and connection.is_incomplete:
                stalled = connection
        if stalled is None:
            self.rejected_count += 1
            return False
        self.open.pop(stalled)
        self.stalled_count += 1
        stalled.time_out()
        return True

    def close_idle(self) -> None:
        """Close the connections that have no request in progress.

        From now on requests are refused. They come on connections that were
        new or busy, or have crossed the close.
        """
        self.is_refusing = True
        for connection in tuple(self.open):
            connection.retire()

    def count_busy(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(1 for connection in self.open if connection.is_busy)

    def abort_all(self) -> None:
        """Abort all open connections."""
        for connection in tuple(self.open):
            connection.abort(CloseCause.STOPPING)


def _ignore_close(cause: CloseCause, unanswered: int) -> None:
    """Do nothing; default of ``on_close``."""


async def listen(
    connect: Callable[[], asyncio.Protocol],
    ip: str,
    port: int,
    opened: ListeningSocket | None = None,
) -> asyncio.Server:
    """Start a TCP server on an address.

    :param connect: returns the protocol of a new connection.
    :param opened: a socket that listens there already.
    """
    if opened is None:
        opened = open_listener(ip, port)
    loop = asyncio.get_running_loop()
    return await loop.create_server(connect, sock=opened, backlog=BACKLOG)


async def stop_listening(
    server: asyncio.Server,
    connect: Callable[[], asyncio.Protocol],
) -> None:
    """Accept the connections that wait for it and stop a server.

    A listening socket that is closed resets them, though their callers may have
    sent whole requests.

    :param connect: returns the protocol of a new connection.
    """
    loop = asyncio.get_running_loop()
    listening = [
        socket.socket(fileno=os.dup(opened.fileno()))
        for opened in server.sockets
    ]
    server.close()
    waiting: list[socket.socket] = []
    for opened in listening:
        with opened:
            waiting.extend(_accept_waiting(opened))
    for accepted in waiting:
        await loop.connect_accepted_socket(connect, accepted)


def _accept_waiting(listening: socket.socket) -> Iterator[socket.socket]:
    listening.setblocking(False)
    while True:
        try:
            accepted, _ = listening.accept()
        except BlockingIOError:
            return
        except OSError as error:
            logger.warning('callers: waiting connection lost: %r', error)
            return
        accepted.setblocking(False)
        yield accepted
