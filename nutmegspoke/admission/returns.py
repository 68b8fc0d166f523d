"""Tells refused callers when to come back, and knows them when they do."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from nutmegspoke.admission.tickets import Ticket

_EARLY_S = 0.05
_GRACE_S = 15.0
_LATE_S = 2.0
_RETURN_GAIN = 0.02
_LEAST_RETURN_SHARE = 0.05
_MAX_PROMISES = 20_000
_MAX_TEAMS = 1024
_LEAST_RETRY_AFTER_S = 0.05
_LEAST_COST_PER_S = 1e-6


class RandomSource(Protocol):
    """A seeded source of random numbers, such as ``random.Random``."""

    def random(self) -> float:
        """Return a number in ``[0, 1)``."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Promise:
    retry_key: str
    slot_s: float
    due_s: float
    cost: float


class ReturnBook:
    """Slots of the drain rate that are promised to refused callers.

    Each team has its own row of slots, so that one that is refused often
    doesn't push back the others. A slot is as long as the share of callers who
    do come back.
    """

    def __init__(self, source: RandomSource) -> None:
        """Create an empty book.

        :param source: seeded source of the jitter.
        """
        self._source = source
        self._last_slot_s: dict[str, float] = {}
        self._promises: dict[str, dict[str, _Promise]] = (
            collections.defaultdict(dict)
        )
        self._count = 0
        self._return_share = 1.0

    def promise(
        self,
        ticket: Ticket,
        ready_s: float,
        cost_per_s: float,
        now_s: float,
    ) -> float:
        """Give a refused caller the next free slot of its team.

        :param ticket: the refused ticket.
        :param ready_s: when the team's present backlog is drained.
        :param cost_per_s: the team's share of the drain rate.
        :param now_s: present time.
        :returns: seconds to wait, with jitter of up to one slot.
        """
        self._forget_teams(now_s)
        self._expire(ticket.team, now_s)
        cost = ticket.cost * self._return_share
        length_s = cost / max(cost_per_s, _LEAST_COST_PER_S)
        start_s = max(ready_s, self._last_slot_s.get(ticket.team, 0.0))
        slot_s = start_s + length_s
        due_s = slot_s + self._source.random() * length_s
        due_s = max(due_s, now_s + _LEAST_RETRY_AFTER_S)
        if self._may_keep(ticket.team):
            self._last_slot_s[ticket.team] = slot_s
            self._remember(
                ticket.team,
                _Promise(ticket.retry_key, slot_s, due_s, cost),
            )
        return due_s - now_s

    def redeem(self, ticket: Ticket, now_s: float) -> bool:
        """Tell whether a caller comes back as told, and take its slot."""
        self._expire(ticket.team, now_s)
        promises = self._promises.get(ticket.team, {})
        promise = promises.get(ticket.retry_key)
        if promise is None or now_s < promise.due_s - _EARLY_S:
            return False
        promises.pop(ticket.retry_key)
        self._count -= 1
        self._return_share += _RETURN_GAIN * (1 - self._return_share)
        return True

    def cost_with_due(
        self,
        team: str,
        cost: float,
        cost_per_s: float,
        now_s: float,
    ) -> float:
        """Add the work that is promised before some other work is drained.

        :param team: the team of the work.
        :param cost: work to drain without the promises.
        :param cost_per_s: the team's share of the drain rate.
        :param now_s: present time.
        """
        for promise in self._promises.get(team, {}).values():
            if promise.slot_s > now_s + cost / cost_per_s:
                break
            if promise.due_s + _LATE_S > now_s:
                cost += promise.cost
        return cost

    def _remember(self, team: str, promise: _Promise) -> None:
        """Keep a promise behind the older ones of its team."""
        promises = self._promises[team]
        if promises.pop(promise.retry_key, None) is not None:
            self._count -= 1
        if not promise.retry_key or self._count >= _MAX_PROMISES:
            return
        promises[promise.retry_key] = promise
        self._count += 1

    def _may_keep(self, team: str) -> bool:
        is_known = team in self._last_slot_s
        return is_known or len(self._last_slot_s) < _MAX_TEAMS

    def _forget_teams(self, now_s: float) -> None:
        """Drop the teams whose last slot is past, if there are too many."""
        if len(self._last_slot_s) < _MAX_TEAMS:
            return
        past = [
            team
            for team, slot_s in self._last_slot_s.items()
            if slot_s + _GRACE_S < now_s
        ]
        for team in past:
            self._last_slot_s.pop(team)
            self._count -= len(self._promises.pop(team, ()))

    def _expire(self, team: str, now_s: float) -> None:
        """Drop the promises of callers who did not come back."""
        promises = self._promises.get(team, {})
        late: list[str] = []
        for key, promise in promises.items():
            if promise.slot_s + _GRACE_S >= now_s:
                break
            late.append(key)
        for expired in late:
            promises.pop(expired)
            lower = self._return_share * (1 - _RETURN_GAIN)
            self._return_share = max(lower, _LEAST_RETURN_SHARE)
        self._count -= len(late)
