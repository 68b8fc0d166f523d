"""Writes the answer to one request of a caller."""

from __future__ import annotations

import enum
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from nutmegspoke.forwarded import Headers

logger = logging.getLogger(__name__)


class CallerGoneError(ConnectionError):
    """The connection to the caller is closed or the caller does not read."""


class CloseCause(enum.StrEnum):
    """Why the connection of a caller was closed.

    ``CALLER``: the caller closed it, or it was lost. ``IDLE``: no request came
    in time. ``CAPACITY``: another caller needed its place, or it was one too
    many. ``STOPPING``: the daemon stops. ``ANSWERED``: the answer announced the
    end of the connection. ``REJECTED``: an invalid request. ``ABORTED``: the
    handler gave an answer up or failed. ``NOT_READING``: the caller does not
    read its answer. ``MEMORY``: others needed the memory that its requests or
    its answer took. ``STALLED``: another caller needed its place, and its
    request was not complete.
    """

    CALLER = 'caller'
    IDLE = 'idle'
    CAPACITY = 'capacity'
    STOPPING = 'stopping'
    ANSWERED = 'answered'
    REJECTED = 'rejected'
    ABORTED = 'aborted'
    NOT_READING = 'not_reading'
    MEMORY = 'memory'
    STALLED = 'stalled'


class AnswerConnection(Protocol):
    """Connection on which answers are sent."""

    async def write(self, part: bytes) -> None:
        """Write bytes and wait until the write buffer has space."""

    def closes_after_answer(self) -> bool:
        """Return whether the connection closes after the current answer."""

    def abort(self, cause: CloseCause) -> None:
        """Abort the connection without sending the unsent bytes."""


class Answer:
    """Writer of the answer to one request.

    :param connection: connection on which the answer is sent.
    :ivar has_begun: whether the head was written.
    :ivar has_ended: whether the whole answer was written.
    """

    def __init__(self, connection: AnswerConnection) -> None:
        """Create an answer of which nothing is sent yet."""
        self._connection = connection
        self._is_chunked = False
        self.has_begun = False
        self.has_ended = False

    async def begin(
        self,
        status: int,
        headers: Headers,
        length: int | None,
    ) -> None:
        """Write the status line and the headers.

        :param length: length of the body in bytes; ``None`` if it is unknown,
            in which case the body is sent in chunks.
        """
        self.has_begun = True
        self._is_chunked = length is None
        lines = [b'HTTP/1.1 %d %s' % (status, status_phrase(status))]
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

    async def send_complete(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Write a complete answer."""
        await self.begin(status, headers, len(body))
        await self.send(body)
        await self.end()

    async def fail(self) -> None:
        """Send an error, or abort the answer if it has begun.

        The status promises nothing, as the request may have run.
        """
        if self.has_begun:
            self.abort()
            return
        try:
            await self.send_complete(HTTPStatus.BAD_GATEWAY, [], b'')
        except CallerGoneError as error:
            logger.debug('callers: %s', error)

    def abort(self) -> None:
        """Abort the connection, so that the caller sees an incomplete answer."""
        self._connection.abort(CloseCause.ABORTED)


def status_phrase(status: int) -> bytes:
    """Return the reason phrase of a status."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'
