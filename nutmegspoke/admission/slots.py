"""Running requests of a pool, and the number that may run at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.errors import BrokenInvariantError

if TYPE_CHECKING:
    from nutmegspoke.admission.tickets import Ticket


class Slots:
    """Slots for running requests.

    :ivar capacity: requests that may run at once.
    :ivar paused_until_s: time before which no request may start.
    """

    def __init__(self, capacity: int) -> None:
        """Create free slots.

        :param capacity: requests that may run at once.
        """
        self.capacity = capacity
        self.paused_until_s = 0.0
        self._started_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of running requests."""
        return len(self._started_s)

    def __contains__(self, request_id: object) -> bool:
        """Return whether the request with an id runs."""
        return request_id in self._started_s

    @property
    def is_full(self) -> bool:
        """Return whether no further request may run."""
        return len(self._started_s) >= self.capacity

    def has_free(self, now_s: float) -> bool:
        """Return whether a request may start now."""
        return now_s >= self.paused_until_s and not self.is_full

    def acquire(self, ticket: Ticket, now_s: float) -> None:
        """Assign a slot to a request that starts.

        The caller must check :meth:`has_free` first.
        """
        self._started_s[ticket.request_id] = now_s

    def release(self, ticket: Ticket) -> float:
        """Release the slot of a request that no longer runs.

        :returns: time at which the request started, in seconds.
        :raises BrokenInvariantError: if the request does not run.
        """
        if ticket.request_id not in self._started_s:
            raise BrokenInvariantError(
                f'request is not running: {ticket.request_id}'
            )
        return self._started_s.pop(ticket.request_id)
