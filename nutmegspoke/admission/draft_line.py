"""Queue of drafts that wait for free memory, and retry times after refusals."""

from __future__ import annotations

import bisect
import collections
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.admission.returns import RetrySlots
from nutmegspoke.admission.tickets import Ticket

if TYPE_CHECKING:
    from nutmegspoke.admission.returns import RandomSource

# Largest number of drafts that wait on a daemon; more would time out.
MAX_WAITING = 64
# Window in which ended drafts are counted.
_RATE_WINDOW_S = 4.0
# Rate assumed before drafts have ended on this daemon.
_MIN_RATE_PER_S = 0.5
# A draft takes about this long, so an earlier retry finds no more free memory.
_MIN_RETRY_AFTER_S = 0.6
# Callers wait at most a third of their time, which is 20 s for a draft.
_MAX_RETRY_AFTER_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class QueuePosition:
    """Position of a draft in the queue; the lowest is served first.

    :param is_new: the answer has not begun.
    :param team_priority: rank of the team; the lowest is first.
    :param route_priority: rank of the route; the lowest is first.
    :param received_s: time when the draft was received, in seconds.
    :param key: id of the request.
    """

    is_new: bool
    team_priority: int
    route_priority: int
    received_s: float
    key: str


class DraftQueue:
    """Queue of drafts in the order in which they get free memory."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._positions: list[QueuePosition] = []

    def __len__(self) -> int:
        """Return the number of waiting drafts."""
        return len(self._positions)

    def enqueue(self, position: QueuePosition) -> bool:
        """Add a draft to the queue.

        :returns: ``False`` if the queue is full and the draft would be last.
        """
        if (
            len(self._positions) >= MAX_WAITING
            and position > self._positions[-1]
        ):
            return False
        bisect.insort(self._positions, position)
        return True

    def remove(self, position: QueuePosition) -> None:
        """Remove a draft; ignored if it does not wait."""
        index = bisect.bisect_left(self._positions, position)
        if index < len(self._positions) and self._positions[index] == position:
            self._positions.pop(index)

    def is_next(self, position: QueuePosition) -> bool:
        """Return whether no waiting draft precedes a draft."""
        return not self._positions or position <= self._positions[0]


class RetryTimes:
    """Times at which refused callers may retry, at the rate of ended drafts.

    :param source: seeded random source of the jitter.
    """

    def __init__(self, source: RandomSource) -> None:
        """Create an instance without refusals."""
        self._retry_slots = RetrySlots(source)
        self._ended_s: collections.deque[float] = collections.deque()

    def record_ended_draft(self, now_s: float) -> None:
        """Count a draft that has ended and freed its memory."""
        self._ended_s.append(now_s)

    def expected_wait_s(self, waiting: int, now_s: float) -> float:
        """Return the expected wait for free memory, in seconds.

        :param waiting: number of drafts that wait already.
        """
        return (waiting + 1) / self._rate_per_s(now_s)

    def retry_after_s(self, earliest_s: float, now_s: float) -> float:
        """Return the time after which a refused caller may retry, in seconds.

        :param earliest_s: time in which no memory can become free.
        """
        rate_per_s = self._rate_per_s(now_s)
        earliest_s = max(earliest_s, _MIN_RETRY_AFTER_S)
        wait_s = self._retry_slots.assign_slot(
            Ticket(request_id='', team='', deadline_s=now_s),
            now_s + earliest_s,
            rate_per_s,
            now_s,
        )
        return min(wait_s, max(earliest_s, _MAX_RETRY_AFTER_S))

    def _rate_per_s(self, now_s: float) -> float:
        while self._ended_s and self._ended_s[0] < now_s - _RATE_WINDOW_S:
            self._ended_s.popleft()
        rate_per_s = len(self._ended_s) / _RATE_WINDOW_S
        return max(_MIN_RATE_PER_S, rate_per_s)
