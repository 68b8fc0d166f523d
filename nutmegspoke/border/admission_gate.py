"""Lets requests into their pools by the admission queues."""

from __future__ import annotations

import collections
import logging
import random
import zlib
from typing import TYPE_CHECKING

from nutmegspoke.admission.queueing import AdmissionQueue, QueueSettings
from nutmegspoke.border.admission_line import Line
from nutmegspoke.border.admission_tickets import (
    TeamKey,
    WholeLimits,
    ticket_of,
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
        self._lines: dict[str, Line] = {}
        self._demand: collections.Counter[TeamKey] = collections.Counter()

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
        now_s = self._clock.now_s()
        line = self._line(request.pool)
        key = TeamKey.from_request(request)
        self._demand[key] += 1
        refusal: NotRun | None = None
        is_let_in = False
        try:
            refusal = await line.enter(
                ticket_of(request, self.team_limits, now_s)
            )
            is_let_in = refusal is None
        finally:
            if not is_let_in:
                self._forget_demand(key)
        return refusal

    async def requeue(
        self,
        request: DraftRequest | CallRequest,
    ) -> NotRun | None:
        """Give a place back, as no target has room, and wait for another."""
        return await self._line(request.pool).requeue(request.request_id)

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
        self._forget_demand(TeamKey.from_request(request))

    def is_below_share(self, request: DraftRequest) -> bool:
        """Tell whether a running draft's team has less than its share."""
        return self._line(request.pool).is_below_share(request.request_id)

    def demand(self) -> tuple[TeamDemand, ...]:
        """Return the requests that run or wait here, largest demand first.

        Teams without a limit in their route's row are left out.
        """
        return tuple(
            TeamDemand(key.route, key.team, count)
            for key, count in self._demand.most_common()
            if key.is_limited
        )

    def limit_team(self, key: TeamKey, max_in_flight: int) -> None:
        """Let a share of a limit hold for the requests that wait, too."""
        for line in self._lines.values():
            line.limit_team(str(key), max_in_flight)

    def waiting_count(self, pool: str) -> int:
        """Return the number of requests that wait for a pool."""
        line = self._lines.get(pool)
        return line.queue.waiting_count if line else 0

    def _line(self, pool: PoolRow) -> Line:
        line = self._lines.get(pool.name)
        if line is None:
            queue = AdmissionQueue(
                QueueSettings.from_row(pool),
                0,
                self._random,
            )
            line = Line(queue, self._clock, self._capacities)
            self._lines[pool.name] = line
        line.pool = pool
        line.queue.settings = QueueSettings.from_row(pool)
        return line

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
    """Register the gate."""
    router = app.kernel.find(ROUTER, Router)
    seed = zlib.crc32(f'{app.settings.daemon.name}:gate'.encode())
    app.kernel.register(NAME, AdmissionGate(app.clock, router, seed))
