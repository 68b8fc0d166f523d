"""Serves drafts: runs each over a chain of engines and streams its tokens."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.border.admission_gate import NAME as ADMISSION
from nutmegspoke.border.admission_gate import AdmissionGate
from nutmegspoke.border import evidence_carrier, evidence_context
from nutmegspoke.border.engine_client import RelayCarrier
from nutmegspoke.border.http_sessions import NAME as SESSIONS
from nutmegspoke.border.http_sessions import HttpSessions
from nutmegspoke.border.router import NAME as ROUTER
from nutmegspoke.border.router import Router
from nutmegspoke.border.target_watch import NAME as TARGETS, TargetWatch
from nutmegspoke.engine_protocol import StepRefusal, StepReply
from nutmegspoke.pipelines.carrier import LossKind, StepLost
from nutmegspoke.pipelines.run import (
    DraftPlan,
    DraftRun,
    ReplyDropped,
    SendStep,
    TokenReady,
)
from nutmegspoke.routing.choices import ChainChoice, NoChain, NoChoiceReason

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.pipelines.carrier import StepCarrier
    from nutmegspoke.requests import DraftRequest

logger = logging.getLogger(__name__)
NAME = 'drafts'
_MAX_ATTEMPTS = 6
_NO_TARGET_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class DraftToken:
    """One token of an answer.

    :param number: number of the token, from 0.
    :param text: its text.
    :param event_id: id with which a caller resumes after it.
    """

    number: int
    text: str
    event_id: str


DraftItem = DraftToken | outcomes.Completed | outcomes.NotRun | outcomes.Unknown


class DraftService:
    """Runs drafts."""

    def __init__(
        self,
        clock: Clock,
        targets: TargetWatch,
        carrier: StepCarrier,
        router: Router,
        gate: AdmissionGate,
    ) -> None:
        """Use a carrier towards the targets.

        :param router: chooses the chains.
        :param gate: lets drafts into their pool.
        """
        self._clock = clock
        self._targets = targets
        self._carrier = carrier
        self._router = router
        self._gate = gate
        self._cancels: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Do nothing; each draft runs in its caller's task."""

    async def stop(self) -> None:
        """Wait for the last cancels."""
        if self._cancels:
            await asyncio.wait(self._cancels)

    async def stream(self, request: DraftRequest) -> AsyncIterator[DraftItem]:
        """Run a draft.

        :returns: the tokens in order, then one outcome.
        """
        refusal = await self._gate.enter(request)
        if refusal is not None:
            yield refusal
            return
        is_served = False
        try:
            async for item in self._stream_admitted(request):
                is_served = isinstance(item, outcomes.Completed)
                yield item
        finally:
            self._gate.leave(request, is_served=is_served)

    async def _stream_admitted(
        self,
        request: DraftRequest,
    ) -> AsyncIterator[DraftItem]:
        choice = await self._choose_first(request)
        if isinstance(choice, outcomes.NotRun):
            yield choice
            return
        draft = _Draft(
            request,
            choice,
            self._carrier,
            self._targets,
            is_first=self._gate.is_below_share(request),
        )
        try:
            async for item in self._run(draft):
                yield item
        finally:
            self._router.finish_chain(request.pool, draft.choice)
            self._cancel(draft)

    async def _choose_first(
        self,
        request: DraftRequest,
    ) -> ChainChoice | outcomes.NotRun:
        """Choose a chain, and wait while all targets are at their limits."""
        while True:
            choice = self._router.choose_chain(
                request,
                frozenset(),
                is_first=self._gate.is_below_share(request),
            )
            if isinstance(choice, ChainChoice):
                return choice
            if choice.reason is not NoChoiceReason.IN_FLIGHT_LIMIT:
                return _no_target(request)
            refusal = await self._gate.wait_again(request)
            if refusal is not None:
                return refusal

    async def _run(self, draft: _Draft) -> AsyncIterator[DraftItem]:
        following: SendStep | None = draft.run.begin()
        while following is not None:
            if self._clock.now_s() > draft.request.deadline_s:
                yield _given_up(outcomes.UnknownReason.ANSWER_TIMEOUT)
                return
            decision = await draft.carry(following)
            if isinstance(decision, TokenReady):
                yield _token(draft.request, decision)
                following = decision.following
            elif isinstance(decision, SendStep):
                following = decision
            else:
                following = self._recover(draft, decision)
                if following is None:
                    yield draft.give_up()
                    return
        evidence_context.note_receipts(draft.run)
        yield outcomes.Completed(status=200)

    def _recover(
        self,
        draft: _Draft,
        lost: StepLost | StepRefusal | ReplyDropped,
    ) -> SendStep | None:
        draft.note_loss(lost)
        if draft.run.attempt >= _MAX_ATTEMPTS:
            return None
        choice = self._router.choose_chain(
            draft.request,
            draft.avoided,
            is_first=draft.is_first,
        )
        if isinstance(choice, NoChain):
            return None
        self._router.finish_chain(draft.request.pool, draft.choice)
        return draft.restart(choice)

    def _cancel(self, draft: _Draft) -> None:
        for stage in draft.run.chain:
            self._targets.finished(stage.address)
            cancel = self._carrier.cancel(
                stage,
                draft.run.plan.stream_id,
                draft.run.attempt,
            )
            task = asyncio.create_task(cancel)
            self._cancels.add(task)
            task.add_done_callback(self._cancels.discard)


