"""Expected waits, latest start times, and refusals with a time to retry."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from nutmegspoke.outcomes import NotRun, RefusalReason

if TYPE_CHECKING:
    from nutmegspoke.admission.drain import DrainMeter
    from nutmegspoke.admission.fair_order import Entry, FairOrder, TeamState
    from nutmegspoke.admission.returns import RetrySlots

logger = logging.getLogger(__name__)


class WaitEstimator:
    """Estimates waits from the drain rate, the backlog and the retry slots."""

    def __init__(
        self,
        order: FairOrder,
        meter: DrainMeter,
        retry_slots: RetrySlots,
    ) -> None:
        """Create an estimator.

        :param order: waiting tickets.
        :param meter: measured drain rate.
        :param retry_slots: slots assigned to refused callers.
        """
        self._order = order
        self._meter = meter
        self._retry_slots = retry_slots

    def latest_start_s(self, entry: Entry) -> float:
        """Return the time by which a ticket must start to meet its deadline."""
        ticket = entry.ticket
        return ticket.deadline_s - self._meter.service_s(ticket.cost)

    def misses_deadline(self, entry: Entry, now_s: float) -> bool:
        """Return whether a ticket that starts now would miss its deadline."""
        return now_s > self.latest_start_s(entry)

    def wait_s(self, entry: Entry, capacity: int, now_s: float) -> float:
        """Return the wait behind the backlog and retry slots of the team.

        :param capacity: requests that may run at once.
        :returns: expected wait in seconds.
        """
        team = self._order.team_of(entry.ticket)
        rate = self._team_rate(team, capacity, now_s)
        cost = team.cost_before(entry) + entry.ticket.cost
        if not entry.has_precedence:
            cost = self._retry_slots.add_slot_cost(team.name, cost, rate, now_s)
        return cost / rate

    def refuse(
        self,
        entry: Entry,
        reason: RefusalReason,
        capacity: int,
        now_s: float,
    ) -> NotRun:
        """Refuse a ticket and assign a slot for its retry.

        :param capacity: requests that may run at once.
        """
        ticket = entry.ticket
        team = self._order.team_of(ticket)
        retry_after_s = self._retry_slots.assign_slot(
            ticket,
            now_s + self.wait_s(entry, capacity, now_s),
            self._team_rate(team, capacity, now_s),
            now_s,
        )
        logger.info(
            'admission: refused request=%s team=%s reason=%s retry_after_s=%.2f',
            ticket.request_id,
            ticket.team,
            reason.value,
            retry_after_s,
        )
        return NotRun(reason, retry_after_s, _detail(reason))

    def _team_rate(
        self,
        team: TeamState,
        capacity: int,
        now_s: float,
    ) -> float:
        """Return the work per second that a team gets under contention."""
        rate = self._meter.cost_per_s(now_s, capacity)
        rate *= self._order.share_of(team)
        if team.max_in_flight is None:
            return rate
        max_rate = max(1, team.max_in_flight) / self._meter.service_s(1)
        return min(rate, max_rate)


def _detail(reason: RefusalReason) -> str:
    match reason:
        case RefusalReason.QUEUE_FULL:
            return 'too many requests wait for this pool'
        case RefusalReason.TEAM_LIMIT:
            return 'the limit of the team is reached'
        case _:
            return 'the request would not be done by its deadline'
