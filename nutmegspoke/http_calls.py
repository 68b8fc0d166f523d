"""Client for short HTTP/1.1 calls whose answers fit into memory.

It is used where a process needs little more than its sockets: loading a complete
HTTP library takes longer than all else that a daemon of an entry host loads.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import httptools

from nutmegspoke.path_doubts import PathDoubts, ending_tasks
from nutmegspoke.probed_sockets import probed_socket
from nutmegspoke.untrusted import is_final_status

if TYPE_CHECKING:
    from collections.abc import Mapping

logger = logging.getLogger(__name__)

# Idle time after which a connection is not used again.
_IDLE_TIMEOUT_S = 20.0
_MAX_IDLE_PER_ADDRESS = 16
# Limits on the received bytes of an answer of the store, and on those of its
# body.
_MAX_ANSWER_BYTES = 33_554_432
_MAX_BODY_BYTES = 16_777_216
# A short header takes many times its bytes in memory.
_MAX_HEADERS = 256
_INTERIM = range(100, 200)


class CallError(ConnectionError):
    """A call got no complete answer; the other side may have received it."""


class NotSentError(CallError):
    """A call failed before any of its bytes were sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallAnswer:
    """A complete answer.

    :param headers: headers by their names in lower case.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpCalls:
    """Client that reuses its connections.

    Calls have no timeout of their own. A call that is cancelled closes its
    connection.
    """

    def __init__(self, max_answer_bytes: int = _MAX_ANSWER_BYTES) -> None:
        """Start without connections.

        :param max_answer_bytes: limit on the received bytes of an answer.
        """
        self._max_answer_bytes = max_answer_bytes
        self._idle: dict[str, list[_Connection]] = {}
        self._open: set[_Connection] = set()
        self._doubts = PathDoubts()

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
        query: Mapping[str, str] | None = None,
        patience_s: float | None = None,
    ) -> CallAnswer:
        """Return the answer to a request.

        A GET that fails on a reused connection is repeated once, as the other
        side may have closed that connection while it was idle.

        :param address: ``IP:PORT`` of the server.
        :param patience_s: time after which a GET without an answer is sent on a
            new connection, too; ``None`` for never.
        :raises NotSentError: if no connection can be opened.
        :raises CallError: if the answer is incomplete or not HTTP.
        """
        target = f'{path}?{urlencode(query)}' if query else path
        request = _encode_request(method, address, target, body, headers or {})
        if patience_s is None or method != 'GET':
            return await self._call_once(method, address, request)
        return await self._call_patiently(address, request, patience_s)

    async def _call_once(
        self, method: str, address: str, request: bytes
    ) -> CallAnswer:
        connection = self._take_idle(address)
        if connection is not None:
            try:
                return await self._exchange(connection, address, request)
            except CallError as error:
                if method != 'GET':
                    raise
                logger.info('http calls: repeated to %s: %s', address, error)
        return await self._call_anew(address, request)

    async def _call_anew(self, address: str, request: bytes) -> CallAnswer:
        """Return the answer to a request on a new connection."""
        connection = await self._connect(address)
        return await self._exchange(connection, address, request)

    async def _call_patiently(
        self, address: str, request: bytes, patience_s: float
    ) -> CallAnswer:
        """Return the first answer to a GET, which may be sent a second time.

        The network may have lost track of the open connections to an address.
        If only the new connection brings an answer, other calls that wait there
        are sent again, too.
        """
        with ending_tasks() as calls:
            first = asyncio.create_task(
                self._call_once('GET', address, request)
            )
            calls.add(first)
            await self._doubts.wait(first, address, patience_s)
            if first.done():
                return first.result()
            second = asyncio.create_task(self._call_anew(address, request))
            calls.add(second)
            await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
            if first.done() or second.exception() is not None:
                return await first
            logger.info('http calls: only new connections to %s work', address)
            self._doubts.spread(address)
            return second.result()

    async def close(self) -> None:
        """Close all connections."""
        for connection in tuple(self._open):
            connection.abort()
        self._idle.clear()

    def _take_idle(self, address: str) -> _Connection | None:
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable(now_s):
                return connection
            connection.abort()
        return None

    def _drop_idle(self, address: str) -> None:
        for connection in self._idle.pop(address, ()):
            connection.abort()

    async def _connect(self, address: str) -> _Connection:
        ip, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        opened = probed_socket()
        try:
            await loop.sock_connect(opened, (ip, int(port)))
            _, connection = await loop.create_connection(
                lambda: _Connection(self._open, self._max_answer_bytes),
                sock=opened,
            )
        except OSError as error:
            opened.close()
            raise NotSentError(f'{address}: {error!r}') from error
        except BaseException:
            opened.close()
            raise
        return connection

    async def _exchange(
        self, connection: _Connection, address: str, request: bytes
    ) -> CallAnswer:
        try:
            answer = await connection.exchange(request)
        except BaseException as error:
            logger.info(
                'http calls: no answer from %s: %r; %s',
                address,
                error,
                connection.describe(asyncio.get_running_loop().time()),
            )
            connection.abort()
            # What keeps this connection silent may have hit the others, too.
            self._drop_idle(address)
            raise
        idle = self._idle.setdefault(address, [])
        now_s = asyncio.get_running_loop().time()
        if connection.is_reusable(now_s) and len(idle) < _MAX_IDLE_PER_ADDRESS:
            idle.append(connection)
        else:
            connection.abort()
        return answer


class _Connection(asyncio.Protocol):
    """A connection with at most one request at a time.

    :param opened: set of open connections, to which this one is added.
    :param max_answer_bytes: limit on the received bytes of an answer.
    """

    def __init__(self, opened: set[_Connection], max_answer_bytes: int) -> None:
        """Create a connection that waits for its transport."""
        self._opened = opened
        self._max_answer_bytes = max_answer_bytes
        self._transport: Any = None
        self._parser: Any = None
        self._answer: asyncio.Future[CallAnswer] | None = None
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._received_bytes = 0
        self._keep_alive = False
        self._idle_since_s = 0.0
        self._opened_s = 0.0
        self._sent_s = 0.0
        self._answer_count = 0

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport
        self._opened_s = asyncio.get_running_loop().time()
        self._opened.add(self)

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; those without a request end the connection."""
        if self._answer is None or self._answer.done():
            self.abort()
            return
        self._received_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._fail(f'answer not parsed: {error}')
        if self._received_bytes > self._max_answer_bytes:
            self._fail('answer too long')

    def eof_received(self) -> bool:
        """Complete an answer that ends with its connection."""
        has_framing = self._headers.keys() & {
            'content-length',
            'transfer-encoding',
        }
        if self._parser is not None and self._headers and not has_framing:
            self._keep_alive = False
            self.on_message_complete()
        self._fail('connection closed')
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the call in progress, if there is one."""
        self._transport = None
        self._opened.discard(self)
        self._fail(f'connection lost: {error!r}')

    def is_reusable(self, now_s: float) -> bool:
        """Return whether the connection can carry another request."""
        if self._transport is None or self._transport.is_closing():
            return False
        idle_s = now_s - self._idle_since_s
        return self._keep_alive and idle_s < _IDLE_TIMEOUT_S

    def abort(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.abort()

    async def exchange(self, request: bytes) -> CallAnswer:
        """Send a request and return its answer."""
        loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._headers = {}
        self._body = bytearray()
        self._received_bytes = 0
        self._keep_alive = False
        self._answer = loop.create_future()
        if self._transport is None:
            raise CallError('connection lost before the request')
        self._sent_s = loop.time()
        self._transport.write(request)
        answer = await self._answer
        self._answer_count += 1
        self._idle_since_s = loop.time()
        return answer

    def describe(self, now_s: float) -> str:
        """Return the connection's age and use, for the log."""
        return (
            f'sent {now_s - self._sent_s:.3f} s ago on a connection opened '
            f'{now_s - self._opened_s:.3f} s ago with {self._answer_count} '
            f'answers'
        )

    def on_message_begin(self) -> None:
        """Give up the connection if an answer follows the expected one."""
        if self._answer is not None and self._answer.done():
            self.abort()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header."""
        decoded_name = name.decode('latin-1').lower()
        self._headers[decoded_name] = text.decode('latin-1')
        if len(self._headers) > _MAX_HEADERS:
            self._headers.clear()
            self._fail('too many headers')

    def on_body(self, part: bytes) -> None:
        """Store a chunk of the body."""
        self._body += part
        if len(self._body) > _MAX_BODY_BYTES:
            self._fail('body too long')

    def on_message_complete(self) -> None:
        """Complete the call, unless this is an interim answer."""
        status = self._parser.get_status_code()
        if status in _INTERIM:
            self._headers = {}
            return
        if not is_final_status(status):
            self._fail(f'invalid status {status}')
            return
        self._keep_alive = self._parser.should_keep_alive()
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(
                CallAnswer(status, self._headers, bytes(self._body))
            )

    def _fail(self, reason: str) -> None:
        if self._answer is not None and not self._answer.done():
            self._keep_alive = False
            self._answer.set_exception(CallError(reason))


def _encode_request(
    method: str,
    address: str,
    target: str,
    body: bytes,
    headers: Mapping[str, str],
) -> bytes:
    lines = [f'{method} {target} HTTP/1.1', f'Host: {address}']
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode('latin-1') + body
