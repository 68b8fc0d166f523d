"""Any sequence of drafts, joins, losses and restarts of daemons."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as some
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from nutmegspoke.contention import protection
from nutmegspoke.contention.demand import NO_DEMAND, sum_demand
from nutmegspoke.contention.free_room import FreeRoom
from nutmegspoke.contention.own_demand import OwnDemand
from nutmegspoke.membership.load_news import (
    SILENCE_LIMIT_S,
    LoadUpdate,
    check_update,
)
from nutmegspoke.membership.received_updates import (
    ReceivedUpdates,
    demand_elsewhere,
)
from tests.builders_edge import host as build_host

_HOSTS = some.sampled_from(('h-1', 'h-2', 'h-3'))
_RANKS = some.sampled_from(((1, 0), (1, 1)))
_ROOM = FreeRoom(1_000.0, 50_000.0, 0.98)


class DemandMachine(RuleBasedStateMachine):
    """What one daemon hears of others that come, die and start again."""

    def __init__(self) -> None:
        """Start with no other daemon."""
        super().__init__()
        self._now_s = 100.0
        self._number = 0
        self._hosts: dict[str, OwnDemand] = {}
        self._held: dict[str, dict[str, float]] = {}
        self._started_ms: dict[str, int] = {}
        self._told: dict[str, tuple[float, float]] = {}
        self._received = ReceivedUpdates.from_host(build_host())

    @rule(host=_HOSTS)
    def start(self, host: str) -> None:
        """A daemon starts, or starts again without its drafts."""
        self._hosts[host] = OwnDemand()
        self._held[host] = {}
        self._number += 1
        self._started_ms[host] = self._number

    @precondition(lambda self: self._hosts)
    @rule(host=_HOSTS, rank=_RANKS, tokens=some.floats(1.0, 5_000.0))
    def admit(self, host: str, rank: tuple[int, int], tokens: float) -> None:
        """A draft arrives at a daemon and gets a chain."""
        if host not in self._hosts:
            return
        self._number += 1
        key = str(self._number)
        own = self._hosts[host]
        own.arrived('pool', rank, tokens, self._now_s)
        own.admitted(key, 'pool', rank, tokens, self._now_s)
        self._held[host][key] = tokens

    @precondition(lambda self: self._hosts)
    @rule(host=_HOSTS)
    def end_one(self, host: str) -> None:
        """The oldest draft of a daemon ends, and once more."""
        for key in list(self._held.get(host, ()))[:1]:
            self._held[host].pop(key)
            self._hosts[host].ended(key, self._now_s)
            self._hosts[host].ended(key, self._now_s)

    @precondition(lambda self: self._hosts)
    @rule(host=_HOSTS, copies=some.integers(1, 3))
    def tell(self, host: str, copies: int) -> None:
        """A daemon tells its load; datagrams may be doubled."""
        if host not in self._hosts:
            return
        self._number += 1
        news = self._hosts[host].outgoing(self._now_s)
        update = LoadUpdate(
            host, self._started_ms[host], self._number, {}, demand=news
        )
        check_update(update)
        for _ in range(copies):
            self._received.receive(update, self._now_s)
        held = sum(self._held[host].values())
        self._told[host] = (self._now_s, held)

    @rule(host=_HOSTS)
    def lose(self, host: str) -> None:
        """A daemon dies; what it told stays until it is too old."""
        self._hosts.pop(host, None)
        self._held.pop(host, None)

    @rule(passed_s=some.floats(0.05, 3.0))
    def wait(self, passed_s: float) -> None:
        """Time passes."""
        self._now_s += passed_s

    @invariant()
    def held_is_what_live_daemons_told(self) -> None:
        """Guards against demand counted twice, or of daemons long gone."""
        heard = demand_elsewhere(self._received.others(self._now_s))
        total = sum(
            demand.held_tokens for demand in heard.get('pool', {}).values()
        )
        told = sum(
            held
            for told_s, held in self._told.values()
            if self._now_s - told_s < SILENCE_LIMIT_S
        )
        # Each daemon rounds what it tells, by rank.
        assert abs(total - told) <= 2 * len(self._told)  # noqa: S101

    @invariant()
    def doors_stay_open(self) -> None:
        """Guards against shares outside 0 to 1, and a closed first rank."""
        heard = demand_elsewhere(self._received.others(self._now_s))
        by_rank = sum_demand((heard,)).get('pool', {})
        demand = protection.PoolDemand(
            [by_rank.get(rank, NO_DEMAND) for rank in ('1.0', '1.1')], 0.5
        )
        first = protection.admitted_share(demand, 0, _ROOM)
        second = protection.admitted_share(demand, 1, _ROOM)
        assert first == 1  # noqa: S101
        assert 0 <= second <= 1  # noqa: S101


DemandMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
DemandStatesTest = DemandMachine.TestCase
