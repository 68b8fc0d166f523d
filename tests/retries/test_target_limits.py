"""Tests of limits that targets name for all hosts together."""

from __future__ import annotations

import itertools
import math
import unittest

from nutmegspoke.retries.target_limits import (
    Demand,
    Draw,
    LimitNews,
    TargetLimits,
)
from tests import builders_edge as build
from tests.retries.limit_simulation import Case, simulate

_HOST_COUNTS = (1, 2, 7, 9, 31, 69, 195, 300)
_LIMITS_PER_S = (0.2, 1.0, 5.0)
_DEMAND_PER_S = 50.0
_SEEDS = range(3)
_USED_PART = 0.8
_TARGET = build.target('t')
_DRAWS = 1_000
_RETURN_S = 2.0


def _open_part(
    limits: TargetLimits, now_s: float, demand_per_s: float = 10.0
) -> float:
    """Return the part of the requests that may be sent to the target."""
    opened = [
        not limits.closed(
            (_TARGET,),
            Draw(number / _DRAWS),
            Demand(demand_per_s),
            {},
            now_s,
        )
        for number in range(_DRAWS)
    ]
    return sum(opened) / _DRAWS


class SharedLimitTest(unittest.TestCase):
    """Many hosts with requests for limited targets, on a virtual clock."""

    def test_requests_at_all_hosts(self) -> None:
        """Guards against hosts that keep a limit, but not all together."""
        self._check_worst()

    def test_requests_at_one_host(self) -> None:
        """Guards against limits that break if one host has most requests."""
        self._check_worst(first_part=0.8)

    def test_requests_that_surge(self) -> None:
        """Guards against limits that break as requests rise within a second.

        The number of requests of all hosts is known some seconds late.
        """
        self._check_worst(demand_per_s=_DEMAND_PER_S / 4, surge=4.0)

    def test_lost_updates(self) -> None:
        """Guards against hosts that send more as they hear less of others."""
        self._check_worst(lost_part=0.1)
        self._check_worst(lost_part=1.0)

    def test_the_allowance_is_used(self) -> None:
        """Guards against an allowance that is lost in shares of hosts."""
        for hosts, first_part in itertools.product(_HOST_COUNTS, (None, 0.8)):
            used = [
                simulate(
                    'draws',
                    Case(hosts, 5.0, _DEMAND_PER_S, first_part=first_part),
                    seed,
                ).used
                for seed in _SEEDS
            ]
            mean = sum(used) / len(used)
            self.assertGreaterEqual(mean, _USED_PART, (hosts, first_part))

    def _check_worst(
        self, *, demand_per_s: float = _DEMAND_PER_S, **changes: float
    ) -> None:
        for hosts, limit in itertools.product(_HOST_COUNTS, _LIMITS_PER_S):
            case = Case(hosts, limit, demand_per_s, **changes)
            self.assertLessEqual(simulate('draws', case, 1).worst, 1.0, case)


