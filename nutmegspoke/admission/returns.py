"""Assign refused callers a time to retry, and recognize their retries."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from nutmegspoke.admission.tickets import Ticket

# Time before the assigned time from which a retry may use its slot.
_EARLY_TOLERANCE_S = 0.05
# Time from the end of a slot until it expires.
_EXPIRY_S = 15.0
# Time after the assigned time for which a retry is still expected.
_LATE_TOLERANCE_S = 2.0
_RETRY_SHARE_GAIN = 0.02
_MIN_RETRY_SHARE = 0.05
_MAX_SLOTS = 20_000
_MAX_TEAMS = 1024
_MIN_RETRY_AFTER_S = 0.05
_MIN_COST_PER_S = 1e-6


class RandomSource(Protocol):
    """A seeded source of random numbers, such as ``random.Random``."""

    def random(self) -> float:
        """Return a number in ``[0, 1)``."""


@dataclasses.dataclass(frozen=True, slots=True)
class _RetrySlot:
    """Time slot in which the work of a refused caller can be done.

    :param retry_key: digest by which the caller is recognized.
    :param slot_end_s: end of the slot.
    :param retry_at_s: time at which the caller was asked to retry.
    :param cost: work for which the slot is kept.
    """

    retry_key: str
    slot_end_s: float
    retry_at_s: float
    cost: float


class RetrySlots:
    """Time slots that are assigned to refused callers for a retry.

    Each team has its own sequence of slots, so that a team that is refused
    often does not delay the others. The length of a slot is the time that the
    work takes at the team's share of the drain rate, multiplied by the share of
    callers that do retry.
    """

    def __init__(self, source: RandomSource) -> None:
        """Create an instance without slots.

        :param source: seeded random source of the jitter.
        """
        self._source = source
        self._last_slot_end_s: dict[str, float] = {}
        self._slots: dict[str, dict[str, _RetrySlot]] = collections.defaultdict(
            dict
        )
        self._slot_count = 0
        self._retry_share = 1.0

    def assign_slot(
        self,
        ticket: Ticket,
        ready_s: float,
        cost_per_s: float,
        now_s: float,
    ) -> float:
        """Assign the next free slot of a team to a refused caller.

        :param ticket: the refused ticket.
        :param ready_s: time at which the current backlog of the team is
            finished.
        :param cost_per_s: the team's share of the drain rate.
        :param now_s: current time, in seconds.
        :returns: seconds to wait before the retry, with jitter of up to one
            slot.
        """
        self._remove_expired_teams(now_s)
        self._remove_expired_slots(ticket.team, now_s)
        cost = ticket.cost * self._retry_share
        length_s = cost / max(cost_per_s, _MIN_COST_PER_S)
        start_s = max(ready_s, self._last_slot_end_s.get(ticket.team, 0.0))
        slot_end_s = start_s + length_s
        retry_at_s = slot_end_s + self._source.random() * length_s
        retry_at_s = max(retry_at_s, now_s + _MIN_RETRY_AFTER_S)
        if self._may_store(ticket.team):
            self._last_slot_end_s[ticket.team] = slot_end_s
            self._store_slot(
                ticket.team,
                _RetrySlot(ticket.retry_key, slot_end_s, retry_at_s, cost),
            )
        return retry_at_s - now_s

    def use_slot(self, ticket: Ticket, now_s: float) -> bool:
        """Use the slot of a caller that retries.

        :param ticket: ticket of the retry.
        :param now_s: current time, in seconds.
        :returns: whether the caller has a slot and does not retry too early.
        """
        self._remove_expired_slots(ticket.team, now_s)
        slots = self._slots.get(ticket.team, {})
        slot = slots.get(ticket.retry_key)
        if slot is None or now_s < slot.retry_at_s - _EARLY_TOLERANCE_S:
            return False
        slots.pop(ticket.retry_key)
        self._slot_count -= 1
        self._retry_share += _RETRY_SHARE_GAIN * (1 - self._retry_share)
        return True

    def add_slot_cost(
        self,
        team: str,
        cost: float,
        cost_per_s: float,
        now_s: float,
    ) -> float:
        """Add the work of the slots that precede the end of some other work.

        :param team: team of the work.
        :param cost: work without the slots.
        :param cost_per_s: the team's share of the drain rate.
        :param now_s: current time, in seconds.
        :returns: the work including that of the slots.
        """
        for slot in self._slots.get(team, {}).values():
            if slot.slot_end_s > now_s + cost / cost_per_s:
                break
            if slot.retry_at_s + _LATE_TOLERANCE_S > now_s:
                cost += slot.cost
        return cost

    def _store_slot(self, team: str, slot: _RetrySlot) -> None:
        """Store a slot after the earlier slots of its team."""
        slots = self._slots[team]
        if slots.pop(slot.retry_key, None) is not None:
            self._slot_count -= 1
        if not slot.retry_key or self._slot_count >= _MAX_SLOTS:
            return
        slots[slot.retry_key] = slot
        self._slot_count += 1

    def _may_store(self, team: str) -> bool:
        is_known = team in self._last_slot_end_s
        return is_known or len(self._last_slot_end_s) < _MAX_TEAMS

    def _remove_expired_teams(self, now_s: float) -> None:
        """Drop the teams whose last slot has expired, if there are too many."""
        if len(self._last_slot_end_s) < _MAX_TEAMS:
            return
        expired_teams = [
            team
            for team, slot_end_s in self._last_slot_end_s.items()
            if slot_end_s + _EXPIRY_S < now_s
        ]
        for team in expired_teams:
            self._last_slot_end_s.pop(team)
            self._slot_count -= len(self._slots.pop(team, ()))

    def _remove_expired_slots(self, team: str, now_s: float) -> None:
        """Drop the slots of callers that did not retry.

        Each of them lowers the estimated share of callers that do.
        """
        slots = self._slots.get(team, {})
        expired_keys: list[str] = []
        for key, slot in slots.items():
            if slot.slot_end_s + _EXPIRY_S >= now_s:
                break
            expired_keys.append(key)
        for expired in expired_keys:
            slots.pop(expired)
            lower = self._retry_share * (1 - _RETRY_SHARE_GAIN)
            self._retry_share = max(lower, _MIN_RETRY_SHARE)
        self._slot_count -= len(expired_keys)
