"""Run drafts on chains of engines and stream their tokens."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.border.draft_chains import DraftChains
from nutmegspoke.border.draft_runs import DraftInProgress
from nutmegspoke.border.carriers import new_carrier
from nutmegspoke.border.settings import read_secret
from nutmegspoke.pipelines.decisions import AnswerDiffers, SendStep, TokenReady
from nutmegspoke.pipelines.losses import Remedy
from nutmegspoke.pipelines.resume import ResumeSigner, fingerprint

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.layers import Chain
    from nutmegspoke.pipelines.carrier import Loss, StepCarrier
    from nutmegspoke.pipelines.resume import ResumePoint
    from nutmegspoke.requests import DraftRequest
    from nutmegspoke.routing.choices import ChainChoice

NAME = 'drafts'


@dataclasses.dataclass(frozen=True, slots=True)
class DraftToken:
    """One token of an answer.

    :param number: number of the token, from 0.
    :param text: text of the token.
    :param event_id: id with which a caller resumes after this token.
    """

    number: int
    text: str
    event_id: str


DraftItem = DraftToken | outcomes.Completed | outcomes.NotRun | outcomes.Unknown


class DraftService:
    """Service that runs drafts.

    :param clock: the clock of the process.
    :param carrier: carries steps to engines.
    :param signer: signs event ids.
    :param chains: admits drafts and chooses their chains.
    """

    def __init__(
        self,
        clock: Clock,
        carrier: StepCarrier,
        signer: ResumeSigner,
        chains: DraftChains,
    ) -> None:
        """Create a service without running drafts."""
        self._clock = clock
        self._carrier = carrier
        self._signer = signer
        self._chains = chains
        self._cancels: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Do nothing; each draft runs in the task of its caller."""

    async def stop(self) -> None:
        """Wait until all cancellations were sent to the engines."""
        if self._cancels:
            await asyncio.wait(self._cancels)

    async def stream(self, request: DraftRequest) -> AsyncIterator[DraftItem]:
        """Run a draft.

        :param request: the draft.
        :returns: the tokens in order, then one outcome.
        """
        point = self._read_point(request)
        if isinstance(point, outcomes.NotRun):
            yield point
            return
        if point is not None and point.count >= request.max_tokens:
            yield outcomes.Completed(status=200)
            return
        refusal = await self._chains.enter(request, _fingerprint(request))
        if refusal is not None:
            yield refusal
            return
        is_served = False
        admitted = self._stream_admitted(request, point)
        try:
            async with contextlib.aclosing(admitted):
                async for item in admitted:
                    is_served = isinstance(item, outcomes.Completed)
                    yield item
        finally:
            self._chains.leave(request, is_served=is_served)

    async def _stream_admitted(
        self,
        request: DraftRequest,
        point: ResumePoint | None,
    ) -> AsyncIterator[DraftItem]:
        request_fingerprint = _fingerprint(request)
        choice = await self._chains.choose_first_chain(
            request, request_fingerprint, point
        )
        if isinstance(choice, outcomes.NotRun):
            yield choice
            return
        draft = DraftInProgress(
            request,
            request_fingerprint,
            choice,
            point,
            is_first=self._chains.is_first(request),
        )
        self._chains.started(request_fingerprint, choice)
        try:
            async for item in self._run(draft):
                yield item
        finally:
            self._release_chain(draft)
            draft.log_end()

    async def _run(self, draft: DraftInProgress) -> AsyncIterator[DraftItem]:
        following: SendStep | None = draft.first_step()
        while following is not None:
            item = await self._next_token(draft, following)
            if not isinstance(item, TokenReady):
                yield item
                return
            if draft.clear_loss():
                self._chains.progressed(draft.fingerprint)
            yield self._token(draft, item)
            following = item.following
        self._chains.completed(draft.fingerprint, draft.choice)
        yield outcomes.Completed(status=200)

    async def _next_token(
        self,
        draft: DraftInProgress,
        send_step: SendStep,
    ) -> TokenReady | outcomes.NotRun | outcomes.Unknown:
        """Send steps until a token is complete or the draft must end."""
        while True:
            left_s = draft.request.deadline_s - self._clock.now_s()
            if left_s <= 0:
                return draft.give_up(outcomes.UnknownReason.ANSWER_TIMEOUT)
            decision = await draft.carry(self._carrier, send_step, left_s)
            if isinstance(decision, TokenReady):
                return decision
            if isinstance(decision, AnswerDiffers):
                return draft.give_up(outcomes.UnknownReason.RESUME_MISMATCH)
            if not isinstance(decision, SendStep):
                decision = await self._recover(draft, decision)
            if decision is None:
                return draft.give_up(outcomes.UnknownReason.STREAM_LOST)
            send_step = decision

    async def _recover(
        self,
        draft: DraftInProgress,
        lost: Loss,
    ) -> SendStep | None:
        remedy = draft.choose_remedy(lost)
        if self._clock.now_s() < draft.request.deadline_s:
            self._chains.lost(draft.fingerprint, draft.run.awaited_stage, lost)
        if remedy is Remedy.GIVE_UP:
            return None
        if remedy is Remedy.RESEND:
            return draft.run.resend()
        choice: ChainChoice | None = draft.choice
        if remedy is Remedy.REPLACE:
            choice = await self._chains.choose_replacement(draft)
        if choice is None:
            return None
        if choice is not draft.choice:
            self._release_chain(draft, choice.chain)
            self._chains.started(draft.fingerprint, choice)
        return draft.restart(choice, getattr(lost, 'attempt', 0))

    def _read_point(
        self,
        request: DraftRequest,
    ) -> ResumePoint | outcomes.NotRun | None:
        if not request.resume_from:
            return None
        point = self._signer.read(request.resume_from)
        if point is None:
            return _bad_resume('the event id is none of ours')
        if point.fingerprint != _fingerprint(request):
            return _bad_resume('the event id is of another request')
        return point

    def _token(self, draft: DraftInProgress, ready: TokenReady) -> DraftToken:
        event_id = self._signer.sign(draft.resume_point())
        return DraftToken(ready.number, ready.text, event_id)

    def _release_chain(
        self, draft: DraftInProgress, following: Chain = ()
    ) -> None:
        """Count the draft as ended on its chain and cancel its streams.

        Stages that are also part of the following chain keep their stream.

        :param draft: the draft.
        :param following: the chain on which the draft continues, if any.
        """
        self._chains.finished(draft.request, draft.fingerprint, draft.choice)
        for stage in draft.run.chain:
            if stage in following:
                continue
            cancel = self._carrier.cancel(
                stage,
                draft.run.plan.stream_id,
                draft.run.attempt,
            )
            task = asyncio.create_task(cancel)
            self._cancels.add(task)
            task.add_done_callback(self._cancels.discard)


def setup(app: Application) -> None:
    """Register the draft service."""
    service = DraftService(
        app.clock,
        new_carrier(app),
        ResumeSigner(read_secret(app.settings.secrets.peers_key)),
        DraftChains.from_application(app),
    )
    app.kernel.register(NAME, service)


def _fingerprint(request: DraftRequest) -> str:
    return fingerprint(
        request.team,
        request.pool.model,
        request.prompt,
        request.max_tokens,
    )


def _bad_resume(detail: str) -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.RefusalReason.BAD_REQUEST, detail=detail)
