"""Lets drafts into their pools and finds their chains."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.border.admission_gate import NAME as ADMISSION
from nutmegspoke.border.admission_gate import AdmissionGate
from nutmegspoke.border.draft_runs import RETRY_AFTER_S
from nutmegspoke.border.router import NAME as ROUTER
from nutmegspoke.border.router import Router, chain_text
from nutmegspoke.border.target_watch import NAME as TARGETS
from nutmegspoke.border.target_watch import TargetWatch
from nutmegspoke.routing.choices import ChainChoice, NoChoiceReason

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.border.draft_runs import DraftInProgress
    from nutmegspoke.layers import Chain
    from nutmegspoke.pipelines.resume import ResumePoint
    from nutmegspoke.requests import DraftRequest

logger = logging.getLogger(__name__)
_PAUSE_S = 0.1


class DraftChains:
    """Chooses chains and counts the work on them.

    :param clock: the clock of the process.
    :param targets: the targets.
    :param router: chooses the chains.
    :param gate: lets drafts into their pool.
    """

    def __init__(
        self,
        clock: Clock,
        targets: TargetWatch,
        router: Router,
        gate: AdmissionGate,
    ) -> None:
        """Use a router and a gate."""
        self.gate = gate
        self._clock = clock
        self._targets = targets
        self._router = router

    @classmethod
    def from_application(cls, app: Application) -> DraftChains:
        """Use the services of an application."""
        return cls(
            app.clock,
            app.kernel.find(TARGETS, TargetWatch),
            app.kernel.find(ROUTER, Router),
            app.kernel.find(ADMISSION, AdmissionGate),
        )

    async def choose_first(
        self,
        request: DraftRequest,
        point: ResumePoint | None,
    ) -> ChainChoice | outcomes.NotRun:
        """Choose a chain, and wait while all targets are at their limits.

        :param point: where the caller resumes; its chain is taken if it can.
        """
        if point is not None and self._is_usable(request, point.chain):
            _log_resumed(request, point)
            return ChainChoice(point.chain, 'resumed', work_tokens=0)
        while True:
            choice = self._router.choose_chain(request, frozenset())
            if isinstance(choice, ChainChoice):
                return choice
            if choice.reason is not NoChoiceReason.IN_FLIGHT_LIMIT:
                return _no_target(request)
            refusal = await self.gate.wait_again(request)
            if refusal is not None:
                return refusal

    async def choose_again(self, draft: DraftInProgress) -> ChainChoice | None:
        """Choose another chain.

        If the caller has tokens, wait for one as long as a target may be
        silent; else the caller loses nothing by coming back.
        """
        request = draft.request
        has_tokens = draft.run.answer.count > 0
        patience_s = request.route.progress_timeout_s if has_tokens else 0
        end_s = min(self._clock.now_s() + patience_s, request.deadline_s)
        choice = self._router.choose_chain(request, draft.avoided)
        while not isinstance(choice, ChainChoice):
            if self._clock.now_s() >= end_s:
                return None
            await asyncio.sleep(_PAUSE_S)
            choice = self._router.choose_chain(request, frozenset())
        return choice

    def started(self, choice: ChainChoice) -> None:
        """Count work on the stages of a chain."""
        for stage in choice.chain:
            self._targets.started(stage.address)

    def finished(self, request: DraftRequest, choice: ChainChoice) -> None:
        """Count the work on the stages of a chain as done."""
        self._router.finish_chain(request.pool, choice)
        for stage in choice.chain:
            self._targets.finished(stage.address)

    def _is_usable(self, request: DraftRequest, chain: Chain) -> bool:
        now_s = self._clock.now_s()
        usable = self._targets.usable(request.pool.name, now_s)
        addresses = {target.address for target in usable}
        return all(stage.address in addresses for stage in chain)


def _no_target(request: DraftRequest) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.RefusalReason.NO_TARGET,
        RETRY_AFTER_S,
        f'no chain of targets in pool {request.pool.name}',
    )


def _log_resumed(request: DraftRequest, point: ResumePoint) -> None:
    logger.info(
        'routing: chain resumed request=%s stream=%s tokens=%d chain=%s',
        request.request_id,
        point.stream_id,
        point.count,
        chain_text(point.chain),
    )
