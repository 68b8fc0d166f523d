"""Pool of connections to targets, each with one request at a time."""

from __future__ import annotations

import asyncio
import collections
import logging
import socket
from typing import TYPE_CHECKING, Any

from nutmegspoke.admission.answer_memory import AnswerMemory
from nutmegspoke.edge.answer_reader import (
    AnswerEvent,
    AnswerLost,
    AnswerPart,
    AnswerReader,
    AnswerStalled,
)
from nutmegspoke.edge.socket_input import has_input
from nutmegspoke.probed_sockets import probe

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.forwarded import Headers

logger = logging.getLogger(__name__)

# A connection takes one round trip; a lost packet would delay it by a second.
CONNECT_TIMEOUT_S = 0.4
# Buffered bytes of an answer above which reading from the target is paused.
_READ_BUFFER_BYTES = 262_144
# Share of the idle time allowed by a target in which a connection is reused.
_KEEP_ALIVE_SHARE = 0.5
# Idle time if the target states none.
_DEFAULT_KEEP_ALIVE_S = 2.0
_MAX_IDLE_PER_TARGET = 16


class ConnectionLimitError(ConnectionError):
    """The limit on open connections is reached."""


class OpenCounts:
    """Counters of open connections by target."""

    def __init__(self) -> None:
        """Start at zero."""
        self._counts: collections.Counter[str] = collections.Counter()
        self.total = 0

    def of(self, address: str) -> int:
        """Return the number of open connections to a target."""
        return self._counts[address]

    def opened(self, address: str) -> None:
        """Count an opened connection."""
        self._counts[address] += 1
        self.total += 1

    def ended(self, address: str) -> None:
        """Count a closed connection."""
        self.total -= 1
        self._counts[address] -= 1
        if not self._counts[address]:
            self._counts.pop(address)


