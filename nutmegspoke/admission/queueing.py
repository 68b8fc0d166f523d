"""Admission queue of a pool: fair shares, deadlines and refusals."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.admission.drain import DrainMeter
from nutmegspoke.admission.fair_order import Entry, FairOrder
from nutmegspoke.admission.returns import RetrySlots
from nutmegspoke.admission.slots import Slots
from nutmegspoke.admission.tickets import Admitted, Queued, Ready, Refused
from nutmegspoke.admission.waits import WaitEstimator
from nutmegspoke.errors import BrokenInvariantError
from nutmegspoke.outcomes import NotRun, RefusalReason

if TYPE_CHECKING:
    from nutmegspoke.admission.returns import RandomSource
    from nutmegspoke.admission.tickets import Ticket
    from nutmegspoke.tables.rows import PoolRow

# Time for which no request starts after no target was available.
_REQUEUE_PAUSE_S = 0.05
# Sequence number that sorts a requeued request before all arrivals.
_REQUEUE_NUMBER = -1
# Factor on the estimated wait of an arriving request without precedence.
_WAIT_MARGIN = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class QueueSettings:
    """Settings of an admission queue.

    :param max_queue: largest number of waiting tickets.
    :param expected_service_s: assumed service time for a cost of 1, in seconds;
        used until the first request has finished.
    """

    max_queue: int
    expected_service_s: float = 0.1

    @classmethod
    def from_row(cls, row: PoolRow) -> QueueSettings:
        """Return the settings in the row of a pool."""
        return cls(max_queue=row.max_queue)


class AdmissionQueue:
    """Queue that decides which requests of a pool run, wait or are refused.

    :ivar settings: bounds of the queue; may be replaced.
    """

    def __init__(
        self,
        settings: QueueSettings,
        capacity: int,
        source: RandomSource,
    ) -> None:
        """Create an empty queue.

        :param settings: bounds of the queue.
        :param capacity: maximum number of requests that run at once.
        :param source: seeded random source for the jitter of ``Retry-After``.
        """
        self.settings = settings
        self._slots = Slots(capacity)
        self._order = FairOrder()
        self._meter = DrainMeter(settings.expected_service_s)
        self._retry_slots = RetrySlots(source)
        self._waits = WaitEstimator(self._order, self._meter, self._retry_slots)
        self._waiting: dict[str, Entry] = {}
        self._refused: list[Refused] = []

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting tickets."""
        return len(self._waiting)

    @property
    def running_count(self) -> int:
        """Return the number of running tickets."""
        return len(self._slots)

    def resize(self, capacity: int, now_s: float) -> None:
        """Change how many requests may run at once."""
        self._slots.capacity = capacity
        self._update_meter(now_s)

    def limit_team(self, team: str, max_in_flight: int | None) -> None:
        """Change the limit of a team on this daemon; ``None`` for no limit."""
        self._order.set_limit(team, max_in_flight)

    def is_below_share(self, ticket: Ticket) -> bool:
        """Return whether the team of a running ticket has less than its share.

        The targets should then prefer its requests to those that already run
        there.
        """
        return self._order.is_below_share(ticket)

    def offer(self, ticket: Ticket, now_s: float) -> Admitted | Queued | NotRun:
        """Decide whether an arriving request runs, waits or is refused.

        :param ticket: ticket of the request.
        :param now_s: current time, in seconds.
        :raises BrokenInvariantError: if a request with its id waits or runs.
        """
        if ticket.request_id in self._waiting or (
            ticket.request_id in self._slots
        ):
            raise BrokenInvariantError(
                f'ticket offered twice: {ticket.request_id}'
            )
        has_precedence = self._retry_slots.use_slot(ticket, now_s)
        entry = self._order.create_entry(ticket, has_precedence=has_precedence)
        if self._slots.has_free(now_s) and self._order.is_next(ticket):
            if len(self._slots) and self._waits.misses_deadline(entry, now_s):
                return self._waits.refuse(
                    entry,
                    RefusalReason.DEADLINE,
                    self._slots.capacity,
                    now_s,
                )
            self._start(ticket, now_s)
            return Admitted(ticket)
        wait_s = self._waits.wait_s(entry, self._slots.capacity, now_s)
        reason = self._find_refusal_reason(entry, wait_s, now_s)
        if reason is not None:
            return self._waits.refuse(
                entry, reason, self._slots.capacity, now_s
            )
        self._push(entry, now_s)
        return Queued(ticket, wait_s)

    def start_ready(self, now_s: float) -> Ready:
        """Start and refuse waiting tickets.

        Start the tickets for which there is capacity, and refuse those that
        would miss their deadline.

        :returns: started tickets and refused tickets, including those evicted
            since the last call.
        """
        for waiting in tuple(self._waiting.values()):
            if self._waits.misses_deadline(waiting, now_s):
                self._refuse_waiting(waiting, RefusalReason.DEADLINE, now_s)
        started: list[Ticket] = []
        entry = self._order.next_entry()
        while entry is not None and self._slots.has_free(now_s):
            self._remove_waiting(entry)
            self._start(entry.ticket, now_s)
            started.append(entry.ticket)
            entry = self._order.next_entry()
        refused = tuple(self._refused)
        self._refused.clear()
        return Ready(tuple(started), refused)

    def next_call_s(self, now_s: float) -> float | None:
        """Return the time by which :meth:`start_ready` must be called.

        :returns: time in seconds; ``None`` if no ticket waits.
        """
        if self._refused:
            return now_s
        events = [
            self._waits.latest_start_s(entry)
            for entry in self._waiting.values()
        ]
        if events and self._slots.paused_until_s > now_s:
            events.append(self._slots.paused_until_s)
        return min(events, default=None)

    def finish(self, ticket: Ticket, now_s: float) -> None:
        """Record that a running request has ended.

        :raises BrokenInvariantError: if the request does not run.
        """
        started_s = self._slots.release(ticket)
        self._meter.advance(now_s)
        self._meter.finish(ticket.cost, now_s - started_s)
        self._order.release(ticket)
        self._slots.paused_until_s = 0.0
        self._update_meter(now_s)

    def requeue(self, ticket: Ticket, now_s: float) -> None:
        """Return a running request to the queue, as no target was available.

        No request starts until another one finishes or a short pause has
        passed.

        :raises BrokenInvariantError: if the request does not run.
        """
        self._slots.release(ticket)
        self._order.undo_start(ticket)
        self._slots.paused_until_s = now_s + _REQUEUE_PAUSE_S
        self._push(Entry(ticket, _REQUEUE_NUMBER, has_precedence=True), now_s)

    def cancel(self, ticket: Ticket, now_s: float) -> None:
        """Remove a waiting or running request whose caller has disconnected."""
        entry = self._waiting.get(ticket.request_id)
        if entry is not None:
            self._remove_waiting(entry)
        elif ticket.request_id in self._slots:
            self._slots.release(ticket)
            self._order.release(ticket)
        self._update_meter(now_s)

    def _start(self, ticket: Ticket, now_s: float) -> None:
        self._order.start(ticket)
        self._slots.acquire(ticket, now_s)
        self._update_meter(now_s)

    def _push(self, entry: Entry, now_s: float) -> None:
        self._order.push(entry)
        self._waiting[entry.ticket.request_id] = entry
        self._update_meter(now_s)

    def _remove_waiting(self, entry: Entry) -> None:
        self._order.remove(entry)
        self._waiting.pop(entry.ticket.request_id)

    def _update_meter(self, now_s: float) -> None:
        self._meter.advance(now_s)
        self._meter.is_busy = self._slots.is_full

    def _find_refusal_reason(
        self,
        entry: Entry,
        wait_s: float,
        now_s: float,
    ) -> RefusalReason | None:
        """Return the reason to refuse an arriving request.

        If the queue is full, this may evict a waiting ticket of another team
        to make room.

        :param wait_s: expected wait, in seconds.
        :returns: ``None`` if the request may wait.
        """
        team = self._order.team_of(entry.ticket)
        margin = 1 if entry.has_precedence else _WAIT_MARGIN
        if now_s + wait_s * margin > self._waits.latest_start_s(entry):
            if team.is_limited:
                return RefusalReason.TEAM_LIMIT
            return RefusalReason.DEADLINE
        if entry.has_precedence or len(self._waiting) < self.settings.max_queue:
            return None
        evicted = self._order.find_evictable(team)
        if evicted is None:
            return RefusalReason.QUEUE_FULL
        self._refuse_waiting(evicted, RefusalReason.QUEUE_FULL, now_s)
        return None

    def _refuse_waiting(
        self,
        entry: Entry,
        reason: RefusalReason,
        now_s: float,
    ) -> None:
        self._remove_waiting(entry)
        outcome = self._waits.refuse(entry, reason, self._slots.capacity, now_s)
        self._refused.append(Refused(entry.ticket, outcome))
