"""Tests of the queue for free memory and of retry times after refusals."""

from __future__ import annotations

import random
import unittest

from nutmegspoke.admission.draft_line import (
    MAX_WAITING,
    DraftQueue,
    QueuePosition,
    RetryTimes,
)


def _queue_position(key: str, **changes: float) -> QueuePosition:
    return QueuePosition(
        is_new=bool(changes.get('is_new', True)),
        team_priority=int(changes.get('team', 1)),
        route_priority=int(changes.get('route', 1)),
        received_s=changes.get('received_s', 0.0),
        key=key,
    )


class DraftQueueTest(unittest.TestCase):
    """Interrupted streams go first, then teams, routes and times of arrival."""

    def test_order(self) -> None:
        """Drafts whose answer has begun go first after a loss under load."""
        queue = DraftQueue()
        positions = [
            _queue_position('late', received_s=2.0),
            _queue_position('early', received_s=1.0),
            _queue_position('team', team=0, received_s=3.0),
            _queue_position('broken', is_new=False, received_s=4.0),
        ]
        for position in positions:
            self.assertTrue(queue.enqueue(position))
        keys = []
        while positions:
            (first,) = [
                position for position in positions if queue.is_next(position)
            ]
            keys.append(first.key)
            queue.remove(first)
            positions.remove(first)
        self.assertEqual(keys, ['broken', 'team', 'early', 'late'])
        self.assertEqual(len(queue), 0)

    def test_newcomers_don_t_overtake(self) -> None:
        """A small draft does not overtake a large one that waits."""
        queue = DraftQueue()
        queue.enqueue(_queue_position('waits', received_s=1.0))
        self.assertFalse(queue.is_next(_queue_position('new', received_s=2.0)))

    def test_full_queue_accepts_only_preceding_drafts(self) -> None:
        """The queue is bounded, but an interrupted stream is still accepted."""
        queue = DraftQueue()
        for number in range(MAX_WAITING):
            queue.enqueue(
                _queue_position(f'{number:03}', received_s=float(number))
            )
        self.assertFalse(
            queue.enqueue(_queue_position('new', received_s=999.0))
        )
        self.assertTrue(queue.enqueue(_queue_position('broken', is_new=False)))

    def test_remove_a_draft_that_does_not_wait(self) -> None:
        """Removal of a draft that does not wait is ignored."""
        queue = DraftQueue()
        queue.remove(_queue_position('nobody'))
        self.assertEqual(len(queue), 0)


class RetryTimesTest(unittest.TestCase):
    """Refused callers retry at the rate at which memory becomes free."""

    def test_spreads_retries(self) -> None:
        """Guards against simultaneous retries after simultaneous refusals."""
        retry_times = RetryTimes(random.Random(7))
        for _ in range(20):
            retry_times.record_ended_draft(9.0)
        waits = [retry_times.retry_after_s(0.0, 10.0) for _ in range(15)]
        self.assertGreaterEqual(min(waits), 0.6)
        self.assertLessEqual(max(waits), 5.0)
        self.assertGreater(max(waits) - min(waits), 2.0)
        first = sum(1 for wait in waits if wait < 1.6)
        self.assertLessEqual(first, 7)

    def test_waits_for_layers(self) -> None:
        """No caller is asked to retry before lost layers can be held again."""
        retry_times = RetryTimes(random.Random(7))
        self.assertGreaterEqual(retry_times.retry_after_s(2.0, 10.0), 2.0)

    def test_retry_time_is_bounded(self) -> None:
        """The retry time is bounded, however many callers are refused."""
        retry_times = RetryTimes(random.Random(7))
        waits = [retry_times.retry_after_s(0.0, 10.0) for _ in range(200)]
        self.assertEqual(max(waits), 5.0)
