"""Tests of the calls of a follower, which may be answered late."""

from __future__ import annotations

import unittest

from nutmegspoke.edge.table_polls import TablePolls
from nutmegspoke.metadata_store import HistoryLost, StoredRow, TableChanges

_CHANGED = TableChanges(8, (StoredRow('t/x', 8, b''),))
_REMOVED = TableChanges(8, (), ('x',))
_UNCHANGED = TableChanges(8)
_CALLED_S = 100.0
_WAIT_S = 1.2


class _Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.time_s = _CALLED_S

    def now_s(self) -> float:
        return self.time_s

    def wall_s(self) -> float:
        return self.time_s


class _LateFeed:
    """A store whose answers arrive late; the process may have been stopped."""

    def __init__(
        self, clock: _Clock, answer: TableChanges | HistoryLost
    ) -> None:
        self._clock = clock
        self._answer = answer

    async def snapshot(self, table: str) -> TableChanges | HistoryLost:
        self._clock.time_s += 5.0
        return self._answer

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> TableChanges | HistoryLost:
        self._clock.time_s += 5.0
        return self._answer


class LateAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An answer tells of the time at which it was given, not of its arrival."""

    async def _read(
        self, answer: TableChanges | HistoryLost, since: int | None
    ) -> float:
        """Return when the store can have given an answer 5 s after the call."""
        clock = _Clock()
        polls = TablePolls('t', _LateFeed(clock, answer), clock)
        found = await polls.read(since, _WAIT_S)
        self.assertIs(found, answer)
        return polls.answered_s(answer, clock.now_s())

    async def test_changes(self) -> None:
        """Guards against a copy that counts as current when it arrives.

        The store may have written more since, and the process that reads it
        may have been stopped for seconds.
        """
        for answer in (_CHANGED, _REMOVED, HistoryLost()):
            self.assertEqual(await self._read(answer, 7), _CALLED_S)

    async def test_a_whole_table(self) -> None:
        """A call for a whole table waits for nothing, even if it is empty."""
        for answer in (_CHANGED, _UNCHANGED):
            self.assertEqual(await self._read(answer, None), _CALLED_S)

    async def test_no_change(self) -> None:
        """The store says so after the wait, and not later than now."""
        found_s = await self._read(_UNCHANGED, 7)
        self.assertEqual(found_s, _CALLED_S + _WAIT_S)
        polls = TablePolls('t', _LateFeed(_Clock(), _UNCHANGED), _Clock())
        await polls.read(7, _WAIT_S)
        self.assertEqual(polls.answered_s(_UNCHANGED, _CALLED_S), _CALLED_S)
