"""Admit drafts to their pools and choose their chains."""

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
from nutmegspoke.border.router import Router, format_chain
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
_RETRY_INTERVAL_S = 0.1
_CRASHES = frozenset((LossKind.RESET, LossKind.UNREACHABLE))


class DraftChains:
    """Chooser of chains that also counts the work on their engines.

    :param clock: the clock of the process.
    :param targets: the engines of each pool.
    :param router: chooses the chains.
    :param gate: admits drafts to their pool.
    :param quarantine: detects the requests that crash targets.
    """

    def __init__(
        self,
        clock: Clock,
        targets: TargetWatch,
        router: Router,
        gate: AdmissionGate,
        quarantine: QuarantineService,
    ) -> None:
        """Create a chooser from these services."""
        self._gate = gate
        self._clock = clock
        self._targets = targets
        self._router = router
        self._quarantine = quarantine

    @classmethod
    def from_application(cls, app: Application) -> DraftChains:
        """Return a chooser with the services of an application."""
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

        :param request: the draft.
        :param fingerprint: digest that is the same when the request is retried.
        :returns: the refusal, or ``None`` if the draft may run; in that case
            ``leave`` must be called when the draft ends.
        """
        decision = self._quarantine.check(fingerprint)
        if isinstance(decision, outcomes.NotRun):
            return decision
        return await self._gate.enter(request)

    def leave(self, request: DraftRequest, *, is_served: bool) -> None:
        """Note that an admitted draft has ended."""
        self._gate.leave(request, is_served=is_served)

    async def choose_first_chain(
        self,
        request: DraftRequest,
        fingerprint: str,
        point: ResumePoint | None,
    ) -> ChainChoice | outcomes.NotRun:
        """Choose a chain; wait while all engines are at their limits.

        :param request: the draft.
        :param fingerprint: digest that is the same when the request is retried.
        :param point: where the caller resumes, if it does; the chain of the
            point is used if its engines are usable.
        :returns: the chain, or a refusal.
        """
        excluded = await self._find_excluded(
            request, fingerprint, request.deadline_s
        )
        if excluded is None:
            return _no_target(request)
        if point is not None and self._is_usable(
            request, point.chain, excluded
        ):
            _log_resumed(request, point)
            return ChainChoice(point.chain, 'resumed', work_tokens=0)
        while True:
            choice = self._router.choose_chain(
                request,
                excluded,
                is_first=self.is_first(request),
            )
            if isinstance(choice, ChainChoice):
                return choice
            if choice.reason is not NoChoiceReason.IN_FLIGHT_LIMIT:
                return _no_target(request)
            refusal = await self._gate.requeue(request)
            if refusal is not None:
                return refusal

    async def choose_replacement(
        self, draft: DraftInProgress
    ) -> ChainChoice | None:
        """Choose another chain after a loss.

        If the caller has received tokens, wait for a chain up to the route's
        progress timeout. Otherwise the caller loses nothing by a retry, and
        there is no wait.

        A request that is suspected of crashing engines waits for permission
        only while its caller has no tokens. Many drafts may run on an engine
        that crashes, and those that already deliver tokens must go on.

        :param draft: the draft.
        :returns: the chain; ``None`` if there is none in time.
        """
        request = draft.request
        has_tokens = draft.run.answer.count > 0
        now_s = self._clock.now_s()
        progress_timeout_s = request.route.progress_timeout_s
        deadline_s = min(now_s + progress_timeout_s, request.deadline_s)
        self._quarantine.ended(draft.fingerprint, _target_names(draft.choice))
        excluded = await self._find_excluded(
            request,
            draft.fingerprint,
            now_s if has_tokens else deadline_s,
        )
        if excluded is None:
            return None
        if not has_tokens:
            deadline_s = now_s
        avoided = draft.avoided | excluded
        choice = self._choose(draft, avoided)
        while not isinstance(choice, ChainChoice):
            if self._clock.now_s() >= deadline_s:
                return None
            await asyncio.sleep(_RETRY_INTERVAL_S)
            choice = self._choose(draft, excluded)
        return choice

    def is_first(self, request: DraftRequest) -> bool:
        """Return whether the team of a draft is below its share."""
        return self._gate.is_below_share(request)

    def started(self, fingerprint: str, choice: ChainChoice) -> None:
        """Count a draft as running on the engines of a chain."""
        self._quarantine.started(fingerprint, _target_names(choice))
        for stage in choice.chain:
            self._targets.started(stage.address)

    def finished(
        self,
        request: DraftRequest,
        fingerprint: str,
        choice: ChainChoice,
    ) -> None:
        """Count a draft as ended on the engines of a chain."""
        self._quarantine.ended(fingerprint, _target_names(choice))
        self._router.finish_chain(request.pool, choice)
        for stage in choice.chain:
            self._targets.finished(stage.address)

    def progressed(self, fingerprint: str) -> None:
        """Note a new token after a loss, which clears the suspicion.

        A request that crashes engines crashes them at the same position each
        time, so a request that passes the position is not the cause.
        """
        self._quarantine.completed(fingerprint, ())

    def completed(self, fingerprint: str, choice: ChainChoice) -> None:
        """Note that a chain completed a draft."""
        self._quarantine.completed(fingerprint, _target_names(choice))

    def lost(self, fingerprint: str, stage: Stage, lost: Loss) -> None:
        """Report a loss to the directory and the quarantine.

        A draft whose step did not reach an engine is not a suspect for its crash.
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

    async def _find_excluded(
        self,
        request: DraftRequest,
        fingerprint: str,
        deadline_s: float,
    ) -> frozenset[str] | None:
        """Return the names of the engines that a draft must not use.

        A suspect waits until the quarantine allows it to be sent.

        :param deadline_s: deadline of the wait; if it has passed, no engine is
            excluded.
        :returns: names of the excluded engines; ``None`` if the draft may not
            be sent to any.
        """
        decision = self._quarantine.check(fingerprint)
        if isinstance(decision, outcomes.NotRun):
            return None
        must_wait = isinstance(decision, SendAlone)
        if not must_wait or deadline_s <= self._clock.now_s():
            return frozenset()
        allowed = await self._quarantine.wait_until_allowed(
            fingerprint,
            lambda: self._usable_names(request),
            deadline_s,
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
        excluded: frozenset[str],
    ) -> bool:
        names = excluded.symmetric_difference(self._usable_names(request))
        return names.issuperset(stage.target for stage in chain)


def _target_names(choice: ChainChoice) -> tuple[str, ...]:
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
        format_chain(point.chain),
    )
