"""Tests of the split of team limits over daemons."""

from __future__ import annotations

import random
import unittest

from nutmegspoke.admission.team_limits import (
    Demand,
    TeamLimitShares,
    split_limit,
)

_LIMIT = 40
_ROUND_S = 0.5
_WINDOW_S = 3.0


class SplitLimitTest(unittest.TestCase):
    """Shares follow the demand and add up to the limit."""

    def test_shares_follow_demand_and_add_up_to_the_limit(self) -> None:
        """Demands of 1:3 give shares of 1:3; an idle daemon gets one."""
        demands = (Demand('a', 25), Demand('b', 74), Demand('c', 0))
        self.assertEqual(split_limit(100, demands), {'a': 25, 'b': 74, 'c': 1})

    def test_random_demands_always_add_up(self) -> None:
        """Rounding neither loses nor adds requests."""
        source = random.Random(3)
        for _ in range(200):
            demands = [
                Demand(f'd{n}', source.randrange(50))
                for n in range(source.randrange(1, 12))
            ]
            limit = source.randrange(60)
            shares = split_limit(limit, demands)
            self.assertEqual(sum(shares.values()), limit)
            self.assertGreaterEqual(min(shares.values()), 0)


class TeamLimitSharesTest(unittest.TestCase):
    """Shares over time on one daemon and on many."""

    def test_goes_down_at_once_and_up_after_the_delay(self) -> None:
        """A share rises only if it stays higher for three seconds."""
        shares = TeamLimitShares('a')
        self.assertEqual(shares.share_of('t', _LIMIT, 0), 1)
        self._update_shares(shares, {'a': 5, 'b': 5}, 0)
        self.assertEqual(shares.share_of('t', _LIMIT, 2.9), 1)
        self.assertEqual(shares.share_of('t', _LIMIT, 3), 20)
        self._update_shares(shares, {'a': 5, 'b': 15}, 4)
        self.assertEqual(shares.share_of('t', _LIMIT, 4), 10)
        self._update_shares(shares, {'a': 15, 'b': 5}, 5)
        self.assertEqual(shares.share_of('t', _LIMIT, 7.9), 10)
        self.assertEqual(shares.share_of('t', _LIMIT, 8), 30)

    def test_noise_does_not_hold_a_share_down_for_ever(self) -> None:
        """A fluctuating demand gives the lowest share of the window."""
        shares = TeamLimitShares('a')
        for step in range(20):
            self._update_shares(shares, {'a': 10 + step % 2, 'b': 10}, step)
        self.assertEqual(shares.share_of('t', _LIMIT, 20), 20)

    def test_unknown_membership_keeps_the_last_split(self) -> None:
        """Shares stay the same while the daemon is cut off."""
        shares = TeamLimitShares('a')
        self._update_shares(shares, {'a': 5, 'b': 5}, 0)
        shares.update({'t': _LIMIT}, None, 10)
        self.assertEqual(shares.share_of('t', _LIMIT, 100), 20)

    def test_the_sum_stays_within_the_stated_bound(self) -> None:
        """Demands change, daemons restart, and demands are up to 2.5 s old."""
        for seed in range(5):
            self._simulate(random.Random(seed))

    def _simulate(self, source: random.Random) -> None:
        names = [f'd{n}' for n in range(9)]
        daemons = {name: TeamLimitShares(name) for name in names}
        started_s = dict.fromkeys(names, -100.0)
        history: list[dict[str, int]] = [dict.fromkeys(names, 5)]
        lags = {name: source.randrange(6) for name in names}
        highest = 0
        for step in range(400):
            now_s = step * _ROUND_S
            demand = dict(history[-1])
            if step % 12 == 0:
                demand[source.choice(names)] = source.randrange(60)
            if step % 40 == 39:
                restarted = source.choice(names)
                daemons[restarted] = TeamLimitShares(restarted)
                started_s[restarted] = now_s
            history.append(demand)
            for name, shares in daemons.items():
                self._update_shares(
                    shares, history[-1 - min(lags[name], step)], now_s
                )
            total = sum(
                shares.share_of('t', _LIMIT, now_s)
                for shares in daemons.values()
            )
            recently_started = sum(
                now_s - at_s < _WINDOW_S for at_s in started_s.values()
            )
            self.assertLessEqual(total, _LIMIT + recently_started)
            highest = max(highest, total)
        self.assertGreaterEqual(highest, _LIMIT * 0.9)

    def _update_shares(
        self,
        shares: TeamLimitShares,
        demand: dict[str, int],
        now_s: float,
    ) -> None:
        demands = tuple(Demand(*each) for each in demand.items())
        shares.update({'t': _LIMIT}, {'t': demands}, now_s)
