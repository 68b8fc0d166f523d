"""Carries out what the admission queue of one pool decides."""

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
_LONGEST_PAUSE_S = 0.25
_SHORTEST_PAUSE_S = 0.001


class Capacities(Protocol):
    """Knows how many requests may run in a pool."""

    def capacity(self, pool: PoolRow) -> int:
        """Return how many requests of this daemon may run in a pool."""


class Line:
    """The queue of one pool and those who wait in it.

    :ivar pool: row of the pool.
    :ivar queue: decides who runs.
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
        """Wait until a ticket may run; return its refusal if it may not."""
        now_s = self._clock.now_s()
        self.queue.resize(self._capacity(), now_s)
        answer = self.queue.offer(ticket, now_s)
        if isinstance(answer, NotRun):
            self._pump()
            return answer
        self._tickets[ticket.request_id] = ticket
        if isinstance(answer, Queued):
            logger.info(
                'admission: queued request=%s team=%s expected_wait_s=%.3f',
                ticket.request_id,
                ticket.team,
                answer.expected_wait_s,
            )
            return await self._wait(ticket)
        self._started_s[ticket.request_id] = now_s
        return None

    async def requeue(self, request_id: str) -> NotRun | None:
        """Give the place of a running request back and wait for another."""
        ticket = self._tickets[request_id]
        self.queue.requeue(ticket, self._clock.now_s())
        logger.info('admission: put back request=%s', request_id)
        return await self._wait(ticket)

    def leave(self, request_id: str, *, is_served: bool) -> None:
        """Note that a running request has ended; a refused one is ignored."""
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
        self._pump()

    def is_below_share(self, request_id: str) -> bool:
        """Tell whether the team of a running request has less than its share."""
        ticket = self._tickets.get(request_id)
        return ticket is not None and self.queue.is_below_share(ticket)

    def limit_team(self, team: str, max_in_flight: int) -> None:
        """Change the limit of a team and start what may run by it."""
        self.queue.limit_team(team, max_in_flight)
        self._pump()

    def stop(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _capacity(self) -> int:
        """Return how many requests of the pool may run at once."""
        by_targets = self._capacities.capacity(self.pool)
        if self.pool.kind is PoolKind.SERVICE:
            return by_targets
        return min(by_targets, self._limit.max_running)

    async def _wait(self, ticket: Ticket) -> NotRun | None:
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[NotRun | None] = loop.create_future()
        self._waiters[ticket.request_id] = waiter
        self._pump()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._waiters.pop(ticket.request_id, None)
            self._tickets.pop(ticket.request_id, None)
            self._started_s.pop(ticket.request_id, None)
            self.queue.cancel(ticket, self._clock.now_s())
            self._pump()
            raise

    def _pump(self) -> None:
        """Start and refuse what is due, and set the timer for the next."""
        now_s = self._clock.now_s()
        self.queue.resize(self._capacity(), now_s)
        ready = self.queue.next_ready(now_s)
        for ticket in ready.started:
            self._started_s[ticket.request_id] = now_s
            self._answer(ticket, None)
        for refused in ready.refused:
            self._tickets.pop(refused.ticket.request_id, None)
            self._started_s.pop(refused.ticket.request_id, None)
            self._answer(refused.ticket, refused.outcome)
        self._set_timer(now_s)

    def _answer(self, ticket: Ticket, answer: NotRun | None) -> None:
        waiter = self._waiters.pop(ticket.request_id)
        if not waiter.done():
            waiter.set_result(answer)

    def _set_timer(self, now_s: float) -> None:
        self.stop()
        event_s = self.queue.next_event_s(now_s)
        if event_s is None:
            return
        pause_s = min(max(event_s - now_s, _SHORTEST_PAUSE_S), _LONGEST_PAUSE_S)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(pause_s, self._pump)
