"""Queues drafts until a chain has enough free memory."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
from typing import TYPE_CHECKING

from nutmegspoke.admission.draft_line import (
    DraftQueue,
    QueuePosition,
    RetryTimes,
)
from nutmegspoke.edge.rank_admission import RankAdmission
from nutmegspoke.edge.target_notices import (
    closed_by_limits,
    limit_wait_s,
    pause_left_s,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.layers import Chain
    from nutmegspoke.routing.engine_loads import DraftNeed

# A new draft waits at most this share of the route's goal for the time to the
# first byte; the rest is for prefilling.
_QUEUE_TIMEOUT_GOAL_SHARE = 0.5
# A new draft with a longer expected wait is refused at once.
_MAX_EXPECTED_WAIT_S = 0.25
# An interrupted stream waits at most this long for a new chain, because its
# caller already has part of the answer.
_RESUME_QUEUE_TIMEOUT_S = 0.8
# Interval at which a waiting draft tries again. Updates on the load of other
# daemons arrive at this interval.
_POLL_INTERVAL_S = 0.05
# Earliest retry if no chain is complete. Time until lost layers are held again:
# the load time of some layers.
_LAYER_RELOAD_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a draft.

    :param retry_after_s: time after which the caller may retry.
    :param log_fields: fields of the log: the values that led to the refusal.
    """

    retry_after_s: float
    log_fields: Mapping[str, object]


class DraftAdmission:
    """Admission of drafts to chains, in queue order.

    :param reserve_chain: selects the best chain for a draft and reserves
        memory on it; returns ``None`` if no chain has enough free memory.
    """

    def __init__(
        self,
        view: View,
        reserve_chain: Callable[[RequestContext, DraftNeed], Chain | None],
        clock: Clock,
    ) -> None:
        """Start with an empty queue."""
        self._view = view
        self._reserve_chain = reserve_chain
        self._clock = clock
        self._queue = DraftQueue()
        self._ranks = RankAdmission(view, clock)
        self.retry_times = RetryTimes(random.Random())  # noqa: S311

    async def admit(
        self,
        context: RequestContext,
        need: DraftNeed,
        *,
        is_new: bool,
    ) -> Chain | None:
        """Reserve a chain for a draft, waiting in the queue if necessary.

        :param is_new: whether no part of the answer was sent yet.
        :returns: the chain; ``None`` if none has enough free memory in time.
        """
        if is_new:
            self._ranks.arrived(context, need)
        chain = await self._find_chain(context, need, is_new=is_new)
        if chain is not None:
            self._ranks.admitted(context, need)
        return chain

    def ended(self, context: RequestContext) -> None:
        """Record that a draft needs no chain any more."""
        self._ranks.ended(context)

    async def _find_chain(
        self, context: RequestContext, need: DraftNeed, *, is_new: bool
    ) -> Chain | None:
        # Interrupted drafts, for which ``is_new`` is false, sort first.
        position = QueuePosition(
            is_new,
            *context.priority,
            context.received_s,
            context.reservation_key,
        )
        if is_new and self._ranks.is_held_back(context):
            return None
        if self._queue.is_next(position):
            chain = self._reserve_chain(context, need)
            if chain is not None:
                return chain
        if self._is_expected_wait_too_long(position) or not self._has_layers(
            context, need
        ):
            return None
        if not self._queue.enqueue(position):
            return None
        try:
            return await self._wait(context, need, position)
        finally:
            self._queue.remove(position)

    def admit_beside(
        self,
        context: RequestContext,
        need: DraftNeed,
        chain: Chain,
    ) -> Chain | None:
        """Reserve a second chain, without the engines of the first.

        :param chain: chain that runs the draft already.
        :returns: ``None`` if none has enough free memory now, or other drafts
            wait for it.
        """
        if len(self._queue):
            return None
        added = {stage.target for stage in chain} - context.avoided
        context.avoided |= added
        try:
            return self._reserve_chain(context, need)
        finally:
            context.avoided -= added

    def _is_expected_wait_too_long(self, position: QueuePosition) -> bool:
        """Return whether the expected wait is too long for a new draft."""
        if not position.is_new:
            return False
        expected_s = self.retry_times.expected_wait_s(
            len(self._queue), self._clock.now_s()
        )
        return expected_s > _MAX_EXPECTED_WAIT_S

    def new_refusal(self, context: RequestContext, need: DraftNeed) -> Refusal:
        """Assign a retry time to a refused draft, with values for the log."""
        now_s = self._clock.now_s()
        has_layers = self._has_layers(context, need)
        earliest_s = 0.0
        if not has_layers:
            left_s = min(
                pause_left_s(self._view, context.pool.name, now_s),
                limit_wait_s(self._view, context, now_s),
            )
            earliest_s = left_s if math.isfinite(left_s) else _LAYER_RELOAD_S
        log_fields = self._refusal_log_fields(context, need, now_s)
        self._ranks.refused(context)
        return Refusal(
            self.retry_times.retry_after_s(earliest_s, now_s),
            {
                **log_fields,
                **self._ranks.log_fields(context),
                'layers_held': has_layers,
            },
        )

    def _refusal_log_fields(
        self,
        context: RequestContext,
        need: DraftNeed,
        now_s: float,
    ) -> dict[str, object]:
        pool = context.pool
        engines = self._view.engine_loads(
            pool.name, pool.profile, context.avoided, now_s
        )
        used = sum(engine.used_token_layers for engine in engines)
        total = sum(engine.total_token_layers for engine in engines)
        return {
            'room_tokens': round(need.memory_tokens),
            'engines_live': len(self._view.targets.live(pool.name)),
            'engines_usable': len(engines),
            'room_used': round(used / max(1.0, total), 3),
            'closed_by_limits': len(
                closed_by_limits(self._view, context, now_s)
            ),
            'line': len(self._queue),
            'expected_s': round(
                self.retry_times.expected_wait_s(len(self._queue), now_s), 2
            ),
            'daemons_heard': self._view.load_updates.daemons(now_s),
            'targets_version': self._view.targets_version,
        }

    async def _wait(
        self,
        context: RequestContext,
        need: DraftNeed,
        position: QueuePosition,
    ) -> Chain | None:
        timeout_s = _RESUME_QUEUE_TIMEOUT_S
        if position.is_new:
            timeout_s = context.route.goal_s * _QUEUE_TIMEOUT_GOAL_SHARE
        deadline_s = self._clock.now_s() + timeout_s
        if position.is_new:
            deadline_s = min(deadline_s, context.received_s + timeout_s)
        while self._clock.now_s() < deadline_s:
            await asyncio.sleep(_POLL_INTERVAL_S)
            chain = self._reserve_next(context, need, position)
            if chain is not None:
                return chain
        return None

    def _reserve_next(
        self, context: RequestContext, need: DraftNeed, position: QueuePosition
    ) -> Chain | None:
        """Reserve a chain for a waiting draft if it is its turn."""
        if not self._queue.is_next(position):
            return None
        if position.is_new and self._ranks.is_held_back(context):
            return None
        return self._reserve_chain(context, need)

    def _has_layers(self, context: RequestContext, need: DraftNeed) -> bool:
        """Return whether an otherwise idle chain could run the draft.

        Besides their layers, the memory, faults and limits of engines are
        checked.
        """
        now_s = self._clock.now_s()
        return self._view.has_layers(
            context.pool.name,
            need,
            now_s,
            closed_by_limits(self._view, context, now_s),
        )
