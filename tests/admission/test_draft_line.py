"""Tests of the line for room, and of returns after refusals."""

from __future__ import annotations

import random
import unittest

from nutmegspoke.admission.draft_line import (
    MAX_WAITING,
    DraftQueue,
    QueuePosition,
    RetryTimes,
)


def _place(key: str, **changes: float) -> QueuePosition:
    return QueuePosition(
        is_new=bool(changes.get('is_new', True)),
        team_priority=int(changes.get('team', 1)),
        route_priority=int(changes.get('route', 1)),
        arrived_s=changes.get('arrived_s', 0.0),
        key=key,
    )


class DraftQueueTest(unittest.TestCase):
    """Broken streams first, then team, route and arrival."""

    def test_order(self) -> None:
        """Pattern: a loss under load. Who has half an answer goes first."""
        line = DraftQueue()
        places = [
            _place('late', arrived_s=2.0),
            _place('early', arrived_s=1.0),
            _place('team', team=0, arrived_s=3.0),
            _place('broken', is_new=False, arrived_s=4.0),
        ]
        for place in places:
            self.assertTrue(line.enqueue(place))
        keys = []
        while places:
            (first,) = [place for place in places if line.is_next(place)]
            keys.append(first.key)
            line.remove(first)
            places.remove(first)
        self.assertEqual(keys, ['broken', 'team', 'early', 'late'])
        self.assertEqual(len(line), 0)

    def test_newcomers_don_t_overtake(self) -> None:
        """A small draft does not slip past a large one that waits."""
        line = DraftQueue()
        line.enqueue(_place('waits', arrived_s=1.0))
        self.assertFalse(line.is_next(_place('new', arrived_s=2.0)))

    def test_full_line_takes_only_who_goes_first(self) -> None:
        """The line is bounded; a broken stream still gets in."""
        line = DraftQueue()
        for number in range(MAX_WAITING):
            line.enqueue(_place(f'{number:03}', arrived_s=float(number)))
        self.assertFalse(line.enqueue(_place('new', arrived_s=999.0)))
        self.assertTrue(line.enqueue(_place('broken', is_new=False)))

    def test_leave_twice(self) -> None:
        """Leaving is harmless for who is not in line."""
        line = DraftQueue()
        line.remove(_place('nobody'))
        self.assertEqual(len(line), 0)


class RetryTimesTest(unittest.TestCase):
    """Refused callers return at the pace at which room appears."""

    def test_spreads_returns(self) -> None:
        """Pattern: all are refused at once. Not all return at once."""
        returns = RetryTimes(random.Random(7))
        for _ in range(20):
            returns.record_ended_draft(9.0)
        waits = [returns.retry_after_s(0.0, 10.0) for _ in range(15)]
        self.assertGreaterEqual(min(waits), 0.6)
        self.assertLessEqual(max(waits), 5.0)
        self.assertGreater(max(waits) - min(waits), 2.0)
        first = sum(1 for wait in waits if wait < 1.6)
        self.assertLessEqual(first, 7)

    def test_waits_for_layers(self) -> None:
        """Nobody is told to return before lost layers can be back."""
        returns = RetryTimes(random.Random(7))
        self.assertGreaterEqual(returns.retry_after_s(2.0, 10.0), 2.0)

    def test_retry_time_is_bounded(self) -> None:
        """However many are refused, the time stays usable."""
        returns = RetryTimes(random.Random(7))
        waits = [returns.retry_after_s(0.0, 10.0) for _ in range(200)]
        self.assertEqual(max(waits), 5.0)
