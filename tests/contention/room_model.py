"""Model of hosts that share the room of a pool and hear of each other late."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import random
from typing import TYPE_CHECKING

from nutmegspoke.contention import protection
from nutmegspoke.contention.demand import (
    NO_DEMAND,
    DemandNews,
    rank_text,
    sum_demand,
)
from nutmegspoke.contention.free_room import FreeRoom
from nutmegspoke.contention.own_demand import OwnDemand

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

_POOL = 'engines'
_STEP_S = 0.01
_DRAWS = 8
_NEWS_INTERVAL_S = 0.25
# Time from the measurement of news to its arrival.
_NEWS_DELAY_S = 0.5
_SILENCE_LIMIT_S = 2.0


@dataclasses.dataclass(slots=True)
class Counts:
    """Drafts of a rank that arrived, and were served."""

    arrived: int = 0
    served: int = 0
    served_tokens: float = 0.0

    @property
    def served_share(self) -> float:
        """Return the share that was served."""
        return self.served / max(1, self.arrived)


@dataclasses.dataclass(slots=True)
class Host:
    """A host, and what it has told."""

    own: OwnDemand = dataclasses.field(default_factory=OwnDemand)
    told: collections.deque[tuple[float, DemandNews]] = dataclasses.field(
        default_factory=collections.deque
    )
    is_mute: bool = False
    is_deaf: bool = False

    def news(self, now_s: float) -> tuple[float, DemandNews] | None:
        """Return what others have heard of this host last."""
        while len(self.told) > 1 and self.told[1][0] <= now_s - _NEWS_DELAY_S:
            self.told.popleft()
        if not self.told or self.told[0][0] > now_s - _NEWS_DELAY_S:
            return None
        return self.told[0]


class RoomModel:
    """Hosts that admit drafts to one pool.

    A draft that finds no room is refused and does not come back.

    :param loads: drafts per second of each rank, the most urgent first.
    :param has_protection: whether less urgent drafts are held back.
    :ivar distort: changes what the hosts with an index tell.
    """

    def __init__(
        self,
        loads: Sequence[float],
        *,
        has_protection: bool = True,
        room_tokens: float = 120_000.0,
        host_count: int = 30,
        seed: int = 7,
    ) -> None:
        """Start without drafts."""
        self._random = random.Random(seed)  # noqa: S311 -- no secret
        self.loads = list(loads)
        self.has_protection = has_protection
        self.room_tokens = room_tokens
        self.hosts = [Host() for _ in range(host_count)]
        self.distort: Callable[[int, DemandNews], DemandNews] = _unchanged
        self.counts = [Counts() for _ in loads]
        self.now_s = 0.0
        self._used_tokens = 0.0
        self._ends: list[tuple[float, str, int, float]] = []
        self._number = 0
        self._next_news_s = 0.0

    def run(self, for_s: float) -> list[Counts]:
        """Run the model for some time and return the counts by rank."""
        self.counts = [Counts() for _ in self.loads]
        until_s = self.now_s + for_s
        while self.now_s < until_s:
            self.now_s += _STEP_S
            self._end_drafts()
            if self.now_s >= self._next_news_s:
                self._next_news_s += _NEWS_INTERVAL_S
                self._tell()
            for rank, load in enumerate(self.loads):
                # Some draws a step, as several drafts may arrive in one.
                for _ in range(_DRAWS):
                    if self._random.random() < load * _STEP_S / _DRAWS:
                        self._arrive(rank)
        return self.counts

    def admitted_share(self, rank: int, host: int = 0) -> float:
        """Return the share of a rank's drafts that a host does not hold back."""
        return protection.admitted_share(
            self._demand(self.hosts[host]), rank, self._room(self.hosts[host])
        )

    def _arrive(self, rank: int) -> None:
        index = self._random.randrange(len(self.hosts))
        host = self.hosts[index]
        tokens = self._random.choice((300.0, 700.0, 1_000.0, 2_500.0))
        self.counts[rank].arrived += 1
        host.own.arrived(_POOL, (1, rank), tokens, self.now_s)
        self._number += 1
        key = f'draft-{self._number}'
        if self.has_protection and protection.is_held_back(
            self._demand(host), rank, key, self._room(host)
        ):
            host.own.refused(_POOL, (1, rank), self.now_s)
            return
        if self._used_tokens + tokens > self.room_tokens:
            host.own.refused(_POOL, (1, rank), self.now_s)
            return
        self.counts[rank].served += 1
        self.counts[rank].served_tokens += tokens
        host.own.admitted(key, _POOL, (1, rank), tokens, self.now_s)
        self._used_tokens += tokens
        end_s = self.now_s + 1.0 + tokens / 1_000.0
        heapq.heappush(self._ends, (end_s, key, index, tokens))

    def _end_drafts(self) -> None:
        while self._ends and self._ends[0][0] <= self.now_s:
            _, key, index, tokens = heapq.heappop(self._ends)
            self.hosts[index].own.ended(key, self.now_s)
            self._used_tokens -= tokens

    def _tell(self) -> None:
        for index, host in enumerate(self.hosts):
            if not host.is_mute:
                news = self.distort(index, host.own.outgoing(self.now_s))
                host.told.append((self.now_s, news))

    def _heard(self, host: Host) -> list[DemandNews]:
        """Return what a host has heard of the others lately."""
        if host.is_deaf:
            return []
        heard = (
            other.news(self.now_s) for other in self.hosts if other is not host
        )
        return [
            news
            for told_s, news in (each for each in heard if each)
            if self.now_s - told_s < _NEWS_DELAY_S + _SILENCE_LIMIT_S
        ]

    def _demand(self, host: Host) -> protection.PoolDemand:
        total = sum_demand((host.own.outgoing(self.now_s), *self._heard(host)))
        by_rank = total.get(_POOL, {})
        return protection.PoolDemand(
            [
                by_rank.get(rank_text((1, index)), NO_DEMAND)
                for index in range(len(self.loads))
            ],
            _NEWS_DELAY_S + _NEWS_INTERVAL_S,
        )

    def _room(self, host: Host) -> FreeRoom:
        """Return the room as a host sees it; it knows what others hold."""
        used = self._demand(host).total().held_tokens
        free = max(0.0, self.room_tokens - used)
        return FreeRoom(free, self.room_tokens, used / self.room_tokens)


def _unchanged(index: int, news: DemandNews) -> DemandNews:
    return news