class TargetConnection(asyncio.Protocol):
    """A connection to a target.

    :param address: ``IP:PORT`` of the target.
    :param counts: counters that include the connection while it is open.
    :param on_unanswered: called with the address if the connection is closed
        before its target has sent anything in answer to a request.
    """

    def __init__(
        self,
        address: str,
        counts: OpenCounts,
        on_unanswered: Callable[[str], None],
    ) -> None:
        """Create a connection that waits for its transport."""
        self.address = address
        self._on_unanswered = on_unanswered
        self._has_answer = True
        self._counts = counts
        self._transport: Any = None
        self._reader = AnswerReader(self._on_event)
        self._events: collections.deque[AnswerEvent] = collections.deque()
        self._buffered = 0
        self._waiter: asyncio.Future[None] | None = None
        self._is_closed = False
        self._is_counted = False
        self._arrival: asyncio.Event | None = None

    def connection_made(self, transport: Any) -> None:
        """Store the transport and enable keepalive probes.

        ``transport`` is typed ``Any`` as the class of the loop's transports
        has no common base class.
        """
        self._transport = transport
        if self._is_closed:
            transport.abort()
            return
        probe(transport.get_extra_info('socket'))
        self._count(is_open=True)

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; unexpected ones close the connection."""
        if not self._reader.is_expecting:
            self.close()
            return
        self._has_answer = True
        fault = self._reader.feed(received)
        if fault:
            self._reader.fail(fault)
            self.close()

    def eof_received(self) -> bool:
        """Complete an answer without a length; fail any other."""
        if self._reader.ends_with_connection:
            if not _was_reset(self._transport):
                self._reader.complete()
        self._reader.fail('connection closed')
        self._is_closed = True
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the expected answer, if there is one."""
        self._reader.fail(f'connection lost: {error}')
        self._is_closed = True
        self._transport = None
        self._count(is_open=False)

    def send(
        self,
        request: bytes,
        is_match: Callable[[Headers], bool],
    ) -> None:
        """Send a request.

        :param is_match: returns whether an answer with the given headers
            belongs to the request.
        :raises ConnectionError: if the connection is closed.
        """
        if self._transport is None or self._transport.is_closing():
            raise ConnectionError('connection closed before the request')
        self._events.clear()
        self._buffered = 0
        self._has_answer = False
        self._reader.expect(is_match)
        self._transport.write(request)

    async def next_event(self) -> AnswerEvent:
        """Wait for the next event of the answer."""
        while not self._events:
            if not self._reader.is_expecting:
                return AnswerLost('nothing expected')
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        event = self._events.popleft()
        if isinstance(event, AnswerPart):
            self._buffered -= len(event.body)
            if self._buffered <= 0 and self._transport is not None:
                self._transport.resume_reading()
        return event

    def stall(self, address: str) -> None:
        """Add an :class:`AnswerStalled` event if an answer is expected.

        :param address: ``IP:PORT`` of the engine that has ended.
        """
        if self._reader.is_expecting:
            self._on_event(AnswerStalled(address))

    def peek(self) -> AnswerEvent | None:
        """Return the next event without removing it; ``None`` without one."""
        return self._events[0] if self._events else None

    def notify(self, arrival: asyncio.Event | None) -> None:
        """Set an asyncio event as soon as :meth:`peek` returns an event.

        :param arrival: replaces an earlier one; ``None`` for none.
        """
        self._arrival = arrival
        if arrival is not None and self._events:
            arrival.set()

    def close(self) -> None:
        """Abort the connection and the request in progress on it."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.abort()
        if not self._has_answer:
            self._has_answer = True
            self._on_unanswered(self.address)

    def abandon(self) -> None:
        """Close the connection and drop what nobody will read.

        The connection and its reader refer to each other, so that what they
        hold would stay in memory for some time.
        """
        self.close()
        self._events.clear()
        self._buffered = 0

    def discard(self) -> None:
        """Close a connection whose opening was given up.

        The loop may close its transport without a further call.
        """
        self.close()
        self._count(is_open=False)

    def is_answer_pending(self) -> bool:
        """Return whether an expected answer is not yet complete."""
        return self._reader.is_expecting

    def is_reusable(self) -> bool:
        """Return whether the connection can carry another request."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._is_closed:
            return False
        if self._reader.is_expecting or not self._reader.keep_alive:
            return False
        if transport.get_write_buffer_size():
            return False
        # Between two requests only a late answer or the end can arrive.
        return not has_input(transport)

    def _count(self, *, is_open: bool) -> None:
        """Include the connection in the counters, or no longer."""
        if is_open == self._is_counted:
            return
        self._is_counted = is_open
        if is_open:
            self._counts.opened(self.address)
        else:
            self._counts.ended(self.address)

    def _on_event(self, event: AnswerEvent) -> None:
        self._events.append(event)
        if isinstance(event, AnswerPart):
            self._buffered += len(event.body)
            if self._buffered > _READ_BUFFER_BYTES and self._transport:
                self._transport.pause_reading()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        if self._arrival is not None:
            self._arrival.set()


def _was_reset(transport: Any) -> bool:
    """Return whether a connection at end of file was in fact reset.

    libuv reports end of file when the last bytes and a reset arrive together,
    but the state of the socket shows the reset.
    """
    sock = transport.get_extra_info('socket')
    try:
        sock.getpeername()
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except OSError:
        return True
    return error != 0


