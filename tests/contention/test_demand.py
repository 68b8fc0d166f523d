"""Tests of the measured and told demand by rank."""

from __future__ import annotations

import math
import unittest

from nutmegspoke.contention.demand import (
    RankDemand,
    is_possible,
    sum_demand,
    without_part,
)
from nutmegspoke.contention.own_demand import OwnDemand
from nutmegspoke.membership.load_news import LoadUpdate, check_update
from nutmegspoke.membership.received_updates import (
    ReceivedUpdates,
    demand_elsewhere,
)
from tests.builders_edge import host as build_host
from tests.builders_fleet import Fleet

_RANK = (1, 0)
_SETTLED_S = 3.0


class OwnDemandTest(unittest.TestCase):
    """The demand of a daemon's own drafts."""

    def setUp(self) -> None:
        """Start without drafts."""
        self.own = OwnDemand()

    def _demand(self, now_s: float) -> RankDemand:
        return self.own.outgoing(now_s)['engines']['1.0']

    def test_a_draft(self) -> None:
        """Memory is held until the draft ends, whatever its runs."""
        self.own.arrived('engines', _RANK, 1_000.0, 10.0)
        self.own.admitted('r', 'engines', _RANK, 1_000.0, 10.0)
        self.own.admitted('r', 'engines', _RANK, 1_200.0, 11.0)
        demand = self._demand(11.0)
        self.assertEqual(demand.held_tokens, 1_200.0)
        self.assertEqual(demand.arrived_tokens_per_s, 500.0)
        self.assertEqual(demand.arrived_squares_per_s, 500_000.0)
        self.assertEqual(demand.freed_tokens_per_s, 0.0)
        self.own.ended('r', 12.0)
        self.own.admitted('s', 'engines', _RANK, 600.0, 12.0)
        self.assertEqual(self._demand(12.0).held_tokens, 600.0)
        # The first one held its memory for 2 s.
        self.assertEqual(self._demand(12.0).freed_tokens_per_s, 300.0)

    def test_old_arrivals_are_forgotten(self) -> None:
        """Guards against demand that is told after it has gone."""
        self.own.arrived('engines', _RANK, 1_000.0, 10.0)
        self.own.refused('engines', _RANK, 10.5)
        self.assertEqual(self._demand(12.0).refused_per_s, 0.5)
        self.assertEqual(self.own.outgoing(13.0), {})

    def test_hold_times_of_pools_that_are_gone(self) -> None:
        """Guards against state that grows with each pool there has been."""
        for key in ('r', 's'):
            self.own.admitted(key, 'engines', _RANK, 600.0, 10.0)
        self.own.ended('r', 12.0)
        self.own.keep_pools(('engines',))
        self.assertEqual(self._demand(12.0).freed_tokens_per_s, 300.0)
        self.own.keep_pools(('others',))
        self.assertEqual(self._demand(12.0).freed_tokens_per_s, 0.0)

    def test_an_end_without_a_chain(self) -> None:
        """Guards against errors for drafts that never had room."""
        self.own.ended('unknown', 1.0)
        self.assertEqual(self.own.outgoing(1.0), {})


class ToldDemandTest(unittest.TestCase):
    """Demand that other daemons tell."""

    def test_impossible_figures(self) -> None:
        """Guards against figures that no pool has."""
        for figure in (-1.0, math.nan, math.inf, 1e30):
            for field in RankDemand.__struct_fields__:
                with self.subTest(figure=figure, field=field):
                    demand = RankDemand(**{field: figure})
                    update = LoadUpdate(
                        'h', 1, 1, {}, demand={'p': {'1.0': demand}}
                    )
                    with self.assertRaises(ValueError):
                        check_update(update)

    def test_too_many_names(self) -> None:
        """Guards against updates that take the daemon's memory."""
        many = {str(number): RankDemand() for number in range(300)}
        self.assertFalse(is_possible({'p': many}))
        self.assertFalse(is_possible(dict.fromkeys(many, {})))

    def test_sums_and_parts(self) -> None:
        """A part taken out of a sum leaves the others."""
        one = {'p': {'1.0': RankDemand(5.0, 4.0, 3.0, 2.0, 1.0)}}
        two = {'p': {'1.0': RankDemand(1.0), '1.1': RankDemand(7.0)}}
        total = sum_demand((one, two))
        self.assertEqual(total['p']['1.0'].held_tokens, 6.0)
        left = without_part(total, one)
        self.assertEqual(left['p']['1.0'], RankDemand(1.0))
        self.assertEqual(left['p']['1.1'], RankDemand(7.0))

    def test_old_news_says_nothing(self) -> None:
        """Guards against room kept free for a daemon that has gone."""
        received = ReceivedUpdates.from_host(build_host())
        demand = {'p': {'1.0': RankDemand(5.0)}}
        received.receive(LoadUpdate('h', 1, 1, {}, demand=demand), 10.0)
        self.assertEqual(demand_elsewhere(received.others(11.0)), demand)
        self.assertEqual(demand_elsewhere(received.others(13.0)), {})


class FleetDemandTest(unittest.TestCase):
    """Demand reaches all daemons once, over relays too."""

    def _held_tokens(self, fleet: Fleet) -> set[float]:
        return {
            demand_elsewhere(member.received.others(fleet.now_s))['pool'][
                '1.0'
            ].held_tokens
            for member in fleet.members.values()
            if not member.is_paused
        }

    def test_all_hear_of_all(self) -> None:
        """Guards against demand that is counted twice or missing."""
        for size in (9, 100):
            with self.subTest(size=size):
                fleet = Fleet(size)
                fleet.run(_SETTLED_S)
                self.assertEqual(self._held_tokens(fleet), {10.0 * (size - 1)})

    def test_a_relay_is_lost(self) -> None:
        """Guards against daemons that no longer hear demand of others."""
        fleet = Fleet(100)
        fleet.run(_SETTLED_S)
        lost = next(iter(fleet.relays()))
        fleet.members[lost].is_paused = True
        fleet.run(_SETTLED_S)
        self.assertEqual(self._held_tokens(fleet), {10.0 * 98})
