"""A connection of a caller: order of its requests, timeouts and memory."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from nutmegspoke.edge.caller_answer import (
    Answer,
    CallerGoneError,
    CloseCause,
    status_phrase,
)
from nutmegspoke.edge.connection_timer import ConnectionTimer
from nutmegspoke.edge.request_reader import RequestReader
from nutmegspoke.edge.write_gate import GatedProtocol

if TYPE_CHECKING:
    from nutmegspoke.edge.http_server import ConnectionSet
    from nutmegspoke.forwarded import CallerRequest

logger = logging.getLogger(__name__)

# Unsent bytes on a connection above which its writer has to wait.
_WRITE_BUFFER_BYTES = 65_536
# Limit on queued requests that a caller pipelines on one connection.
_MAX_PIPELINED = 16
# The connection of a caller that does not read for this time is aborted.
_WRITE_TIMEOUT_S = 15.0
# Time for the first request on a new connection while stopping.
_FIRST_REQUEST_S = 0.5
# Time for a caller to read its last answer and to close the connection.
_LINGER_S = 1.0


class HttpConnection(GatedProtocol):
    """A connection from a caller.

    :param owner: set of the open connections, to which this one is added.
    """

    def __init__(self, owner: ConnectionSet) -> None:
        """Create a connection that waits for its transport."""
        super().__init__()
        self._owner = owner
        self._reader = RequestReader(owner.limits, self._on_request)
        # The value of the request in progress; queued ones have their own.
        self._keep_alive = True
        self._has_announced_close = False
        self._is_new = True
        self._is_ending = False
        self._pipelined: list[tuple[CallerRequest, bool]] = []
        # Status for invalid bytes behind the requests that were read.
        self._fault: HTTPStatus | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer = ConnectionTimer(self._close_unused)
        self._close_cause: CloseCause | None = None
        self._unanswered_count = 0

    @property
    def is_busy(self) -> bool:
        """Return whether a request has arrived or is being answered.

        A request arrives before the loop reads it, and an answer ends with its
        last byte sent, which may be after its handler.
        """
        if self._task is not None or self._pipelined or self._has_unsent:
            return True
        if self._is_ending:
            return False
        if self._is_new and self._owner.is_refusing:
            return True
        return self._reader.is_reading or self._has_unread

    def connection_made(self, transport: Any) -> None:
        """Store the transport, or abort it at the connection limit.

        ``transport`` is typed ``Any`` as the class of the loop's transports
        has no common base class.
        """
        self._transport = transport
        if not self._owner.make_capacity():
            self.abort(CloseCause.CAPACITY)
            return
        transport.set_write_buffer_limits(_WRITE_BUFFER_BYTES)
        self._owner.open.add(self)
        self._timer.start(self._owner.limits.idle_timeout_s)

    def data_received(self, received: bytes) -> None:
        """Parse the received bytes, up to the first invalid ones."""
        self._is_new = False
        if self._is_ending or self._fault is not None:
            return
        if self._task is None and not self._reader.is_reading:
            self._timer.start(self._owner.limits.header_timeout_s)
        self._reader.limits = self._owner.limits
        fault = self._reader.feed(received)
        if fault is not None:
            self._reject(fault)
        elif self._task is None and not self._is_ending:
            _ask_for_body(self._reader, self._transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in progress."""
        self._owner.open.discard(self)
        self._timer.clear()
        self._gate.open(CallerGoneError('caller left'))
        if self._task is not None:
            self._task.cancel()
        self._transport = None
        self._owner.on_close(
            self._close_cause or CloseCause.CALLER, self._unanswered_count
        )

    async def write(self, part: bytes) -> None:
        """Write bytes and wait until the write buffer has space.

        :raises CallerGoneError: if the connection is closed, or if the
            caller does not read in time.
        """
        if self._transport is None or self._transport.is_closing():
            raise CallerGoneError('caller left')
        self._transport.write(part)
        try:
            await self._gate.wait(_WRITE_TIMEOUT_S)
        except TimeoutError as error:
            self.abort(CloseCause.NOT_READING)
            raise CallerGoneError('caller does not read') from error

    def closes_after_answer(self) -> bool:
        """Return whether the connection closes after the current answer.

        If so, the answer must announce it. While stopping it is the answer to
        the last request that was read.
        """
        is_last = not self._pipelined and not self._reader.is_reading
        self._has_announced_close = not self._keep_alive or (
            self._owner.is_stopping and is_last
        )
        return self._has_announced_close

    def abort(self, cause: CloseCause) -> None:
        """Abort the connection without sending the unsent bytes."""
        self._close_cause = self._close_cause or cause
        if self._transport is not None:
            self._transport.abort()

    def close(self, cause: CloseCause) -> None:
        """Close the connection after the unsent bytes."""
        self._close_cause = self._close_cause or cause
        if self._transport is not None:
            self._transport.close()

    def retire(self) -> None:
        """Close the connection unless it has, or awaits, a request.

        Callers send the first request once a connection is open.
        """
        if self._is_new:
            self._timer.start(_FIRST_REQUEST_S)
        elif not self.is_busy:
            self.close(CloseCause.STOPPING)

    def _end(self, cause: CloseCause) -> None:
        """Close the connection once the caller has read its last answer.

        Received bytes are dropped until then. A connection that is closed with
        unread ones is reset, and a reset discards what the caller has not read.
        """
        self._close_cause = self._close_cause or cause
        if self._transport is None or self._transport.is_closing():
            return
        self._is_ending = True
        self._transport.write_eof()
        self._timer.start(_WRITE_TIMEOUT_S if self._has_unsent else _LINGER_S)

    def _on_request(self, request: CallerRequest) -> None:
        if self._fault is not None:
            return
        if len(self._pipelined) == _MAX_PIPELINED:
            self._reject(HTTPStatus.BAD_REQUEST)
            return
        self._unanswered_count += 1
        if self._transport is None or self._transport.is_closing():
            return
        self._timer.clear()
        self._pipelined.append((request, self._reader.keep_alive))
        if self._task is None:
            self._serve_next()

    def _serve_next(self) -> None:
        if self._owner.is_refusing:
            self._pipelined.clear()
            self._unanswered_count -= 1
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        request, keep_alive = self._pipelined.pop(0)
        self._keep_alive = keep_alive
        self._task = asyncio.create_task(self._serve(request))

    async def _serve(self, request: CallerRequest) -> None:
        answer = Answer(self)
        try:
            await self._owner.handler.handle(request, answer)
        except CallerGoneError as error:
            logger.debug('callers: %s', error)
        except asyncio.CancelledError:
            answer.abort()
            raise
        except Exception:
            logger.exception('callers: request failed')
            await answer.fail()
        finally:
            self._task = None
        self._finish(answer)

    def _finish(self, answer: Answer) -> None:
        if answer.has_ended:
            self._unanswered_count -= 1
        if self._transport is None:
            return
        if not answer.has_ended:
            self.abort(CloseCause.ABORTED)
        elif self._has_announced_close:
            self._end(CloseCause.ANSWERED)
        elif self._pipelined:
            self._serve_next()
        else:
            self.await_request()

    def await_request(self) -> None:
        """Wait for the next request, or for the rest of one that has begun.

        Once requests are refused, only for the latter.
        """
        if self._is_ending:
            return
        if self._fault is not None:
            self._reject(self._fault)
        elif self._reader.is_reading:
            self._timer.start(self._owner.limits.header_timeout_s)
            _ask_for_body(self._reader, self._transport)
        elif self._owner.is_refusing and not self._has_unread:
            self._end(CloseCause.STOPPING)
        else:
            self._timer.start(self._owner.limits.idle_timeout_s)

    def _close_unused(self) -> None:
        if self._task is not None:
            return
        self._is_new = False
        if self._is_ending:
            self.abort(CloseCause.NOT_READING)
        elif self._has_unsent:
            self._end(CloseCause.NOT_READING)
        else:
            self.close(CloseCause.IDLE)

    def _reject(self, status: HTTPStatus) -> None:
        """Answer a request with an error status and close.

        The requests before it are answered first.
        """
        if self._transport is None or self._transport.is_closing():
            return
        self._fault = status
        if self._task is None and not self._is_ending:
            self._transport.write(
                b'HTTP/1.1 %d %s\r\nContent-Length: 0\r\n'
                b'Connection: close\r\n\r\n' % (status, status_phrase(status)),
            )
            self._end(CloseCause.REJECTED)


def _ask_for_body(
    reader: RequestReader, transport: asyncio.Transport | None
) -> None:
    """Send the interim answer that a caller may wait for."""
    if reader.awaits_continue and transport is not None:
        reader.awaits_continue = False
        transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
