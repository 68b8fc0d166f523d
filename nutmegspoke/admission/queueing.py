"""The admission queue of a pool: fair shares, deadlines and refusals."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.admission.drain import DrainMeter
from nutmegspoke.admission.fair_order import Entry, FairOrder
from nutmegspoke.admission.returns import ReturnBook
from nutmegspoke.admission.slots import Slots
from nutmegspoke.admission.tickets import Admitted, Queued, Ready, Refused
from nutmegspoke.admission.waits import WaitEstimator
from nutmegspoke.errors import BrokenInvariantError
from nutmegspoke.outcomes import NotRun, RefusalReason

if TYPE_CHECKING:
    from nutmegspoke.admission.returns import RandomSource
    from nutmegspoke.admission.tickets import Ticket
    from nutmegspoke.tables.rows import PoolRow

_PUT_BACK_PAUSE_S = 0.05
_PUT_BACK_NUMBER = -1
_WAIT_MARGIN = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class QueueSettings:
    """Settings of an admission queue.

    :param max_queue: tickets that wait at most.
    :param expected_service_s: time of service for a cost of 1, until some
        request has finished.
    """

    max_queue: int
    expected_service_s: float = 0.1

    @classmethod
    def from_row(cls, row: PoolRow) -> QueueSettings:
        """Take the settings from the row of a pool."""
        return cls(max_queue=row.max_queue)


class AdmissionQueue:
    """Decides which requests of a pool run, wait or are refused.

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
        :param capacity: requests that may run at once.
        :param source: seeded source of the jitter of ``Retry-After``.
        """
        self.settings = settings
        self._slots = Slots(capacity)
        self._order = FairOrder()
        self._meter = DrainMeter(settings.expected_service_s)
        self._returns = ReturnBook(source)
        self._waits = WaitEstimator(self._order, self._meter, self._returns)
        self._waiting: dict[str, Entry] = {}
        self._refused: list[Refused] = []

    @property
    def waiting_count(self) -> int:
        """Return the number of tickets that wait."""
        return len(self._waiting)

    @property
    def running_count(self) -> int:
        """Return the number of tickets that run."""
        return len(self._slots)

    def resize(self, capacity: int, now_s: float) -> None:
        """Change how many requests may run at once."""
        self._slots.capacity = capacity
        self._mark(now_s)

    def limit_team(self, team: str, max_in_flight: int | None) -> None:
        """Change the limit of a team on this daemon; ``None`` for no limit."""
        self._order.limit(team, max_in_flight)

    def is_below_share(self, ticket: Ticket) -> bool:
        """Tell whether a running ticket's team has less than its share.

        Its work should then go first at the targets, where it competes with
        work that is running already.
        """
        return self._order.is_below_share(ticket)

    def offer(self, ticket: Ticket, now_s: float) -> Admitted | Queued | NotRun:
        """Decide on a request that arrives.

        :param ticket: its ticket.
        :param now_s: present time.
        :raises BrokenInvariantError: if its id waits or runs already.
        """
        if ticket.request_id in self._waiting or (
            ticket.request_id in self._slots
        ):
            raise BrokenInvariantError(f'offered twice: {ticket.request_id}')
        is_due = self._returns.redeem(ticket, now_s)
        entry = self._order.entry(ticket, is_due=is_due)
        if self._slots.has_free(now_s) and self._order.is_next(ticket):
            if len(self._slots) and self._waits.is_hopeless(entry, now_s):
                return self._waits.refusal(
                    entry,
                    RefusalReason.DEADLINE,
                    self._slots.capacity,
                    now_s,
                )
            self._start(ticket, now_s)
            return Admitted(ticket)
        wait_s = self._waits.wait_s(entry, self._slots.capacity, now_s)
        reason = self._reason_to_refuse(entry, wait_s, now_s)
        if reason is not None:
            return self._waits.refusal(
                entry, reason, self._slots.capacity, now_s
            )
        self._push(entry, now_s)
        return Queued(ticket, wait_s)

    def next_ready(self, now_s: float) -> Ready:
        """Return what may start now and what must be refused now."""
        for waiting in tuple(self._waiting.values()):
            if self._waits.is_hopeless(waiting, now_s):
                self._refuse_waiting(waiting, RefusalReason.DEADLINE, now_s)
        started: list[Ticket] = []
        entry = self._order.next_entry()
        while entry is not None and self._slots.has_free(now_s):
            self._take_out(entry)
            self._start(entry.ticket, now_s)
            started.append(entry.ticket)
            entry = self._order.next_entry()
        refused = tuple(self._refused)
        self._refused.clear()
        return Ready(tuple(started), refused)

    def next_event_s(self, now_s: float) -> float | None:
        """Return when ``next_ready`` has to be called at the latest.

        :returns: ``None`` if nothing waits.
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
        """Note that a started request has ended.

        :raises BrokenInvariantError: if it does not run.
        """
        started_s = self._slots.free(ticket)
        self._meter.advance(now_s)
        self._meter.finish(ticket.cost, now_s - started_s)
        self._order.release(ticket)
        self._slots.paused_until_s = 0.0
        self._mark(now_s)

    def requeue(self, ticket: Ticket, now_s: float) -> None:
        """Let a started request wait again, as no target had room for it.

        Nothing starts until a request finishes or a short pause is over.

        :raises BrokenInvariantError: if it does not run.
        """
        self._slots.free(ticket)
        self._order.give_back(ticket)
        self._slots.paused_until_s = now_s + _PUT_BACK_PAUSE_S
        self._push(Entry(ticket, _PUT_BACK_NUMBER, is_due=True), now_s)

    def cancel(self, ticket: Ticket, now_s: float) -> None:
        """Forget a request whose caller has gone, waiting or running."""
        entry = self._waiting.get(ticket.request_id)
        if entry is not None:
            self._take_out(entry)
        elif ticket.request_id in self._slots:
            self._slots.free(ticket)
            self._order.release(ticket)
        self._mark(now_s)

    def _start(self, ticket: Ticket, now_s: float) -> None:
        self._order.start(ticket)
        self._slots.take(ticket, now_s)
        self._mark(now_s)

    def _push(self, entry: Entry, now_s: float) -> None:
        self._order.push(entry)
        self._waiting[entry.ticket.request_id] = entry
        self._mark(now_s)

    def _take_out(self, entry: Entry) -> None:
        self._order.remove(entry)
        self._waiting.pop(entry.ticket.request_id)

    def _mark(self, now_s: float) -> None:
        self._meter.advance(now_s)
        self._meter.is_busy = self._slots.is_full

    def _reason_to_refuse(
        self,
        entry: Entry,
        wait_s: float,
        now_s: float,
    ) -> RefusalReason | None:
        team = self._order.team_of(entry.ticket)
        margin = 1 if entry.is_due else _WAIT_MARGIN
        if now_s + wait_s * margin > self._waits.latest_start_s(entry):
            if team.is_limited:
                return RefusalReason.TEAM_LIMIT
            return RefusalReason.DEADLINE
        if entry.is_due or len(self._waiting) < self.settings.max_queue:
            return None
        evicted = self._order.worst_excess(team)
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
        self._take_out(entry)
        outcome = self._waits.refusal(
            entry, reason, self._slots.capacity, now_s
        )
        self._refused.append(Refused(entry.ticket, outcome))
