"""Lets drafts into their pools and finds their chains."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.border.admission_gate import NAME as ADMISSION
from nutmegspoke.border.admission_gate import AdmissionGate
from nutmegspoke.border.draft_runs import RETRY_AFTER_S, report_loss
from nutmegspoke.border.quarantine import NAME as QUARANTINE
from nutmegspoke.border.quarantine import QuarantineService
from nutmegspoke.border.router import NAME as ROUTER
from nutmegspoke.border.router import Router, chain_text
from nutmegspoke.border.target_watch import TargetWatch
from nutmegspoke.pipelines.carrier import LossKind, StepLost
from nutmegspoke.retries.quarantine import SendAlone
from nutmegspoke.routing.choices import ChainChoice, NoChain, NoChoiceReason

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.border.draft_runs import DraftInProgress
    from nutmegspoke.layers import Chain, Stage
    from nutmegspoke.pipelines.carrier import Loss
    from nutmegspoke.pipelines.resume import ResumePoint
    from nutmegspoke.requests import DraftRequest

logger = logging.getLogger(__name__)
_PAUSE_S = 0.1
_CRASHES = frozenset((LossKind.RESET, LossKind.UNREACHABLE))


class DraftChains:
    """Chooses chains and counts the work on them.

    :param clock: the clock of the process.
    :param targets: the targets.
    :param router: chooses the chains.
    :param gate: lets drafts into their pool.
    :param quarantine: knows the requests that crash targets.
    """

    def __init__(
        self,
        clock: Clock,
        targets: TargetWatch,
        router: Router,
        gate: AdmissionGate,
        quarantine: QuarantineService,
    ) -> None:
        """Use a router, a gate and a quarantine."""
        self._gate = gate
        self._clock = clock
        self._targets = targets
        self._router = router
        self._quarantine = quarantine

    @classmethod
    def from_application(cls, app: Application) -> DraftChains:
        """Use the services of an application."""
        return cls(
            app.clock,
            app.kernel.find('target_watch', TargetWatch),
            app.kernel.find(ROUTER, Router),
            app.kernel.find(ADMISSION, AdmissionGate),
            app.kernel.find(QUARANTINE, QuarantineService),
        )

    async def enter(
        self,
        request: DraftRequest,
        fingerprint: str,
    ) -> outcomes.NotRun | None:
        """Wait until a draft may run.

        :param fingerprint: digest by which the request is known again.
        :returns: the refusal; ``None`` if it may run, and then ``leave`` must
            be called at its end.
        """
        verdict = self._quarantine.check(fingerprint)
        if isinstance(verdict, outcomes.NotRun):
            return verdict
        return await self._gate.enter(request)

    def leave(self, request: DraftRequest, *, is_served: bool) -> None:
        """Note that a draft that was let in has ended."""
        self._gate.leave(request, is_served=is_served)

    async def choose_first(
        self,
        request: DraftRequest,
        fingerprint: str,
        point: ResumePoint | None,
    ) -> ChainChoice | outcomes.NotRun:
        """Choose a chain, and wait while all targets are at their limits.

        :param fingerprint: digest by which the request is known again.
        :param point: where the caller resumes; its chain is taken if it can.
        """
        barred = await self._barred(request, fingerprint, request.deadline_s)
        if barred is None:
            return _no_target(request)
        if point is not None and self._is_usable(request, point.chain, barred):
            _log_resumed(request, point)
            return ChainChoice(point.chain, 'resumed', work_tokens=0)
        while True:
            choice = self._router.choose_chain(
                request,
                barred,
                is_first=self.is_first(request),
            )
            if isinstance(choice, ChainChoice):
                return choice
            if choice.reason is not NoChoiceReason.IN_FLIGHT_LIMIT:
                return _no_target(request)
            refusal = await self._gate.requeue(request)
            if refusal is not None:
                return refusal

    async def choose_again(self, draft: DraftInProgress) -> ChainChoice | None:
        """Choose another chain.

        If the caller has tokens, wait for one as long as a target may be
        silent; else the caller loses nothing by coming back. A suspect is
        sent on alone only while its caller has no tokens: many answers can
        be on their way over a target that crashes, and they must go on.
        """
        request = draft.request
        has_tokens = draft.run.answer.count > 0
        now_s = self._clock.now_s()
        patience_s = request.route.progress_timeout_s
        end_s = min(now_s + patience_s, request.deadline_s)
        self._quarantine.ended(draft.fingerprint, _names(draft.choice))
        barred = await self._barred(
            request,
            draft.fingerprint,
            now_s if has_tokens else end_s,
        )
        if barred is None:
            return None
        if not has_tokens:
            end_s = now_s
        avoided = draft.avoided | barred
        choice = self._choose(draft, avoided)
        while not isinstance(choice, ChainChoice):
            if self._clock.now_s() >= end_s:
                return None
            await asyncio.sleep(_PAUSE_S)
            choice = self._choose(draft, barred)
        return choice

    def is_first(self, request: DraftRequest) -> bool:
        """Tell whether a draft's team is below its share."""
        return self._gate.is_below_share(request)

    def started(self, fingerprint: str, choice: ChainChoice) -> None:
        """Count work on the stages of a chain."""
        self._quarantine.started(fingerprint, _names(choice))
        for stage in choice.chain:
            self._targets.started(stage.address)

    def finished(
        self,
        request: DraftRequest,
        fingerprint: str,
        choice: ChainChoice,
    ) -> None:
        """Count the work on the stages of a chain as done."""
        self._quarantine.ended(fingerprint, _names(choice))
        self._router.finish_chain(request.pool, choice)
        for stage in choice.chain:
            self._targets.finished(stage.address)

    def progressed(self, fingerprint: str) -> None:
        """Note a new token after a loss: the same request did not crash again.

        One that crashes its targets does so at the same point each time.
        """
        self._quarantine.completed(fingerprint, ())

    def completed(self, fingerprint: str, choice: ChainChoice) -> None:
        """Note that a chain ran a whole draft."""
        self._quarantine.completed(fingerprint, _names(choice))

    def lost(self, fingerprint: str, stage: Stage, lost: Loss) -> None:
        """Tell the directory and the quarantine what a loss says.

        A draft whose step did not reach a target did not crash it.
        """
        report_loss(self._targets, stage, lost)
        if not isinstance(lost, StepLost) or lost.kind not in _CRASHES:
            return
        if lost.kind is LossKind.UNREACHABLE:
            self._quarantine.ended(fingerprint, (stage.target,))
        self._quarantine.crashed(stage.target)

    def _choose(
        self,
        draft: DraftInProgress,
        avoided: frozenset[str],
    ) -> ChainChoice | NoChain:
        return self._router.choose_chain(
            draft.request,
            avoided,
            is_first=draft.is_first,
        )

    async def _barred(
        self,
        request: DraftRequest,
        fingerprint: str,
        end_s: float,
    ) -> frozenset[str] | None:
        """Return the targets that a suspect must not go to.

        :param end_s: until when to wait for its turn; if that is past, it
            needs none.
        :returns: ``None`` if it may go to none.
        """
        verdict = self._quarantine.check(fingerprint)
        if isinstance(verdict, outcomes.NotRun):
            return None
        needs_turn = isinstance(verdict, SendAlone)
        if not needs_turn or end_s <= self._clock.now_s():
            return frozenset()
        allowed = await self._quarantine.turn(
            fingerprint,
            lambda: self._usable_names(request),
            end_s,
        )
        if not allowed:
            return None
        return frozenset(self._usable_names(request)).difference(allowed)

    def _usable_names(self, request: DraftRequest) -> tuple[str, ...]:
        now_s = self._clock.now_s()
        usable = self._targets.usable(request.pool.name, now_s)
        return tuple(target.name for target in usable)

    def _is_usable(
        self,
        request: DraftRequest,
        chain: Chain,
        barred: frozenset[str],
    ) -> bool:
        names = barred.symmetric_difference(self._usable_names(request))
        return names.issuperset(stage.target for stage in chain)


def _names(choice: ChainChoice) -> tuple[str, ...]:
    return tuple(stage.target for stage in choice.chain)


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
