"""The line of drafts that wait for room, and when refused ones may return."""

from __future__ import annotations

import bisect
import collections
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.admission.returns import ReturnBook
from nutmegspoke.admission.tickets import Ticket

if TYPE_CHECKING:
    from nutmegspoke.admission.returns import RandomSource

# Drafts that wait on one daemon at most; more would wait in vain.
MAX_WAITING = 64
# Time over which ended drafts are counted.
_RATE_WINDOW_S = 4.0
# A daemon is taken to end a draft now and then, before it has seen one.
_LEAST_RATE_PER_S = 0.5
# A refused caller finds nothing new sooner: a draft takes about that long.
_EARLIEST_RETURN_S = 0.6
# Callers wait no longer than a third of their time; drafts have 20 s.
_LATEST_RETURN_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class QueuePosition:
    """Place of a draft in the line; the lowest goes first.

    :param is_new: its answer has not begun.
    :param team_priority: rank of its team.
    :param route_priority: rank of its route.
    :param arrived_s: when it came.
    :param key: id of the request.
    """

    is_new: bool
    team_priority: int
    route_priority: int
    arrived_s: float
    key: str


class DraftQueue:
    """Drafts that wait, in the order in which they get room."""

    def __init__(self) -> None:
        """Start with nobody in line."""
        self._places: list[QueuePosition] = []

    def __len__(self) -> int:
        """Return the number of drafts that wait."""
        return len(self._places)

    def enqueue(self, place: QueuePosition) -> bool:
        """Wait; ``False`` if the line is full of others that go first."""
        if len(self._places) >= MAX_WAITING and place > self._places[-1]:
            return False
        bisect.insort(self._places, place)
        return True

    def remove(self, place: QueuePosition) -> None:
        """Wait no more."""
        at = bisect.bisect_left(self._places, place)
        if at < len(self._places) and self._places[at] == place:
            self._places.pop(at)

    def is_next(self, place: QueuePosition) -> bool:
        """Tell whether nobody in line goes before a draft."""
        return not self._places or place <= self._places[0]


class RetryTimes:
    """Spreads the returns of refused callers over the time that work takes.

    :param source: seeded source of the jitter.
    """

    def __init__(self, source: RandomSource) -> None:
        """Start without refusals."""
        self._book = ReturnBook(source)
        self._ended_s: collections.deque[float] = collections.deque()

    def record_ended_draft(self, now_s: float) -> None:
        """Count a draft that has ended and left room."""
        self._ended_s.append(now_s)

    def expected_wait_s(self, waiting: int, now_s: float) -> float:
        """Return when room is expected behind so many drafts that wait."""
        return (waiting + 1) / self._rate_per_s(now_s)

    def retry_after_s(self, earliest_s: float, now_s: float) -> float:
        """Return when a refused caller may come back.

        :param earliest_s: time in which there can't be room yet.
        """
        rate_per_s = self._rate_per_s(now_s)
        earliest_s = max(earliest_s, _EARLIEST_RETURN_S)
        wait_s = self._book.promise(
            Ticket(request_id='', team='', deadline_s=now_s),
            now_s + earliest_s,
            rate_per_s,
            now_s,
        )
        return min(wait_s, max(earliest_s, _LATEST_RETURN_S))

    def _rate_per_s(self, now_s: float) -> float:
        while self._ended_s and self._ended_s[0] < now_s - _RATE_WINDOW_S:
            self._ended_s.popleft()
        rate_per_s = len(self._ended_s) / _RATE_WINDOW_S
        return max(_LEAST_RATE_PER_S, rate_per_s)
