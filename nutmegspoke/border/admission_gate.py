"""Lets requests into their pools by the admission queues."""

from __future__ import annotations

import asyncio
import logging
import random
import zlib
from typing import TYPE_CHECKING, Protocol

import xxhash

from nutmegspoke.admission.deadline_limit import DeadlineLimit
from nutmegspoke.admission.queueing import AdmissionQueue, QueueSettings
from nutmegspoke.admission.tickets import Queued, Ticket
from nutmegspoke.border.router import NAME as ROUTER
from nutmegspoke.border.router import Router, work_tokens
from nutmegspoke.outcomes import NotRun, RefusalReason
from nutmegspoke.tables.rows import PoolKind

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.requests import CallRequest, DraftRequest
    from nutmegspoke.tables.rows import PoolRow, TeamShare

logger = logging.getLogger(__name__)
NAME = 'admission'
_LONGEST_PAUSE_S = 0.25
_CALL_COST = 1.0
_NO_TARGET_RETRY_AFTER_S = 2.0


class Capacities(Protocol):
    """Knows how many requests may run in a pool."""

    def capacity(self, pool: PoolRow) -> int:
        """Return how many requests of this daemon may run in a pool."""


class TeamLimits(Protocol):
    """Knows this daemon's share of the limits of teams."""

    def share_of(self, team: str, limit: int, now_s: float) -> int:
        """Return how many requests of a team may be in flight here."""


class WholeLimits:
    """Gives the whole limit to this daemon, as if it were alone."""

    def share_of(self, team: str, limit: int, now_s: float) -> int:
        """Return how many requests of a team may be in flight here."""
        return limit


class AdmissionGate:
    """Holds an admission queue for each pool.

    :ivar team_limits: this daemon's share of the limits of teams.
    """

    def __init__(
        self,
        clock: Clock,
        capacities: Capacities,
        seed: int,
    ) -> None:
        """Create a gate without queues.

        :param clock: the process's clock.
        :param capacities: knows how many requests may run in a pool.
        :param seed: seed of the jitter of ``Retry-After``.
        """
        self.team_limits: TeamLimits = WholeLimits()
        self._clock = clock
        self._capacities = capacities
        self._random = random.Random(seed)
        self._lines: dict[str, _Line] = {}

    async def start(self) -> None:
        """Do nothing; queues begin with their first request."""

    async def stop(self) -> None:
        """Stop the timers of the queues."""
        for line in self._lines.values():
            line.stop()

    async def enter(self, request: DraftRequest | CallRequest) -> NotRun | None:
        """Wait until a request may run.

        :returns: the refusal; ``None`` if it may run, and then ``leave`` must
            be called at its end.
        """
        if self._capacities.capacity(request.pool) == 0:
            return _no_target(request)
        line = self._line(request.pool)
        return await line.enter(self._ticket(request))

    async def wait_again(
        self,
        request: DraftRequest | CallRequest,
    ) -> NotRun | None:
        """Give a place back, as no target has room, and wait for another."""
        return await self._line(request.pool).wait_again(request.request_id)

    def leave(
        self,
        request: DraftRequest | CallRequest,
        *,
        is_served: bool,
    ) -> None:
        """Note that a request that was let in has ended.

        :param is_served: whether it ran to its end, so that its time tells
            how long requests take.
        """
        line = self._line(request.pool)
        line.leave(request.request_id, is_served=is_served)

    def is_below_share(self, request: DraftRequest) -> bool:
        """Tell whether a running draft's team has less than its share."""
        line = self._line(request.pool)
        return line.queue.is_below_share(self._ticket(request))

    def waiting_count(self, pool: str) -> int:
        """Return the number of requests that wait for a pool."""
        line = self._lines.get(pool)
        return line.queue.waiting_count if line else 0

    def _line(self, pool: PoolRow) -> _Line:
        line = self._lines.get(pool.name)
        if line is None:
            queue = AdmissionQueue(
                QueueSettings.from_row(pool),
                0,
                self._random,
            )
            line = _Line(queue, self._clock, self._capacities)
            self._lines[pool.name] = line
        line.pool = pool
        return line

    def _ticket(self, request: DraftRequest | CallRequest) -> Ticket:
        share = _share_of(request)
        limit = None
        if share is not None:
            limit = self.team_limits.share_of(
                share.team,
                share.max_in_flight,
                self._clock.now_s(),
            )
        return Ticket(
            request_id=request.request_id,
            team=request.team,
            deadline_s=request.deadline_s,
            weight=share.weight if share else 1.0,
            max_in_flight=limit,
            priority=request.route.priority,
            cost=_cost(request),
            return_key=_return_key(request),
        )


class _Line:
    """The queue of one pool and those who wait in it."""

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

    async def wait_again(self, request_id: str) -> NotRun | None:
        ticket = self._tickets[request_id]
        self.queue.put_back(ticket, self._clock.now_s())
        logger.info('admission: put back request=%s', request_id)
        return await self._wait(ticket)

    def leave(self, request_id: str, *, is_served: bool) -> None:
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

    def stop(self) -> None:
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
        pause_s = min(max(event_s - now_s, 0.001), _LONGEST_PAUSE_S)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(pause_s, self._pump)


def _no_target(request: DraftRequest | CallRequest) -> NotRun:
    logger.info(
        'admission: refused request=%s team=%s reason=%s retry_after_s=%.2f',
        request.request_id,
        request.team,
        RefusalReason.NO_TARGET.value,
        _NO_TARGET_RETRY_AFTER_S,
    )
    return NotRun(
        RefusalReason.NO_TARGET,
        _NO_TARGET_RETRY_AFTER_S,
        f'no target or chain of targets in pool {request.pool.name}',
    )


def _share_of(request: DraftRequest | CallRequest) -> TeamShare | None:
    return next(
        (each for each in request.route.teams if each.team == request.team),
        None,
    )


def _cost(request: DraftRequest | CallRequest) -> float:
    if hasattr(request, 'prompt'):
        return float(work_tokens(request))
    return _CALL_COST


def _return_key(request: DraftRequest | CallRequest) -> str:
    """Return a digest by which the same request is known again."""
    digest = xxhash.xxh64(request.route.name.encode())
    if hasattr(request, 'prompt'):
        digest.update(request.prompt.encode())
    else:
        digest.update(request.idempotency_key.encode())
        digest.update(request.path.encode())
        digest.update(request.body)
    return digest.hexdigest()


def setup(app: Application) -> None:
    """Register the gate."""
    router = app.kernel.find(ROUTER, Router)
    seed = zlib.crc32(f'{app.settings.daemon.name}:gate'.encode())
    app.kernel.register(NAME, AdmissionGate(app.clock, router, seed))
