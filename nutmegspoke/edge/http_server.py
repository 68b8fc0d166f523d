"""HTTP connections of callers, on which answers may be streamed or cut.

A library server hides when a caller leaves and whether an answer was cut, so
the parser is a library's and the connection is ours.
"""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Protocol

from nutmegspoke.edge.request_reader import RequestReader
from nutmegspoke.edge.write_gate import WriteGate
from nutmegspoke.entry_host import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.forwarded import CallerRequest, Headers

logger = logging.getLogger(__name__)

# Answers that wait in a connection before its writer has to wait too.
_WRITE_BUFFER_BYTES = 65_536
# Requests that a caller may send ahead on one connection.
_MAX_AHEAD = 16
# A caller that reads nothing for so long is cut off.
_WRITE_TIMEOUT_S = 15.0


# Connections of a server that is given no other limit.
_MAX_OPEN = 1_024


class CallerGoneError(ConnectionError):
    """The caller has closed its connection."""


class Handler(Protocol):
    """Answers requests."""

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answer a request; cancelled when the caller leaves."""


class ConnectionSet:
    """All open connections of a server, and its limits.

    :param handler: answers the requests.
    """

    def __init__(self, handler: Handler) -> None:
        """Start without connections."""
        self.handler = handler
        self.limits = CallerLimits()
        self.is_stopping = False
        self.max_open = _MAX_OPEN
        self.turned_away = 0
        self.open: set[HttpConnection] = set()

    def connect(self) -> HttpConnection:
        """Return the protocol of a new connection."""
        return HttpConnection(self)

    def has_place(self) -> bool:
        """Make place for a connection; ``False`` if all others are in use.

        An idle connection is closed for it: its caller opens a new one.
        """
        if len(self.open) < self.max_open:
            return True
        for connection in self.open:
            if not connection.is_busy:
                connection.close_if_idle()
                return True
        self.turned_away += 1
        return False

    def close_idle(self) -> None:
        """Close the connections on which no request is in work."""
        for connection in tuple(self.open):
            connection.close_if_idle()

    def busy(self) -> int:
        """Return the number of connections with a request in work."""
        return sum(1 for connection in self.open if connection.is_busy)

    def cut(self) -> None:
        """Abort the connections that are left."""
        for connection in tuple(self.open):
            connection.abort()


class Answer:
    """The answer to one request, written in parts.

    :param connection: where it goes.
    """

    def __init__(self, connection: HttpConnection) -> None:
        """Begin with nothing written."""
        self._connection = connection
        self._is_chunked = False
        self.has_ended = False

    async def begin(
        self,
        status: int,
        headers: Headers,
        length: int | None,
    ) -> None:
        """Write the head.

        :param length: bytes of the body; ``None`` if it is not yet known.
        """
        self._is_chunked = length is None
        lines = [b'HTTP/1.1 %d %s' % (status, _phrase(status))]
        lines.extend(b'%s: %s' % header for header in headers)
        if length is None:
            lines.append(b'Transfer-Encoding: chunked')
        else:
            lines.append(b'Content-Length: %d' % length)
        if self._connection.closes_after_answer():
            lines.append(b'Connection: close')
        await self._connection.write(b'\r\n'.join((*lines, b'', b'')))

    async def send(self, part: bytes) -> None:
        """Write a part of the body."""
        if not part:
            return
        if self._is_chunked:
            part = b'%x\r\n%s\r\n' % (len(part), part)
        await self._connection.write(part)

    async def end(self) -> None:
        """Complete the body."""
        if self._is_chunked:
            await self._connection.write(b'0\r\n\r\n')
        self.has_ended = True

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Write head and body at once."""
        await self.begin(status, headers, len(body))
        await self.send(body)
        await self.end()

    def cut(self) -> None:
        """Break the connection off, so that the answer looks incomplete."""
        self._connection.abort()


