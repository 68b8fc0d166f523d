"""Serves drafts: runs each over a chain of engines and streams its tokens."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.border.draft_runs import (
    RETRY_AFTER_S,
    DraftInProgress,
    tell_directory,
)
from nutmegspoke.border.engine_client import RelayCarrier
from nutmegspoke.border.http_sessions import KEEPALIVE_S, HttpSessions
from nutmegspoke.border.http_sessions import NAME as SESSIONS
from nutmegspoke.border.settings import read_secret
from nutmegspoke.border.simple_chain import choose_chain
from nutmegspoke.border.target_watch import NAME as TARGETS
from nutmegspoke.border.target_watch import TargetWatch
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

logger = logging.getLogger(__name__)
NAME = 'drafts'
_CHAIN_PAUSE_S = 0.1


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
    """Runs drafts.

    :param clock: the clock of the process.
    :param targets: the targets, told of what happens to them.
    :param carrier: carries steps to them.
    :param signer: signs event ids.
    """

    def __init__(
        self,
        clock: Clock,
        targets: TargetWatch,
        carrier: StepCarrier,
        signer: ResumeSigner,
    ) -> None:
        """Use a carrier towards the targets."""
        self._clock = clock
        self._targets = targets
        self._carrier = carrier
        self._signer = signer
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
        point = self._read_point(request)
        if isinstance(point, outcomes.NotRun):
            yield point
            return
        if point is not None and point.count >= request.max_tokens:
            yield outcomes.Completed(status=200)
            return
        chain = self._choose_first(request, point)
        if chain is None:
            yield _no_target(request)
            return
        draft = DraftInProgress(request, _fingerprint(request), chain, point)
        self._note_started(chain)
        try:
            async for item in self._run(draft):
                yield item
        finally:
            self._leave(draft)
            draft.log_end()

    async def _run(self, draft: DraftInProgress) -> AsyncIterator[DraftItem]:
        following: SendStep | None = draft.first_step()
        while following is not None:
            item = await self._next_token(draft, following)
            if not isinstance(item, TokenReady):
                yield item
                return
            yield self._token(draft, item)
            following = item.following
        yield outcomes.Completed(status=200)

    async def _next_token(
        self,
        draft: DraftInProgress,
        order: SendStep,
    ) -> TokenReady | outcomes.NotRun | outcomes.Unknown:
        """Carry steps until a token is complete or the draft can't go on."""
        while True:
            left_s = draft.request.deadline_s - self._clock.now_s()
            if left_s <= 0:
                return draft.give_up(outcomes.UnknownReason.ANSWER_TIMEOUT)
            decision = await draft.carry(self._carrier, order, left_s)
            if isinstance(decision, TokenReady):
                return decision
            if isinstance(decision, AnswerDiffers):
                return draft.give_up(outcomes.UnknownReason.RESUME_MISMATCH)
            if not isinstance(decision, SendStep):
                decision = await self._recover(draft, decision)
            if decision is None:
                return draft.give_up(outcomes.UnknownReason.STREAM_LOST)
            order = decision

    async def _recover(
        self,
        draft: DraftInProgress,
        lost: Loss,
    ) -> SendStep | None:
        remedy = draft.judge(lost)
        if self._clock.now_s() < draft.request.deadline_s:
            stage = draft.run.awaited_stage
            tell_directory(self._targets, stage, lost)
        if remedy is Remedy.GIVE_UP:
            return None
        if remedy is Remedy.RESEND:
            return draft.run.resend()
        chain: Chain | None = draft.run.chain
        if remedy is Remedy.REPLACE:
            chain = await self._await_chain(draft)
        if chain is None:
            return None
        self._leave(draft, chain)
        self._note_started(chain)
        return draft.run.restart(chain, getattr(lost, 'attempt', 0))

    async def _await_chain(self, draft: DraftInProgress) -> Chain | None:
        """Wait for a chain, as long as a target may stay silent."""
        request = draft.request
        patience_s = request.route.progress_timeout_s
        end_s = min(self._clock.now_s() + patience_s, request.deadline_s)
        chain = self._choose(request, draft.avoided)
        while chain is None and self._clock.now_s() < end_s:
            await asyncio.sleep(_CHAIN_PAUSE_S)
            chain = self._choose(request, frozenset())
        return chain

    def _choose(
        self,
        request: DraftRequest,
        avoided: frozenset[str],
    ) -> Chain | None:
        now_s = self._clock.now_s()
        usable = self._targets.usable(request.pool.name, now_s)
        chain = choose_chain(usable, request.pool.layer_count, avoided)
        logger.info(
            'routing: chain chosen request=%s pool=%s chain=%s avoided=%s',
            request.request_id,
            request.pool.name,
            _chain_text(chain),
            ','.join(sorted(avoided)),
        )
        return chain

    def _choose_first(
        self,
        request: DraftRequest,
        point: ResumePoint | None,
    ) -> Chain | None:
        if point is not None and self._is_usable(request, point.chain):
            logger.info(
                'routing: chain resumed request=%s stream=%s count=%d chain=%s',
                request.request_id,
                point.stream_id,
                point.count,
                _chain_text(point.chain),
            )
            return point.chain
        return self._choose(request, frozenset())

    def _is_usable(self, request: DraftRequest, chain: Chain) -> bool:
        now_s = self._clock.now_s()
        usable = self._targets.usable(request.pool.name, now_s)
        addresses = {target.address for target in usable}
        return all(stage.address in addresses for stage in chain)

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

    def _leave(
        self,
        draft: DraftInProgress,
        following: Chain = (),
    ) -> None:
        """Count the work as done and end it where it does not go on."""
        for stage in draft.run.chain:
            self._targets.finished(stage.address)
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

    def _note_started(self, chain: Chain) -> None:
        for stage in chain:
            self._targets.started(stage.address)


def setup(app: Application) -> None:
    """Register the draft service."""
    sessions = app.kernel.find(SESSIONS, HttpSessions)
    carrier = RelayCarrier(sessions.targets, sessions.fresh, KEEPALIVE_S)
    targets = app.kernel.find(TARGETS, TargetWatch)
    signer = ResumeSigner(read_secret(app.settings.secrets.peers_key))
    drafts = DraftService(app.clock, targets, carrier, signer)
    app.kernel.register(NAME, drafts)


def _fingerprint(request: DraftRequest) -> str:
    return fingerprint(
        request.team,
        request.pool.model,
        request.prompt,
        request.max_tokens,
    )


def _bad_resume(detail: str) -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.RefusalReason.BAD_REQUEST, detail=detail)


def _no_target(request: DraftRequest) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.RefusalReason.NO_TARGET,
        RETRY_AFTER_S,
        f'no chain of targets in pool {request.pool.name}',
    )


def _chain_text(chain: Chain | None) -> str:
    if chain is None:
        return 'none'
    return ','.join(f'{stage.target}:{stage.layers}' for stage in chain)
