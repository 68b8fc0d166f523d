"""Requests of one caller that wait for the ones before them."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from nutmegspoke.admission.caller_memory import SMALL_BYTES

if TYPE_CHECKING:
    from nutmegspoke.admission.caller_memory import CallerAccount
    from nutmegspoke.edge.http_server import ConnectionSet
    from nutmegspoke.edge.request_reader import RequestReader
    from nutmegspoke.forwarded import CallerRequest


class QueuedRequest(NamedTuple):
    """A complete request that has not begun to run.

    :param keep_alive: whether the connection stays open after its answer.
    :param held_bytes: memory that it takes.
    """

    request: CallerRequest
    keep_alive: bool
    held_bytes: int

    @property
    def running_bytes(self) -> int:
        """Return the memory that it takes as it runs.

        The body is joined with another head for the target.
        """
        return self.held_bytes + len(self.request.body)


class RequestQueue:
    """Requests that wait on one connection, and the memory that they take.

    :param reader: reads the requests.
    :param account: memory that the connection takes.
    :param owner: set of the open connections.
    """

    def __init__(
        self,
        reader: RequestReader,
        account: CallerAccount,
        owner: ConnectionSet,
    ) -> None:
        """Start empty."""
        self._reader = reader
        self._account = account
        self._owner = owner
        self._waiting: collections.deque[QueuedRequest] = collections.deque()
        self._held_bytes = 0

    def __len__(self) -> int:
        """Return the number of complete requests."""
        return len(self._waiting)

    def append(self, request: CallerRequest) -> None:
        """Add the request that was read last."""
        reader = self._reader
        queued = QueuedRequest(request, reader.keep_alive, reader.request_bytes)
        self._waiting.append(queued)
        self._held_bytes += queued.held_bytes

    def pop(self) -> QueuedRequest:
        """Remove the first request."""
        queued = self._waiting.popleft()
        self._held_bytes -= queued.held_bytes
        return queued

    def clear(self) -> None:
        """Remove all requests."""
        self._waiting.clear()
        self._held_bytes = 0

    def count(self) -> None:
        """Count what all requests take, also the one that is being read."""
        if not self._reader.is_reading and not self._waiting:
            self._account.hold_waiting(0)
            return
        waiting_bytes = self._held_bytes + self._reader.held_bytes
        self._account.hold_waiting(waiting_bytes)
        if waiting_bytes > SMALL_BYTES:
            self._owner.shed_excess()