class HttpConnection(asyncio.Protocol):
    """One connection of a caller.

    :param owner: the set of all connections.
    """

    def __init__(self, owner: ConnectionSet) -> None:
        """Wait for a request."""
        self._owner = owner
        self._reader = RequestReader(owner.limits, self._took)
        self._transport: asyncio.Transport | None = None
        self._keep_alive = True
        self._ahead: list[CallerRequest] = []
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._gate = WriteGate()

    @property
    def is_busy(self) -> bool:
        """Tell whether a request is being read or answered."""
        if self._task is not None or self._ahead:
            return True
        return self._reader.is_reading

    def connection_made(self, transport: Any) -> None:
        """Take the transport; the loop's own class shares no base class."""
        self._transport = transport
        if not self._owner.has_place():
            transport.abort()
            return
        transport.set_write_buffer_limits(_WRITE_BUFFER_BYTES)
        self._owner.open.add(self)
        self._arm(self._owner.limits.idle_timeout_s)

    def data_received(self, received: bytes) -> None:
        """Parse what came."""
        if not self.is_busy:
            self._arm(self._owner.limits.header_timeout_s)
        self._reader.limits = self._owner.limits
        fault = self._reader.feed(received)
        if fault is not None:
            self._reject(fault)

    def connection_lost(self, error: Exception | None) -> None:
        """End the work for the caller."""
        self._owner.open.discard(self)
        self._arm(None)
        self._gate.open(CallerGoneError('caller left'))
        if self._task is not None:
            self._task.cancel()
        self._transport = None

    def pause_writing(self) -> None:
        """Let the writer wait."""
        self._gate.close()

    def resume_writing(self) -> None:
        """Let the writer go on."""
        self._gate.open()

    async def write(self, part: bytes) -> None:
        """Write, waiting while the caller does not read.

        :raises CallerGoneError: if the connection is closed or not read.
        """
        if self._transport is None or self._transport.is_closing():
            raise CallerGoneError('caller left')
        self._transport.write(part)
        try:
            await self._gate.wait(_WRITE_TIMEOUT_S)
        except TimeoutError as error:
            self.abort()
            raise CallerGoneError('caller does not read') from error

    def closes_after_answer(self) -> bool:
        """Tell whether the present answer is the connection's last."""
        if self._owner.is_stopping:
            self._keep_alive = False
        return not self._keep_alive

    def close_if_idle(self) -> None:
        """Close the connection if no request is in work."""
        if not self.is_busy and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Break the connection off."""
        if self._transport is not None:
            self._transport.abort()

    def _took(self, request: CallerRequest) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._arm(None)
        self._keep_alive = self._reader.keeps_open
        self._ahead.append(request)
        if self._task is None:
            self._next()
        elif len(self._ahead) > _MAX_AHEAD:
            self._reject(HTTPStatus.BAD_REQUEST)

    def _next(self) -> None:
        request = self._ahead.pop(0)
        self._task = asyncio.create_task(self._serve(request))

    async def _serve(self, request: CallerRequest) -> None:
        answer = Answer(self)
        try:
            await self._owner.handler.handle(request, answer)
        except CallerGoneError as error:
            logger.debug('callers: %s', error)
        except asyncio.CancelledError:
            answer.cut()
            raise
        except Exception:
            logger.exception('callers: request failed')
            answer.cut()
        finally:
            self._task = None
        self._answered(answer)

    def _answered(self, answer: Answer) -> None:
        if self._transport is None:
            return
        if not answer.has_ended:
            self.abort()
        elif self.closes_after_answer():
            self._transport.close()
        elif self._ahead:
            self._next()
        else:
            self._arm(self._owner.limits.idle_timeout_s)

    def _arm(self, limit_s: float | None) -> None:
        """Close the connection after a time without a request in work."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if limit_s is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(limit_s, self._timed_out)

    def _timed_out(self) -> None:
        if self._task is None and self._transport is not None:
            self._transport.close()

    def _reject(self, status: HTTPStatus) -> None:
        """Answer a request that can't be read, and close."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._task is None:
            self._transport.write(
                b'HTTP/1.1 %d %s\r\nContent-Length: 0\r\n'
                b'Connection: close\r\n\r\n' % (status, _phrase(status)),
            )
        self._transport.close()


def _phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'


async def listen(
    connect: Callable[[], asyncio.Protocol],
    ip: str,
    port: int,
) -> asyncio.Server:
    """Listen on an address."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        connect,
        ip,
        port,
        backlog=1_024,
        reuse_address=True,
    )