class TargetConnections:
    """Pool that opens connections to targets and reuses idle ones.

    :param max_open: limit on open connections to all targets together.
    :param memory_bytes: memory limit of the process.
    :ivar answer_memory: memory for answers that are held until complete.
    :ivar opened: number of connections opened so far.
    """

    def __init__(self, max_open: int, memory_bytes: int) -> None:
        """Start without connections."""
        self.answer_memory = AnswerMemory.from_memory_limit(memory_bytes)
        self._idle: dict[str, list[tuple[TargetConnection, float]]] = {}
        self._counts = OpenCounts()
        self.max_open = max_open
        self.opened = 0

    async def acquire(
        self,
        address: str,
        now_s: float,
        *,
        fresh: bool,
        max_connections: int,
    ) -> TargetConnection:
        """Return an idle connection to a target, or open a new one.

        :param now_s: current time, by the same clock as for :meth:`release`.
        :param fresh: whether a new connection is required.
        :param max_connections: limit on open connections to this target.
        :raises ConnectionLimitError: if a limit is reached.
        :raises OSError: if the target can't be reached in time.
        """
        idle = self._idle.get(address, [])
        while idle and not fresh:
            connection, expires_s = idle.pop()
            if now_s < expires_s and connection.is_reusable():
                return connection
            connection.close()
        self._make_capacity(address, max_connections)
        return await self._open(address)

    def release(
        self,
        connection: TargetConnection,
        keep_alive_s: float | None,
        now_s: float,
    ) -> None:
        """Return a connection to the pool, or close it if not reusable.

        :param keep_alive_s: idle time that the target allows; ``None`` if it
            states none.
        """
        idle = self._idle.setdefault(connection.address, [])
        if not connection.is_reusable() or len(idle) >= _MAX_IDLE_PER_TARGET:
            connection.close()
            return
        allowed_s = (
            _DEFAULT_KEEP_ALIVE_S if keep_alive_s is None else keep_alive_s
        )
        idle.append((connection, now_s + allowed_s * _KEEP_ALIVE_SHARE))

    async def is_reachable(self, address: str) -> bool:
        """Return whether a target accepts a connection.

        One that is only silent does, as its operating system answers for it.
        """
        try:
            connection = await self._open(address)
        except OSError:
            return False
        connection.close()
        return True

    async def is_refused(self, address: str) -> bool:
        """Return whether a target's host refuses connections to it.

        A target that can't be reached in time is not refused: its host or the
        network may be at fault.
        """
        try:
            connection = await self._open(address)
        except OSError as error:
            return isinstance(error, ConnectionRefusedError)
        connection.close()
        return False

    def close_idle(self, now_s: float | None = None) -> None:
        """Close idle connections.

        :param now_s: current time, to close only connections that were idle
            for too long; ``None`` closes all.
        """
        for address, idle in tuple(self._idle.items()):
            kept = []
            for connection, expires_s in idle:
                if now_s is not None and now_s < expires_s:
                    kept.append((connection, expires_s))
                else:
                    connection.close()
            self._idle[address] = kept
            if not kept:
                self._idle.pop(address)

    def _drop_idle(self, address: str) -> None:
        """Close the idle connections to a target that did not answer.

        What keeps one connection silent may have hit the others, too.
        """
        for connection, _ in self._idle.pop(address, ()):
            connection.close()

    def _make_capacity(self, address: str, max_connections: int) -> None:
        """Close an idle connection if a limit is reached.

        :raises ConnectionLimitError: if no idle connection can be closed.
        """
        if self._counts.of(address) >= max_connections:
            if not self._close_oldest(address):
                raise ConnectionLimitError(
                    f'{address}: {max_connections} connections are open',
                )
        if self._counts.total >= self.max_open:
            if not any(
                self._close_oldest(other) for other in tuple(self._idle)
            ):
                raise ConnectionLimitError(
                    f'{self.max_open} connections to targets are open',
                )

    def _close_oldest(self, address: str) -> bool:
        """Close the connection to a target that was idle for longest.

        :returns: ``False`` if there is no idle connection.
        """
        idle = self._idle.get(address)
        if not idle:
            return False
        connection, _ = idle.pop(0)
        connection.close()
        return True

    async def _open(self, address: str) -> TargetConnection:
        ip, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        connection = TargetConnection(address, self._counts, self._drop_idle)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: connection, ip, int(port))
        except BaseException as error:
            connection.discard()
            if isinstance(error, TimeoutError):
                raise ConnectionError(
                    f'{address}: no connection in time'
                ) from error
            raise
        self.opened += 1
        return connection