class _Draft:
    """One draft on its way."""

    def __init__(
        self,
        request: DraftRequest,
        choice: ChainChoice,
        carrier: StepCarrier,
        targets: TargetWatch,
        *,
        is_first: bool,
    ) -> None:
        self.request = request
        self.is_first = is_first
        self.choice = choice
        self.avoided: frozenset[str] = frozenset()
        self.has_run = False
        self._carrier = carrier
        self._targets = targets
        plan = DraftPlan(
            stream_id=request.request_id,
            prompt=request.prompt,
            seed=request.seed,
            layer_count=request.pool.layer_count,
            max_tokens=request.max_tokens,
            priority=2 * request.route.priority + is_first,
        )
        self.run = DraftRun(plan, choice.chain, attempt=1)
        self._last_sent: SendStep | None = None
        self._note_started()

    async def carry(
        self,
        order: SendStep,
    ) -> SendStep | TokenReady | StepLost | StepRefusal | ReplyDropped:
        """Send a step and return the run's decision, or what was lost."""
        self._last_sent = order
        result = await self._carrier.carry(
            order.stage,
            order.step,
            self.request.route.progress_timeout_s,
        )
        if isinstance(result, StepReply):
            self.has_run = True
            return self.run.accept(result)
        if isinstance(result, StepLost):
            self.has_run = (
                self.has_run or result.kind is not LossKind.UNREACHABLE
            )
        return result

    def note_loss(self, lost: StepLost | StepRefusal | ReplyDropped) -> None:
        """Log a loss and avoid its target if the target is to blame."""
        if self._last_sent is None:
            return
        target = self._last_sent.stage.target
        logger.warning(
            'pipelines: step lost request=%s target=%s attempt=%d loss=%s',
            self.request.request_id,
            target,
            self.run.attempt,
            lost,
        )
        if not _is_connection_only(lost):
            self.avoided = self.avoided | {target}

    def restart(self, choice: ChainChoice) -> SendStep:
        """Begin a new attempt over another chain."""
        for stage in self.run.chain:
            self._targets.finished(stage.address)
        self.choice = choice
        self._note_started()
        return self.run.restart(choice.chain)

    def give_up(self) -> outcomes.NotRun | outcomes.Unknown:
        """Return the final answer of a draft that found no way on."""
        if self.has_run:
            return _given_up(outcomes.UnknownReason.STREAM_LOST)
        return outcomes.NotRun(
            outcomes.RefusalReason.TARGET_UNREACHABLE,
            _NO_TARGET_RETRY_AFTER_S,
        )

    def _note_started(self) -> None:
        for stage in self.choice.chain:
            self._targets.started(stage.address)


def setup(app: Application) -> None:
    """Register the draft service."""
    sessions = app.kernel.find(SESSIONS, HttpSessions)
    carrier = evidence_carrier.EvidenceCarrier(
        RelayCarrier(sessions.targets, sessions.fresh)
    )
    targets = app.kernel.find(TARGETS, TargetWatch)
    router = app.kernel.find(ROUTER, Router)
    gate = app.kernel.find(ADMISSION, AdmissionGate)
    service = DraftService(app.clock, targets, carrier, router, gate)
    app.kernel.register(NAME, service)


def _is_connection_only(lost: StepLost | StepRefusal | ReplyDropped) -> bool:
    return (
        isinstance(lost, StepLost) and lost.kind is LossKind.CONNECTION_SILENT
    )


def _token(request: DraftRequest, ready: TokenReady) -> DraftToken:
    event_id = f'{request.request_id}:{ready.number}'
    return DraftToken(ready.number, ready.text, event_id)


def _no_target(request: DraftRequest) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.RefusalReason.NO_TARGET,
        _NO_TARGET_RETRY_AFTER_S,
        f'no chain of targets in pool {request.pool.name}',
    )


def _given_up(reason: outcomes.UnknownReason) -> outcomes.Unknown:
    return outcomes.Unknown(reason, _NO_TARGET_RETRY_AFTER_S)
