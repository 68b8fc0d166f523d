"""Connections to targets, each with one request at a time."""

from __future__ import annotations

import asyncio
import collections
import logging
import socket
from typing import TYPE_CHECKING, Any

from nutmegspoke.edge.answer_reader import (
    AnswerEvent,
    AnswerLost,
    AnswerPart,
    AnswerReader,
    AnswerStalled,
)
from nutmegspoke.probed_sockets import probe

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.forwarded import Headers

logger = logging.getLogger(__name__)

# A connection stands within a round trip; a lost packet costs a second.
CONNECT_TIMEOUT_S = 0.4
# Bytes of an answer that wait for the caller before the target has to wait.
_READ_BUFFER_BYTES = 262_144
# Part of the idle time that a target allows in which a connection is reused.
_KEPT_SHARE = 0.5
# Idle time if the target tells none.
_DEFAULT_KEPT_S = 2.0
_MAX_IDLE_PER_TARGET = 16


class ConnectionLimitError(ConnectionError):
    """As many connections are open as may be."""


class OpenCounts:
    """Counts the open connections to each target."""

    def __init__(self) -> None:
        """Start without connections."""
        self._counts: collections.Counter[str] = collections.Counter()
        self.total = 0

    def of(self, address: str) -> int:
        """Return how many connections to a target are open."""
        return self._counts[address]

    def opened(self, address: str) -> None:
        """Count a connection."""
        self._counts[address] += 1
        self.total += 1

    def ended(self, address: str) -> None:
        """Count one less."""
        self.total -= 1
        self._counts[address] -= 1
        if not self._counts[address]:
            self._counts.pop(address)


class TargetConnection(asyncio.Protocol):
    """A connection to a target.

    :param address: ``IP:PORT``.
    :param counts: counts the connection while it is open.
    """

    def __init__(self, address: str, counts: OpenCounts) -> None:
        """Wait for the connection to stand."""
        self.address = address
        self._counts = counts
        self._transport: Any = None
        self._reader = AnswerReader(self._took)
        self._events: collections.deque[AnswerEvent] = collections.deque()
        self._buffered = 0
        self._waiter: asyncio.Future[None] | None = None
        self._is_closed = False

    def connection_made(self, transport: Any) -> None:
        """Take the transport; the loop's own class shares no base class."""
        self._transport = transport
        probe(transport.get_extra_info('socket'))
        self._counts.opened(self.address)

    def data_received(self, received: bytes) -> None:
        """Read on; bytes that belong to no request end the use."""
        if not self._reader.expects:
            self.close()
            return
        fault = self._reader.feed(received)
        if fault:
            self._reader.lose(fault)
            self.close()

    def eof_received(self) -> bool:
        """End an answer that has no length; any other is lost."""
        if self._reader.ends_with_connection:
            if not _was_reset(self._transport):
                self._reader.complete()
        self._reader.lose('connection closed')
        self._is_closed = True
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Tell that nothing more comes."""
        self._reader.lose(f'connection lost: {error}')
        self._is_closed = True
        self._transport = None
        self._counts.ended(self.address)

    def send(
        self,
        request: bytes,
        belongs: Callable[[Headers], bool],
    ) -> None:
        """Send a request.

        :param belongs: tells by its headers whether an answer is to it.
        :raises ConnectionError: if the connection is closed.
        """
        if self._transport is None or self._transport.is_closing():
            raise ConnectionError('connection closed before the request')
        self._events.clear()
        self._buffered = 0
        self._reader.expect(belongs)
        self._transport.write(request)

    async def next_event(self) -> AnswerEvent:
        """Wait for the next event of the answer."""
        while not self._events:
            if not self._reader.expects:
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
        """Wake who waits for the answer: an engine on its way has ended."""
        if self._reader.expects:
            self._took(AnswerStalled(address))

    def peek(self) -> AnswerEvent | None:
        """Return the next event if it is already there."""
        return self._events[0] if self._events else None

    def close(self) -> None:
        """Close the connection; a request in work ends with it."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.abort()

    def is_open_answer(self) -> bool:
        """Tell whether more of an answer may come."""
        return self._reader.expects

    def can_be_kept(self) -> bool:
        """Tell whether another request may follow."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._is_closed:
            return False
        if self._reader.expects or not self._reader.keeps_open:
            return False
        return transport.get_write_buffer_size() == 0

    def _took(self, event: AnswerEvent) -> None:
        self._events.append(event)
        if isinstance(event, AnswerPart):
            self._buffered += len(event.body)
            if self._buffered > _READ_BUFFER_BYTES and self._transport:
                self._transport.pause_reading()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _was_reset(transport: Any) -> bool:
    """Tell whether a connection that seems to have ended was reset.

    libuv tells the end of the stream when the last bytes and a reset arrive
    together; the socket still knows.
    """
    opened = transport.get_extra_info('socket')
    try:
        opened.getpeername()
        error = opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except OSError:
        return True
    return error != 0


class TargetConnections:
    """Opens connections to targets and keeps idle ones for a while.

    :param max_open: connections that may be open, to all targets together.
    """

    def __init__(self, max_open: int) -> None:
        """Start without connections."""
        self._idle: dict[str, list[tuple[TargetConnection, float]]] = {}
        self._counts = OpenCounts()
        self.max_open = max_open
        self.opened = 0

    async def take(
        self,
        address: str,
        now_s: float,
        *,
        fresh: bool,
        max_connections: int,
    ) -> TargetConnection:
        """Return a connection to a target.

        :param now_s: present time of the clock that :meth:`keep` is given.
        :param fresh: wants a new connection.
        :param max_connections: connections to this target that may be open.
        :raises ConnectionLimitError: if too many are open.
        :raises OSError: if the target is not reached in time.
        """
        idle = self._idle.get(address, [])
        while idle and not fresh:
            connection, until_s = idle.pop()
            if now_s < until_s and connection.can_be_kept():
                return connection
            connection.close()
        self._make_place(address, max_connections)
        return await self._open(address)

    def keep(
        self,
        connection: TargetConnection,
        keep_alive_s: float | None,
        now_s: float,
    ) -> None:
        """Keep a connection after an answer, if it can be used again.

        :param keep_alive_s: idle time that the target allows.
        """
        idle = self._idle.setdefault(connection.address, [])
        if not connection.can_be_kept() or len(idle) >= _MAX_IDLE_PER_TARGET:
            connection.close()
            return
        allowed_s = _DEFAULT_KEPT_S if keep_alive_s is None else keep_alive_s
        idle.append((connection, now_s + allowed_s * _KEPT_SHARE))

    def close_idle(self, now_s: float | None = None) -> None:
        """Close idle connections.

        :param now_s: closes only those idle for too long; ``None`` for all.
        """
        for address, idle in tuple(self._idle.items()):
            kept = []
            for connection, until_s in idle:
                if now_s is not None and now_s < until_s:
                    kept.append((connection, until_s))
                else:
                    connection.close()
            self._idle[address] = kept
            if not kept:
                self._idle.pop(address)

    def _make_place(self, address: str, max_connections: int) -> None:
        """Close an idle connection if that makes place for a new one.

        :raises ConnectionLimitError: if no idle one does.
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
        """Close the connection to a target that is idle for longest."""
        idle = self._idle.get(address)
        if not idle:
            return False
        connection, _ = idle.pop(0)
        connection.close()
        return True

    async def _open(self, address: str) -> TargetConnection:
        ip, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: TargetConnection(address, self._counts),
                    ip,
                    int(port),
                )
        except TimeoutError as error:
            raise ConnectionError(
                f'{address}: no connection in time'
            ) from error
        self.opened += 1
        return connection
