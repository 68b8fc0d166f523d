"""Admit requests to their pools, with an admission queue for each pool."""

from __future__ import annotations

import collections
import logging
import random
import zlib
from typing import TYPE_CHECKING

from nutmegspoke.admission.queueing import AdmissionQueue, QueueSettings
from nutmegspoke.border.admission_line import PoolQueue
from nutmegspoke.border.admission_tickets import (
    FullLimits,
    TeamKey,
    new_ticket,
)
from nutmegspoke.border.router import NAME as ROUTER
from nutmegspoke.border.router import Router
from nutmegspoke.membership.messages import TeamDemand
from nutmegspoke.outcomes import NotRun, RefusalReason

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.border.admission_line import Capacities
    from nutmegspoke.border.admission_tickets import TeamLimits
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.requests import CallRequest, DraftRequest
    from nutmegspoke.tables.rows import PoolRow

logger = logging.getLogger(__name__)
NAME = 'admission'
_NO_TARGET_RETRY_AFTER_S = 2.0


class AdmissionGate:
    """Admission queues of all pools.

    :ivar team_limits: returns this daemon's shares of the limits of teams.
    """

    def __init__(
        self,
        clock: Clock,
        capacities: Capacities,
        seed: int,
    ) -> None:
        """Create a gate without queues.

        :param clock: the process's clock.
        :param capacities: returns how many requests may run in a pool.
        :param seed: seed of the jitter of ``Retry-After``.
        """
        self.team_limits: TeamLimits = FullLimits()
        self._clock = clock
        self._capacities = capacities
        self._random = random.Random(seed)
        self._queues: dict[str, PoolQueue] = {}
        self._demand: collections.Counter[TeamKey] = collections.Counter()

    async def start(self) -> None:
        """Do nothing; a queue is created with the first request of its pool."""

    async def stop(self) -> None:
        """Stop the timers of the queues."""
        for pool_queue in self._queues.values():
            pool_queue.stop()

    async def enter(self, request: DraftRequest | CallRequest) -> NotRun | None:
        """Wait until a request may run.

        :param request: the request.
        :returns: the refusal, or ``None`` if the request may run; in that
            case ``leave`` must be called when the request ends.
        """
        if self._capacities.capacity(request.pool) == 0:
            return _no_target(request)
        now_s = self._clock.now_s()
        pool_queue = self._find_queue(request.pool)
        key = TeamKey.from_request(request)
        self._demand[key] += 1
        refusal: NotRun | None = None
        is_admitted = False
        try:
            refusal = await pool_queue.enter(
                new_ticket(request, self.team_limits, now_s)
            )
            is_admitted = refusal is None
        finally:
            if not is_admitted:
                self._forget_demand(key)
        return refusal

    async def requeue(
        self,
        request: DraftRequest | CallRequest,
    ) -> NotRun | None:
        """Put an admitted request back into the queue and wait again.

        Called if every target is at its limit when a chain is chosen.

        :param request: the request.
        :returns: the refusal, or ``None`` if the request may run.
        """
        return await self._find_queue(request.pool).requeue(request.request_id)

    def leave(
        self,
        request: DraftRequest | CallRequest,
        *,
        is_served: bool,
    ) -> None:
        """Note that an admitted request has ended.

        :param request: the request.
        :param is_served: whether it ran to its end; only then does its time
            count as the duration of a served request.
        """
        pool_queue = self._find_queue(request.pool)
        pool_queue.leave(request.request_id, is_served=is_served)
        self._forget_demand(TeamKey.from_request(request))

    def is_below_share(self, request: DraftRequest) -> bool:
        """Return whether the team of a running draft is below its share."""
        return self._find_queue(request.pool).is_below_share(request.request_id)

    def demand(self) -> tuple[TeamDemand, ...]:
        """Return how many requests run or wait here, largest demand first.

        Teams without a limit in the row of their route are omitted.
        """
        return tuple(
            TeamDemand(key.route, key.team, count)
            for key, count in self._demand.most_common()
            if key.is_limited
        )

    def limit_team(self, key: TeamKey, max_in_flight: int) -> None:
        """Apply a changed limit to the waiting requests of a team.

        :param key: the team.
        :param max_in_flight: this daemon's share of the limit of the team.
        """
        for pool_queue in self._queues.values():
            pool_queue.limit_team(str(key), max_in_flight)

    def waiting_count(self, pool: str) -> int:
        """Return the number of requests waiting for a pool."""
        pool_queue = self._queues.get(pool)
        return pool_queue.queue.waiting_count if pool_queue else 0

    def _find_queue(self, pool: PoolRow) -> PoolQueue:
        pool_queue = self._queues.get(pool.name)
        if pool_queue is None:
            queue = AdmissionQueue(
                QueueSettings.from_row(pool),
                0,
                self._random,
            )
            pool_queue = PoolQueue(queue, self._clock, self._capacities)
            self._queues[pool.name] = pool_queue
        pool_queue.pool = pool
        pool_queue.queue.settings = QueueSettings.from_row(pool)
        return pool_queue

    def _forget_demand(self, key: TeamKey) -> None:
        self._demand[key] -= 1
        if self._demand[key] <= 0:
            self._demand.pop(key)


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


def setup(app: Application) -> None:
    """Register the admission gate."""
    router = app.kernel.find(ROUTER, Router)
    seed = zlib.crc32(f'{app.settings.daemon.name}:gate'.encode())
    app.kernel.register(NAME, AdmissionGate(app.clock, router, seed))
