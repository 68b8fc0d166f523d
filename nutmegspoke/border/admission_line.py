"""Apply the decisions of the admission queue of one pool."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Protocol

from nutmegspoke.admission.deadline_limit import DeadlineLimit
from nutmegspoke.admission.tickets import Queued
from nutmegspoke.outcomes import NotRun
from nutmegspoke.tables.rows import PoolKind

if TYPE_CHECKING:
    from nutmegspoke.admission.queueing import AdmissionQueue
    from nutmegspoke.admission.tickets import Ticket
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.tables.rows import PoolRow

logger = logging.getLogger(__name__)
_MAX_TIMER_S = 0.25
_MIN_TIMER_S = 0.001


class Capacities(Protocol):
    """Source of the number of requests that may run in a pool."""

    def capacity(self, pool: PoolRow) -> int:
        """Return how many requests of this daemon may run in a pool."""


class PoolQueue:
    """Admission queue of one pool with the futures of waiting requests.

    :ivar pool: row of the pool.
    :ivar queue: decides which requests run.
    """

    pool: PoolRow

    def __init__(
        self,
        queue: AdmissionQueue,
        clock: Clock,
        capacities: Capacities,
    ) -> None:
        self.queue = queue
        self._clock = clock
        self._capacities = capacities
        self._limit = DeadlineLimit()
        self._tickets: dict[str, Ticket] = {}
        self._started_s: dict[str, float] = {}
        self._waiters: dict[str, asyncio.Future[NotRun | None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def enter(self, ticket: Ticket) -> NotRun | None:
        """Wait until a request may run.

        :param ticket: ticket of the request.
        :returns: the refusal, or ``None`` if the request may run.
        """
        now_s = self._clock.now_s()
        self.queue.resize(self._capacity(), now_s)
        decision = self.queue.offer(ticket, now_s)
        if isinstance(decision, NotRun):
            self._process_queue()
            return decision
        self._tickets[ticket.request_id] = ticket
        if isinstance(decision, Queued):
            logger.info(
                'admission: queued request=%s team=%s expected_wait_s=%.3f',
                ticket.request_id,
                ticket.team,
                decision.expected_wait_s,
            )
            return await self._wait(ticket)
        self._started_s[ticket.request_id] = now_s
        return None

    async def requeue(self, request_id: str) -> NotRun | None:
        """Put a running request back into the queue and wait again."""
        ticket = self._tickets[request_id]
        self.queue.requeue(ticket, self._clock.now_s())
        logger.info('admission: requeued request=%s', request_id)
        return await self._wait(ticket)

    def leave(self, request_id: str, *, is_served: bool) -> None:
        """Note that a running request has ended; refused ones are ignored."""
        ticket = self._tickets.pop(request_id, None)
        if ticket is None:
            return
        now_s = self._clock.now_s()
        started_s = self._started_s.pop(request_id, now_s)
        if is_served or now_s >= ticket.deadline_s:
            self._limit.observe(
                now_s - started_s,
                ticket.cost,
                ticket.deadline_s - started_s,
                self.queue.running_count,
            )
        if is_served:
            self.queue.finish(ticket, now_s)
        else:
            self.queue.cancel(ticket, now_s)
        self._process_queue()

    def is_below_share(self, request_id: str) -> bool:
        """Return whether the team of a running request is below its share."""
        ticket = self._tickets.get(request_id)
        return ticket is not None and self.queue.is_below_share(ticket)

    def limit_team(self, team: str, max_in_flight: int) -> None:
        """Change the limit of a team and start the requests that it allows."""
        self.queue.limit_team(team, max_in_flight)
        self._process_queue()

    def stop(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _capacity(self) -> int:
        """Return how many requests of the pool may run at once.

        The limit by deadlines holds for pools of engines only.
        """
        by_targets = self._capacities.capacity(self.pool)
        if self.pool.kind is PoolKind.SERVICE:
            return by_targets
        return min(by_targets, self._limit.max_running)

    async def _wait(self, ticket: Ticket) -> NotRun | None:
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[NotRun | None] = loop.create_future()
        self._waiters[ticket.request_id] = waiter
        self._process_queue()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._waiters.pop(ticket.request_id, None)
            self._tickets.pop(ticket.request_id, None)
            self._started_s.pop(ticket.request_id, None)
            self.queue.cancel(ticket, self._clock.now_s())
            self._process_queue()
            raise

    def _process_queue(self) -> None:
        """Start and refuse the requests that are due, and reset the timer."""
        now_s = self._clock.now_s()
        self.queue.resize(self._capacity(), now_s)
        ready = self.queue.start_ready(now_s)
        for ticket in ready.started:
            self._started_s[ticket.request_id] = now_s
            self._resolve(ticket, None)
        for refused in ready.refused:
            self._tickets.pop(refused.ticket.request_id, None)
            self._started_s.pop(refused.ticket.request_id, None)
            self._resolve(refused.ticket, refused.outcome)
        self._set_timer(now_s)

    def _resolve(self, ticket: Ticket, decision: NotRun | None) -> None:
        waiter = self._waiters.pop(ticket.request_id)
        if not waiter.done():
            waiter.set_result(decision)

    def _set_timer(self, now_s: float) -> None:
        self.stop()
        event_s = self.queue.next_call_s(now_s)
        if event_s is None:
            return
        timer_s = min(max(event_s - now_s, _MIN_TIMER_S), _MAX_TIMER_S)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timer_s, self._process_queue)
