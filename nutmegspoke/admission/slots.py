"""The requests of a pool that run, and how many may run at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.errors import BrokenInvariantError

if TYPE_CHECKING:
    from nutmegspoke.admission.tickets import Ticket


class Slots:
    """Slots for running requests.

    :ivar capacity: requests that may run at once.
    :ivar paused_until_s: no slot is given out before this time.
    """

    def __init__(self, capacity: int) -> None:
        """Create free slots."""
        self.capacity = capacity
        self.paused_until_s = 0.0
        self._started_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of running requests."""
        return len(self._started_s)

    def __contains__(self, request_id: object) -> bool:
        """Tell whether a request runs."""
        return request_id in self._started_s

    @property
    def is_full(self) -> bool:
        """Tell whether no further request may run."""
        return len(self._started_s) >= self.capacity

    def has_free(self, now_s: float) -> bool:
        """Tell whether a request may start now."""
        return now_s >= self.paused_until_s and not self.is_full

    def take(self, ticket: Ticket, now_s: float) -> None:
        """Let a request run."""
        self._started_s[ticket.request_id] = now_s

    def free(self, ticket: Ticket) -> float:
        """Note that a request runs no longer.

        :returns: when it started.
        :raises BrokenInvariantError: if it does not run.
        """
        if ticket.request_id not in self._started_s:
            raise BrokenInvariantError(f'not running: {ticket.request_id}')
        return self._started_s.pop(ticket.request_id)