class LimitChangesTest(unittest.TestCase):
    """A limit is named, changes and ends."""

    def setUp(self) -> None:
        """Name a limit of 2 a second."""
        self.limits = TargetLimits()
        self.limits.record_answer(_TARGET, 2.0, 0.0)

    def test_a_limit(self) -> None:
        """A part of the requests is sent, by the limit over all requests."""
        self.assertAlmostEqual(_open_part(self.limits, 1.0), 0.2, places=2)
        self.assertEqual(_open_part(self.limits, 1.0, demand_per_s=1.0), 1.0)

    def test_a_change(self) -> None:
        """Guards against a limit that is kept as it was first named."""
        for limit_per_s in (6.0, 1.0, 6.0):
            self.limits.record_answer(_TARGET, limit_per_s, 1.0)
            self.assertAlmostEqual(
                _open_part(self.limits, 1.0), limit_per_s / 10, places=2
            )

    def test_an_open_target_that_is_not_chosen(self) -> None:
        """Guards against an allowance that is lost as others are chosen."""
        parts = [_open_part(self.limits, second) for second in range(1, 9)]
        self.assertEqual(parts, sorted(parts))
        self.assertGreater(parts[-1], 2 * parts[0])
        for _ in range(10):
            self.limits.sent('t', 9.0)
        parts = [
            _open_part(self.limits, 9.0 + step / 4) for step in range(1, 9)
        ]
        self.assertLess(parts[-1], 2 * parts[0])

    def test_the_end(self) -> None:
        """Guards against limits that never end, or end with all at once."""
        self.limits.record_answer(_TARGET, None, 1.0)
        self.assertIsNone(self.limits.find('t', 1.0))
        parts = [_open_part(self.limits, 1.0 + step / 4) for step in range(9)]
        self.assertLess(parts[0], 0.25)
        self.assertEqual(parts, sorted(parts))
        self.assertEqual(_open_part(self.limits, 1.1 + _RETURN_S), 1.0)

    def test_the_end_at_another_host(self) -> None:
        """Guards against hosts that go on to keep a limit that has ended."""
        self.limits.receive({'t': LimitNews(0, 2.0, 0.1, 0, True)}, 1.0)
        self.assertIsNone(self.limits.find('t', 1.0))

    def test_older_news(self) -> None:
        """Guards against an ended limit that older news bring back."""
        self.limits.record_answer(_TARGET, None, 5.0)
        news = {'t': LimitNews(0, 2.0, 1.0)}
        for now_s in (5.1, 30.0):
            self.assertEqual(
                self.limits.receive({'t': news['t'].aged(now_s - 5)}, now_s),
                [],
            )
            self.assertIsNone(self.limits.find('t', now_s))

    def test_own_news_that_return(self) -> None:
        """Guards against limits that daemons confirm to each other for ever."""
        other = TargetLimits()
        for step in range(1, 700):
            now_s = step / 10
            other.receive(self.limits.outgoing(now_s), now_s + 0.002)
            self.limits.receive(other.outgoing(now_s), now_s + 0.002)
        self.assertEqual(self.limits.outgoing(70.0), {})
        self.assertIsNone(other.find('t', 70.0))

    def test_another_start(self) -> None:
        """Guards against a limit that outlives the target that named it."""
        started = build.target('t', started_ms=9)
        closed = self.limits.closed(
            (started,), Draw(0.99), Demand(99.0), {}, 1.0
        )
        self.assertEqual(closed, frozenset())

    def test_news_of_an_earlier_start(self) -> None:
        """Guards against a limit of an earlier start that is told late."""
        limits = TargetLimits()
        started = build.target('t', started_ms=9)
        limits.record_answer(started, 6.0, 1.0)
        self.assertEqual(limits.receive({'t': LimitNews(5, 1.0, 0)}, 2.0), [])
        self.assertEqual(limits.find('t', 2.0), 6.0)

    def test_a_limit_of_nothing(self) -> None:
        """Guards against a target that is never asked again."""
        self.limits.record_answer(_TARGET, 0.0, 1.0)
        part = _open_part(self.limits, 1.0)
        self.assertGreater(part, 0.0)
        self.assertLessEqual(10 * 4 * part, 5)

    def test_what_was_sent_bounds_it(self) -> None:
        """Guards against more than the limit in a window, whoever sent it."""
        for _ in range(4):
            self.limits.sent('t', 1.0)
        draw, demand = Draw(0.0), Demand(10.0)
        for others, is_closed in (({'t': 9}, True), ({'t': 2}, False)):
            closed = self.limits.closed((_TARGET,), draw, demand, others, 1.1)
            self.assertEqual('t' in closed, is_closed)
        deaf = Demand(10.0, unheard_hosts=8)
        self.assertIn('t', self.limits.closed((_TARGET,), draw, deaf, {}, 1.1))
        self.assertNotIn(
            't', self.limits.closed((_TARGET,), draw, deaf, {}, 5.1)
        )

    def test_reports(self) -> None:
        """Guards against polls of reports that use up a limit."""
        polls = 0
        for step in range(400):
            now_s = 1.0 + step / 10
            self.limits.record_answer(_TARGET, 0.5, now_s)
            if self.limits.may_poll('t', now_s):
                self.limits.polled('t', now_s)
                polls += 1
        self.assertLessEqual(polls, 40 * 0.5 / 4)
        self.assertGreater(polls, 0)

    def test_sums_of_relays(self) -> None:
        """Guards against limits that are lost or counted twice in summaries."""
        newer, older = LimitNews(0, 1.0, 0.5, 3), LimitNews(0, 6.0, 2.0, 4)
        total = newer.merged(older)
        self.assertEqual(total, LimitNews(0, 1.0, 0.5, 7))
        self.assertEqual(total, older.merged(newer))
        self.assertEqual(total.without(older).sent, 3)

    def test_news_that_cannot_be_true(self) -> None:
        """Guards against numbers of another daemon that block a target."""
        for number in (-1.0, math.nan, math.inf):
            self.assertFalse(LimitNews(0, number, 0.0).is_possible())
            self.assertFalse(LimitNews(0, 1.0, number).is_possible())
