"""The sending side of a connection of a caller, and how it ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from nutmegspoke.admission.caller_memory import CallerAccount
from nutmegspoke.edge.caller_answer import (
    CallerGoneError,
    CloseCause,
    status_phrase,
)
from nutmegspoke.edge.connection_timer import ConnectionTimer
from nutmegspoke.edge.write_gate import GatedProtocol

if TYPE_CHECKING:
    from collections.abc import Callable
    from http import HTTPStatus

    from nutmegspoke.edge.http_server import ConnectionSet

# Unsent bytes on a connection above which its writer has to wait.
WRITE_BUFFER_BYTES = 65_536
# The connection of a caller that does not read for this time is aborted.
_WRITE_TIMEOUT_S = 15.0
# Time for a caller to read its last answer and to close the connection.
LINGER_S = 1.0
# Received bytes by which a request has come a good deal closer to its end.
_PROGRESS_BYTES = 16_384


class CallerTransport(GatedProtocol):
    """Connection of a caller on which answers are written.

    :param owner: set of the open connections.
    :param shed: gives memory back that others need.
    :param on_timeout: called when a deadline of the connection passes.
    """

    def __init__(
        self,
        owner: ConnectionSet,
        shed: Callable[[], None],
        on_timeout: Callable[[], None],
    ) -> None:
        """Create a connection that waits for its transport."""
        super().__init__()
        self._owner = owner
        self._timer = ConnectionTimer(on_timeout)
        self._now_s = asyncio.get_running_loop().time
        self._account = CallerAccount(owner.memory, shed, self._now_s())
        # Bytes received since the connection was last noted to progress.
        self._unnoted_bytes = 0
        self._is_ending = False
        self._close_cause: CloseCause | None = None

    def pause_writing(self) -> None:
        """Make writers wait, and count the answer that is not read.

        What it takes beyond the write buffer is counted where it is held.
        """
        super().pause_writing()
        self._account.hold_unread(WRITE_BUFFER_BYTES)
        # The transport is in the middle of a write.
        asyncio.get_running_loop().call_soon(self._owner.shed_excess)

    def resume_writing(self) -> None:
        """Let waiting writers continue, as the caller reads."""
        super().resume_writing()
        self._account.hold_unread(0)
        self._note_progress()

    async def write(self, part: bytes) -> None:
        """Write bytes and wait until the write buffer has space.

        A long part is written in copied pieces: the write buffer would hold the
        whole of it for as long as any of it is unsent.

        :raises CallerGoneError: if the connection is closed, or if the
            caller does not read in time.
        """
        if len(part) <= WRITE_BUFFER_BYTES:
            await self._write_piece(part, _WRITE_TIMEOUT_S)
            return
        last_s = self._now_s() + _WRITE_TIMEOUT_S
        for start in range(0, len(part), WRITE_BUFFER_BYTES):
            piece = part[start : start + WRITE_BUFFER_BYTES]
            await self._write_piece(piece, last_s - self._now_s())

    async def _write_piece(self, piece: bytes, timeout_s: float) -> None:
        if self._transport is None or self._transport.is_closing():
            raise CallerGoneError('caller left')
        self._transport.write(piece)
        try:
            await self._gate.wait(timeout_s)
        except TimeoutError as error:
            self.abort(CloseCause.NOT_READING)
            raise CallerGoneError('caller does not read') from error

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
        self._timer.start(_WRITE_TIMEOUT_S if self._has_unsent else LINGER_S)

    def _write_status(self, status: HTTPStatus) -> None:
        if self._transport is not None:
            self._transport.write(
                b'HTTP/1.1 %d %s\r\nContent-Length: 0\r\n'
                b'Connection: close\r\n\r\n' % (status, status_phrase(status)),
            )

    def _note_progress(self, received_bytes: int = _PROGRESS_BYTES) -> None:
        """Note that a request or its answer has come further.

        :param received_bytes: bytes received; few of them are no progress.
        """
        self._unnoted_bytes += received_bytes
        if self._unnoted_bytes >= _PROGRESS_BYTES:
            self._unnoted_bytes = 0
            self._account.progressed(self._now_s())
            self._owner.note_progress(self)
