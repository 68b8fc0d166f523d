"""Tests of protection levels, on a model of hosts with old news."""

from __future__ import annotations

import unittest

import msgspec

from nutmegspoke.contention.demand import DemandNews, RankDemand
from nutmegspoke.contention.free_room import FreeRoom
from nutmegspoke.contention.protection import PoolDemand, admitted_share
from tests.contention.room_model import Counts, RoomModel

_SEEDS = (7, 8, 9)
_ROOM_TOKENS = 600_000.0
_USUAL = (40.0, 40.0, 40.0)
_OVERLOAD = (60.0, 100.0, 200.0)
_WARM_S = 5.0
_OVERLOAD_S = 8.0


def _model(seed: int, *, has_protection: bool = True) -> RoomModel:
    """Return a model that has run under its usual load."""
    model = RoomModel(
        _USUAL,
        has_protection=has_protection,
        room_tokens=_ROOM_TOKENS,
        seed=seed,
    )
    model.run(_WARM_S)
    return model


def _overload(model: RoomModel) -> list[Counts]:
    model.loads = list(_OVERLOAD)
    return model.run(_OVERLOAD_S)


class OverloadTest(unittest.TestCase):
    """The demand of all ranks together is over the room for seconds."""

    def test_more_urgent_ranks_are_served_better(self) -> None:
        """Guards against a less urgent rank that takes the last room."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                before = _overload(_model(seed, has_protection=False))
                after = _overload(_model(seed))
                shares = [counts.served_share for counts in after]
                self.assertEqual(shares, sorted(shares, reverse=True))
                gain = shares[0] - before[0].served_share
                self.assertGreater(gain, 0.04)
                self.assertGreater(shares[0], 0.88)

    def test_the_least_urgent_are_not_closed_out(self) -> None:
        """Guards against a rank served a quarter as often as all."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                ranks = _overload(_model(seed))
                served = sum(counts.served for counts in ranks)
                arrived = sum(counts.arrived for counts in ranks)
                least = ranks[-1].served_share
                self.assertGreater(least, 0.4 * served / arrived)

    def test_room_is_used(self) -> None:
        """Guards against protection that leaves much room idle."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                before = _overload(_model(seed, has_protection=False))
                after = _overload(_model(seed))
                self.assertGreater(_tokens(after), 0.9 * _tokens(before))

    def test_nobody_notices_while_there_is_room(self) -> None:
        """Guards against drafts refused beside free room."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                for counts in _model(seed).run(_OVERLOAD_S):
                    self.assertEqual(counts.served, counts.arrived)


class FailureTest(unittest.TestCase):
    """News that is missing, old or untrue."""

    def test_a_host_that_hears_nothing(self) -> None:
        """Guards against a cut host that closes the door."""
        model = _model(7)
        model.hosts[0].is_deaf = True
        _overload(model)
        self.assertGreater(model.admitted_share(2), 0.9)

    def test_a_start(self) -> None:
        """Guards against a door that is closed until news has come."""
        model = RoomModel(_OVERLOAD, room_tokens=_ROOM_TOKENS)
        model.run(0.2)
        self.assertEqual(model.admitted_share(2), 1.0)

    def test_a_pool_without_chains(self) -> None:
        """Guards against a decision on room that does not exist."""
        demand = _demand(freed_tokens_per_s=10.0)
        self.assertEqual(admitted_share(demand, 1, FreeRoom(0.0, 0.0, 1.0)), 1)

    def test_no_draft_has_ended(self) -> None:
        """Guards against a rank that is closed out after a start."""
        demand = _demand(freed_tokens_per_s=0.0)
        self.assertEqual(
            admitted_share(demand, 1, FreeRoom(0.0, 1e5, 1.0)), 0.5
        )

    def test_hosts_that_die(self) -> None:
        """Guards against demand that goes on after its hosts have gone."""
        model = _model(7)
        _overload(model)
        for host in model.hosts[1:]:
            host.is_mute = True
        model.loads = [0.0, 0.0, 2.0]
        model.run(4.0)
        self.assertEqual(model.admitted_share(2), 1.0)

    def test_a_host_that_tells_ten_times_its_demand(self) -> None:
        """Guards against one untrue host that closes out a rank."""
        model = _model(7)
        model.distort = _ten_times_if_first
        for counts in model.run(_OVERLOAD_S):
            self.assertGreater(counts.served_share, 0.95)
        least = _overload(model)[-1]
        self.assertGreater(least.served_share, 0.2)

    def test_a_host_that_tells_a_tenth(self) -> None:
        """Guards against the protection of all that hangs on one host."""
        model = _model(7)
        model.distort = _tenth_if_first
        shares = [counts.served_share for counts in _overload(model)]
        self.assertGreater(shares[0], 0.85)
        self.assertEqual(shares, sorted(shares, reverse=True))


def _demand(freed_tokens_per_s: float) -> PoolDemand:
    """Return the demand of two ranks, the first of which takes all."""
    urgent = RankDemand(9e4, 1e6, 1e9, freed_tokens_per_s)
    return PoolDemand((urgent, RankDemand(1e4, 1e4, 1e7)), 0.5)


def _tokens(ranks: list[Counts]) -> float:
    return sum(counts.served_tokens for counts in ranks)


def _scaled(news: DemandNews, factor: float) -> DemandNews:
    return {
        pool: {
            rank: type(demand)(
                *(factor * each for each in msgspec.structs.astuple(demand))
            )
            for rank, demand in by_rank.items()
        }
        for pool, by_rank in news.items()
    }


def _ten_times_if_first(index: int, news: DemandNews) -> DemandNews:
    return news if index else _scaled(news, 10.0)


def _tenth_if_first(index: int, news: DemandNews) -> DemandNews:
    return news if index else _scaled(news, 0.1)
