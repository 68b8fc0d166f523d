"""Measures the demand of this daemon's own drafts by pool and rank."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.contention.demand import (
    NO_DEMAND,
    DemandNews,
    RankDemand,
    rank_text,
)

if TYPE_CHECKING:
    from collections.abc import Collection

# Window in which arrivals, ends and refusals are counted.
_WINDOW_S = 2.0
# Share of the remembered hold times that remains after each ended draft.
_HOLD_MEMORY = 0.98
# Pool and rank.
_Key = tuple[str, tuple[int, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    time_s: float
    arrived_tokens: float = 0.0
    refused: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    key: _Key
    tokens: float
    since_s: float


@dataclasses.dataclass(slots=True)
class _HoldTime:
    """Mean time for which a token of memory is held, of drafts that ended."""

    tokens: float = 0.0
    token_seconds: float = 0.0

    def add(self, tokens: float, held_s: float) -> None:
        self.tokens = _HOLD_MEMORY * self.tokens + tokens
        self.token_seconds = _HOLD_MEMORY * self.token_seconds + tokens * held_s

    def freed_per_s(self, held_tokens: float) -> float:
        """Return how much of held memory is freed per second, in tokens.

        :returns: 0 if no draft has ended yet.
        """
        if self.token_seconds <= 0:
            return 0.0
        return held_tokens * self.tokens / self.token_seconds


class OwnDemand:
    """The drafts of this daemon that run, arrived, ended or were refused."""

    def __init__(self) -> None:
        """Start without drafts."""
        self._held: dict[str, _Held] = {}
        self._hold_times: dict[_Key, _HoldTime] = {}
        self._changes: dict[_Key, collections.deque[_Change]] = {}

    def keep_pools(self, pools: Collection[str]) -> None:
        """Forget the hold times of all other pools."""
        self._hold_times = {
            key: hold_time
            for key, hold_time in self._hold_times.items()
            if key[0] in pools
        }

    def arrived(
        self, pool: str, rank: tuple[int, int], tokens: float, now_s: float
    ) -> None:
        """Count a draft that arrives.

        :param tokens: memory that it needs, in tokens.
        """
        self._add((pool, rank), _Change(now_s, arrived_tokens=tokens))

    def refused(self, pool: str, rank: tuple[int, int], now_s: float) -> None:
        """Count a draft that was refused."""
        self._add((pool, rank), _Change(now_s, refused=1))

    def admitted(
        self,
        request_id: str,
        pool: str,
        rank: tuple[int, int],
        tokens: float,
        now_s: float,
    ) -> None:
        """Record the memory that a draft takes, in tokens, until it ends."""
        known = self._held.get(request_id)
        since_s = now_s if known is None else known.since_s
        self._held[request_id] = _Held((pool, rank), tokens, since_s)

    def ended(self, request_id: str, now_s: float) -> None:
        """Record that a draft has ended; ignored if it held no memory."""
        held = self._held.pop(request_id, None)
        if held is not None:
            hold_time = self._hold_times.setdefault(held.key, _HoldTime())
            hold_time.add(held.tokens, now_s - held.since_s)

    def outgoing(self, now_s: float) -> DemandNews:
        """Return the demand by pool and rank, for the other daemons."""
        held: dict[_Key, float] = {}
        for draft in self._held.values():
            held[draft.key] = held.get(draft.key, 0.0) + draft.tokens
        news: DemandNews = {}
        for pool, rank in sorted({*held, *self._changes}):
            key = (pool, rank)
            demand = self._demand(key, held.get(key, 0.0), now_s)
            if demand != NO_DEMAND:
                news.setdefault(pool, {})[rank_text(rank)] = demand
        return news

    def _add(self, key: _Key, change: _Change) -> None:
        changes = self._changes.setdefault(key, collections.deque())
        changes.append(change)
        _forget(changes, change.time_s)

    def _demand(
        self, key: _Key, held_tokens: float, now_s: float
    ) -> RankDemand:
        changes = self._changes.get(key, collections.deque())
        _forget(changes, now_s)
        if not changes:
            self._changes.pop(key, None)
        hold_time = self._hold_times.get(key, _HoldTime())
        arrived = [change.arrived_tokens for change in changes]
        squares = sum(tokens * tokens for tokens in arrived)
        return RankDemand(
            float(round(held_tokens)),
            float(round(sum(arrived) / _WINDOW_S)),
            float(round(squares / _WINDOW_S)),
            float(round(hold_time.freed_per_s(held_tokens))),
            sum(change.refused for change in changes) / _WINDOW_S,
        )


def _forget(changes: collections.deque[_Change], now_s: float) -> None:
    while changes and changes[0].time_s < now_s - _WINDOW_S:
        changes.popleft()
