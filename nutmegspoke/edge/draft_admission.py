"""Lets drafts wait in line for a chain with room."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING

from nutmegspoke.admission.draft_line import (
    DraftQueue,
    QueuePosition,
    RetryTimes,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import Work
    from nutmegspoke.layers import Chain
    from nutmegspoke.routing.engine_loads import DraftNeed

# A draft waits for room at most for this part of its goal: its prompt takes
# some of the rest.
_WAIT_SHARE = 0.5
# Expected wait above which a new draft is refused at once.
_LONGEST_EXPECTED_S = 0.25
# A stream that broke off waits longer: its caller keeps listening.
_RESUME_WAIT_S = 0.8
# News of other daemons' load come this often.
_LOOK_AGAIN_S = 0.05
# Time in which lost layers are held again: a load of some layers.
_LAYERS_RETURN_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """What a caller whose draft is refused is told.

    :param retry_after_s: when it may come back.
    :param inputs: what the refusal rests on, for the log.
    """

    retry_after_s: float
    inputs: Mapping[str, object]


class DraftAdmission:
    """Finds chains with room, in the order of the line.

    :param find: returns the best chain for a draft now, and promises room.
    """

    def __init__(
        self,
        view: View,
        find: Callable[[Work, DraftNeed], Chain | None],
        clock: Clock,
    ) -> None:
        """Start with nobody in line."""
        self._view = view
        self._find = find
        self._clock = clock
        self._line = DraftQueue()
        self.returns = RetryTimes(random.Random())  # noqa: S311

    async def admit(
        self,
        work: Work,
        need: DraftNeed,
        *,
        is_new: bool,
    ) -> Chain | None:
        """Return a chain with room for a draft; ``None`` if none comes soon.

        :param is_new: nothing of the answer was passed on yet.
        """
        place = QueuePosition(
            is_new, *work.priority, work.arrived_s, work.room_key
        )
        if self._line.is_next(place):
            chain = self._find(work, need)
            if chain is not None:
                return chain
        if self._waits_in_vain(place) or not self._may_come(work, need):
            return None
        if not self._line.enqueue(place):
            return None
        try:
            return await self._wait(work, need, place)
        finally:
            self._line.remove(place)

    def _waits_in_vain(self, place: QueuePosition) -> bool:
        """Tell whether room is expected too late for a new draft."""
        if not place.is_new:
            return False
        expected_s = self.returns.expected_wait_s(
            len(self._line), self._clock.now_s()
        )
        return expected_s > _LONGEST_EXPECTED_S

    def refuse(self, work: Work, need: DraftNeed) -> Refusal:
        """Return when a refused caller may come back, and what decided it."""
        now_s = self._clock.now_s()
        has_layers = self._may_come(work, need)
        earliest_s = 0.0 if has_layers else _LAYERS_RETURN_S
        inputs = self._inputs(work, need, now_s)
        return Refusal(
            self.returns.retry_after_s(earliest_s, now_s),
            {**inputs, 'layers_held': has_layers},
        )

    def _inputs(
        self,
        work: Work,
        need: DraftNeed,
        now_s: float,
    ) -> dict[str, object]:
        pool = work.pool
        engines = self._view.engine_loads(
            pool.name, pool.profile, work.avoided, now_s
        )
        used = sum(engine.used_token_layers for engine in engines)
        total = sum(engine.total_token_layers for engine in engines)
        return {
            'room_tokens': round(need.room_tokens),
            'engines_live': len(self._view.targets.live(pool.name)),
            'engines_usable': len(engines),
            'room_used': round(used / max(1.0, total), 3),
            'line': len(self._line),
            'expected_s': round(
                self.returns.expected_wait_s(len(self._line), now_s), 2
            ),
            'daemons_heard': self._view.board.daemons(now_s),
            'targets_version': self._view.targets_version,
        }

    async def _wait(
        self,
        work: Work,
        need: DraftNeed,
        place: QueuePosition,
    ) -> Chain | None:
        limit_s = _RESUME_WAIT_S
        if place.is_new:
            limit_s = work.route.goal_s * _WAIT_SHARE
        until_s = self._clock.now_s() + limit_s
        if place.is_new:
            until_s = min(until_s, work.arrived_s + limit_s)
        while self._clock.now_s() < until_s:
            await asyncio.sleep(_LOOK_AGAIN_S)
            if self._line.is_next(place):
                chain = self._find(work, need)
                if chain is not None:
                    return chain
        return None

    def _may_come(self, work: Work, need: DraftNeed) -> bool:
        """Tell whether some chain would do if nothing else ran on it."""
        return self._view.has_layers(work.pool.name, need, self._clock.now_s())
