"""State of one draft: its run, its losses and their reports."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.border import evidence_context
from nutmegspoke.engine_protocol import RefusalKind, StepRefusal, StepReply
from nutmegspoke.evidence import records
from nutmegspoke.pipelines.carrier import Lookahead, LossKind, StepLost
from nutmegspoke.pipelines.losses import LossPolicy, Remedy, may_have_run
from nutmegspoke.pipelines.resume import ResumePoint, stage_records
from nutmegspoke.pipelines.run import DraftInput, DraftRun

if TYPE_CHECKING:
    from nutmegspoke.border.target_watch import TargetWatch
    from nutmegspoke.layers import Stage
    from nutmegspoke.pipelines.carrier import Loss, StepCarrier
    from nutmegspoke.pipelines.decisions import RunDecision, SendStep
    from nutmegspoke.requests import DraftRequest
    from nutmegspoke.routing.choices import ChainChoice

logger = logging.getLogger(__name__)
FIRST_ATTEMPT = 1
RETRY_AFTER_S = 2.0


class DraftInProgress:
    """A running draft and the results of its steps.

    :param request: the caller's request.
    :param fingerprint: digest that is the same when the request is retried.
    :param choice: the first chain.
    :param point: where the caller resumes; ``None`` for a new draft.
    :param is_first: whether the team of the draft is below its share, which
        gives priority to the steps of the draft.
    """

    def __init__(
        self,
        request: DraftRequest,
        fingerprint: str,
        choice: ChainChoice,
        point: ResumePoint | None,
        *,
        is_first: bool = False,
    ) -> None:
        """Create the run; no step is sent yet."""
        self.request = request
        self.choice = choice
        self.is_first = is_first
        self.avoided: frozenset[str] = frozenset()
        self.has_run = point is not None
        attempt = point.next_attempt if point else FIRST_ATTEMPT
        self.run = DraftRun(
            _plan(request, point, is_first), choice.chain, attempt
        )
        self.fingerprint = fingerprint
        self._point = point
        self._has_lost = False
        self._loss_policy = LossPolicy(attempt)
        self._note_chain()

    def first_step(self) -> SendStep:
        """Return the first step."""
        if self._point is None:
            return self.run.begin()
        return self.run.resume(self._point)

    def restart(self, choice: ChainChoice, above_attempt: int) -> SendStep:
        """Continue the draft on a chain and return its first step.

        :param choice: the chain.
        :param above_attempt: highest attempt number that a stage has received;
            the new attempt gets a higher number.
        """
        self.choice = choice
        send_step = self.run.restart(choice.chain, above_attempt)
        self._note_chain()
        return send_step

    async def carry(
        self,
        carrier: StepCarrier,
        send_step: SendStep,
        limit_s: float,
    ) -> RunDecision | StepLost | StepRefusal:
        """Send a step and return the decision of the run, or the loss.

        :param carrier: carries the step to the engine.
        :param send_step: the step and its stage.
        :param limit_s: time left until the deadline of the draft.
        """
        progress_timeout_s = self.request.route.progress_timeout_s
        result = await carrier.carry(
            send_step.stage,
            send_step.step,
            min(progress_timeout_s, limit_s),
            self._lookahead(),
        )
        if not isinstance(result, StepReply):
            return result
        self.has_run = True
        self._loss_policy.note_progress()
        return self.run.accept(result)

    def _lookahead(self) -> Lookahead:
        tokens_left = self.request.max_tokens - self.run.answer.run_count
        return Lookahead(self.run.chain, tokens_left)

    def choose_remedy(self, lost: Loss) -> Remedy:
        """Log a loss and return how to continue."""
        self.has_run = self.has_run or may_have_run(lost)
        self._has_lost = True
        stage = self.run.awaited_stage
        remedy = self._loss_policy.choose_remedy(
            lost, stage.target, self.run.attempt
        )
        evidence_context.note(
            records.AttemptLost(
                self.run.attempt,
                stage.target,
                loss_text(lost),
            ),
        )
        if remedy is Remedy.REPLACE:
            self.avoided = self.avoided | {stage.target}
        logger.warning(
            'pipelines: step lost request=%s target=%s attempt=%d '
            'position=%d loss=%s remedy=%s',
            self.request.request_id,
            stage.target,
            self.run.attempt,
            self.run.position,
            loss_text(lost),
            remedy.value,
        )
        return remedy

    def clear_loss(self) -> bool:
        """Return whether there was a loss since the last call, and clear it.

        Called at each new token.
        """
        has_lost = self._has_lost
        self._has_lost = False
        return has_lost

    def resume_point(self) -> ResumePoint:
        """Return the point after the last token."""
        run = self.run
        return ResumePoint(
            stream_id=run.plan.stream_id,
            fingerprint=self.fingerprint,
            attempt=run.attempt,
            position=run.position,
            count=run.answer.count,
            last_token=run.last_token,
            digest=run.answer.digest,
            seed=run.plan.seed,
            stages=stage_records(run.chain),
        )

    def _note_chain(self) -> None:
        stages = tuple(
            records.ChainStage(stage.target, str(stage.layers))
            for stage in self.run.chain
        )
        delivered = self.run.answer.count
        if self._point is not None:
            delivered = max(delivered, self._point.count)
        evidence_context.note(
            records.ChainChosen(self.run.attempt, stages, delivered),
        )

    def log_end(self) -> None:
        """Log the end of the draft and record its receipts."""
        evidence_context.note(
            records.ReceiptsVerified(
                self.run.receipts_digest,
                self.run.answer.count,
                self.run.plan.layer_count,
            ),
        )
        logger.info(
            'pipelines: draft ended request=%s stream=%s tokens=%d of=%d '
            'attempt=%d receipts=%s',
            self.request.request_id,
            self.run.plan.stream_id,
            self.run.answer.count,
            self.request.max_tokens,
            self.run.attempt,
            self.run.receipts_digest,
        )

    def give_up(
        self,
        reason: outcomes.UnknownReason,
    ) -> outcomes.NotRun | outcomes.Unknown:
        """Return the outcome of a draft that cannot continue."""
        if self.has_run:
            return outcomes.Unknown(reason, RETRY_AFTER_S)
        if reason is outcomes.UnknownReason.ANSWER_TIMEOUT:
            return outcomes.NotRun(
                outcomes.RefusalReason.DEADLINE,
                RETRY_AFTER_S,
            )
        return outcomes.NotRun(
            outcomes.RefusalReason.TARGET_UNREACHABLE,
            RETRY_AFTER_S,
        )


def report_loss(targets: TargetWatch, stage: Stage, lost: Loss) -> None:
    """Report to the directory what a loss shows about its engine."""
    if isinstance(lost, StepRefusal):
        if lost.reason == RefusalKind.LEAVING:
            targets.refused_as_leaving(stage.address)
        return
    if not isinstance(lost, StepLost):
        return
    if lost.kind is LossKind.UNREACHABLE:
        targets.connection_failed(stage.address, refused=True)
    elif lost.kind is LossKind.RESET:
        targets.connection_failed(stage.address, refused=False)
    elif lost.kind is LossKind.CONNECTION_SILENT:
        targets.connection_silent(stage.address, is_new=False)
    elif lost.kind is LossKind.TARGET_SILENT:
        targets.connection_silent(stage.address, is_new=True)


def loss_text(lost: Loss) -> str:
    """Return the description of a loss for log lines."""
    if isinstance(lost, StepLost):
        return lost.kind.value
    if isinstance(lost, StepRefusal):
        return f'refused:{lost.reason}'
    return f'dropped:{lost.reason}'


def _plan(
    request: DraftRequest,
    point: ResumePoint | None,
    is_first: bool,
) -> DraftInput:
    return DraftInput(
        stream_id=point.stream_id if point else request.request_id,
        prompt=request.prompt,
        seed=point.seed if point else request.seed,
        layer_count=request.pool.layer_count,
        max_tokens=request.max_tokens,
        priority=2 * request.route.priority + is_first,
    )
