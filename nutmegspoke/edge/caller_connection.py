"""A connection of a caller: order of its requests, timeouts and memory."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from nutmegspoke.edge.caller_answer import Answer, CallerGoneError, CloseCause
from nutmegspoke.edge.caller_transport import (
    LINGER_S,
    WRITE_BUFFER_BYTES,
    CallerTransport,
)
from nutmegspoke.edge.request_queue import RequestQueue
from nutmegspoke.edge.request_reader import RequestReader

if TYPE_CHECKING:
    from nutmegspoke.edge.http_server import ConnectionSet
    from nutmegspoke.forwarded import CallerRequest

logger = logging.getLogger(__name__)

# Limit on queued requests that a caller pipelines on one connection.
_MAX_PIPELINED = 16
# Time for the first request on a new connection while stopping.
_FIRST_REQUEST_S = 0.5


class HttpConnection(CallerTransport):
    """A connection from a caller.

    :param owner: set of the open connections, to which this one is added.
    """

    def __init__(self, owner: ConnectionSet) -> None:
        """Create a connection that waits for its transport."""
        super().__init__(owner, self._shed, self._close_unused)
        self._reader = RequestReader(owner.limits, self._on_request)
        # The value of the request in progress; queued ones have their own.
        self._keep_alive = True
        self._has_announced_close = False
        self._is_new = True
        self._is_head_timed = False
        self._pipelined = RequestQueue(self._reader, self._account, owner)
        # Status for invalid bytes behind the requests that were read.
        self._fault: HTTPStatus | None = None
        self._fault_cause = CloseCause.REJECTED
        self._task: asyncio.Task[None] | None = None
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

    @property
    def is_incomplete(self) -> bool:
        """Return whether all that keeps it busy is an incomplete request."""
        if self._task is not None or self._pipelined or self._has_unsent:
            return False
        return self._reader.is_reading and not self._is_ending

    def connection_made(self, transport: Any) -> None:
        """Store the transport, or abort it at the connection limit.

        ``transport`` is typed ``Any`` as the class of the loop's transports
        has no common base class.
        """
        self._transport = transport
        if not self._owner.make_capacity():
            self.abort(CloseCause.CAPACITY)
            return
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        self._owner.open[self] = None
        self._timer.start(self._owner.limits.idle_timeout_s)

    def data_received(self, received: bytes) -> None:
        """Parse the received bytes, up to the first invalid ones."""
        self._is_new = False
        if self._is_ending or self._fault is not None:
            return
        if self._task is None and not self._reader.is_reading:
            if not self._is_head_timed:
                self._is_head_timed = True
                self._timer.start(self._owner.limits.header_timeout_s)
        self._reader.limits = self._owner.limits
        fault = self._reader.feed(received)
        if fault is not None and self._fault is None:
            self._reject(fault, CloseCause.REJECTED)
        elif self._task is None and not self._is_ending:
            _ask_for_body(self._reader, self._transport)
        self._note_progress(len(received))
        self._pipelined.count()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in progress."""
        self._owner.open.pop(self, None)
        self._reader.release()
        self._pipelined.clear()
        self._account.release()
        self._timer.clear()
        self._gate.open(CallerGoneError('caller left'))
        if self._task is not None:
            self._task.cancel()
        self._transport = None
        self._owner.on_close(
            self._close_cause or CloseCause.CALLER, self._unanswered_count
        )

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

    def time_out(self) -> None:
        """Refuse an incomplete request, as its place is needed.

        What is received afterwards is not read.
        """
        if self._transport is None or self._transport.is_closing():
            return
        self._write_status(HTTPStatus.REQUEST_TIMEOUT)
        self._is_ending = True
        self._reader.release()
        self._pipelined.count()
        self.close(CloseCause.STALLED)
        self._timer.start(LINGER_S)

    def retire(self) -> None:
        """Close the connection unless it has, or awaits, a request.

        Callers send the first request once a connection is open.
        """
        if self._is_new:
            self._timer.start(_FIRST_REQUEST_S)
        elif not self.is_busy:
            self.close(CloseCause.STOPPING)

    def _on_request(self, request: CallerRequest) -> None:
        if self._fault is not None:
            return
        if len(self._pipelined) == _MAX_PIPELINED:
            self._reject(HTTPStatus.BAD_REQUEST, CloseCause.REJECTED)
            return
        self._unanswered_count += 1
        if self._transport is None or self._transport.is_closing():
            return
        self._timer.clear()
        self._is_head_timed = False
        self._pipelined.append(request)
        if self._task is None:
            self._serve_next()

    def _serve_next(self) -> None:
        if self._owner.is_refusing:
            self._refuse_waiting(CloseCause.REJECTED)
            return
        queued = self._pipelined.pop()
        if self._account.waiting_bytes:
            self._pipelined.count()
        if not self._account.may_run(queued.running_bytes, self._now_s()):
            self._pipelined.clear()
            self._unanswered_count -= 1
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE, CloseCause.MEMORY)
            return
        self._keep_alive = queued.keep_alive
        self._task = asyncio.create_task(self._serve(queued.request))

    def _refuse_waiting(self, cause: CloseCause) -> None:
        """Refuse all requests that have not begun to run, and close.

        The first of them gets the answer; the others end unread.
        """
        if self._pipelined:
            self._pipelined.clear()
            self._unanswered_count -= 1
        self._reject(HTTPStatus.SERVICE_UNAVAILABLE, cause)
        self._pipelined.count()

    def _shed(self) -> None:
        """Give memory back: an answer that is not read, or what waits."""
        if self._account.unread_bytes > self._account.waiting_bytes:
            self.abort(CloseCause.MEMORY)
        else:
            self._refuse_waiting(CloseCause.MEMORY)

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
            self._account.hold_running(0)
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
        self._is_head_timed = False
        self._note_progress()
        if self._fault is not None:
            self._reject(self._fault, self._fault_cause)
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

    def _reject(self, status: HTTPStatus, cause: CloseCause) -> None:
        """Answer a request with an error status and close.

        The requests before it are answered first.
        """
        if self._transport is None or self._transport.is_closing():
            return
        self._fault = status
        self._fault_cause = cause
        self._reader.release()
        if self._task is None and not self._is_ending:
            self._write_status(status)
            self._end(cause)


def _ask_for_body(
    reader: RequestReader, transport: asyncio.Transport | None
) -> None:
    """Send the interim answer that a caller may wait for."""
    if reader.awaits_continue and transport is not None:
        reader.awaits_continue = False
        transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
