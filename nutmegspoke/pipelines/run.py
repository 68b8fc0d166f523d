"""State machine that runs one draft on a chain of stages."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.engine_protocol import StepReply, StepRequest
from nutmegspoke.errors import BrokenInvariantError
from nutmegspoke.layers import covers
from nutmegspoke.pipelines.answer import Answer, TokenKind
from nutmegspoke.pipelines.decisions import (
    AnswerDiffers,
    ReplyDropped,
    RunDecision,
    SendStep,
    TokenReady,
)
from nutmegspoke.pipelines.receipts import Receipt, ReceiptTracker
from nutmegspoke.pipelines.recovery import ReplayStage, RerunStrategy

if TYPE_CHECKING:
    from nutmegspoke.layers import Chain, Stage
    from nutmegspoke.pipelines.recovery import RecoveryStrategy
    from nutmegspoke.pipelines.resume import ResumePoint


@dataclasses.dataclass(frozen=True, slots=True)
class DraftInput:
    """Input and length of a draft.

    :param stream_id: id of the stream at the engines.
    :param prompt: text to continue.
    :param seed: seed of the sampling.
    :param layer_count: number of layers of the model.
    :param max_tokens: number of tokens to generate.
    :param priority: steps with a higher priority run first.
    """

    stream_id: str
    prompt: str
    seed: int
    layer_count: int
    max_tokens: int
    priority: int = 0


class DraftRun:
    """Decides the steps of one draft. One step is in flight at a time.

    The run does no I/O: the code that uses it sends each step and passes the
    reply to :meth:`accept`.

    =======  =================================================================
    Word     Meaning
    =======  =================================================================
    resend   Send the same step to the same stage with a higher attempt.
    replay   Run the known inputs of one stage on that stage of the new chain.
    rerun    Run the prompt and the known tokens on the whole chain.
    resume   Begin a run for a caller that returns with part of the answer.
    restart  Go on after a stage lost the stream, by a replay or a rerun; the
             chain may be another one or the same.
    =======  =================================================================

    :param plan: input and length of the draft.
    :param chain: stages that cover all layers.
    :param attempt: attempt number of the first step; :meth:`resend` and
        :meth:`restart` raise it.
    :param strategy: strategy after a stage has lost the stream; ``None`` to
        run the draft again.
    :raises BrokenInvariantError: if the chain does not cover the layers.
    """

    def __init__(
        self,
        plan: DraftInput,
        chain: Chain,
        attempt: int,
        strategy: RecoveryStrategy | None = None,
    ) -> None:
        """Create a run; :meth:`begin` or :meth:`resume` returns its first step."""
        _check_chain(chain, plan.layer_count)
        self.plan = plan
        self.answer = Answer()
        self.attempt = attempt
        self.chain = chain
        self.last_token = 0
        self._strategy = strategy or RerunStrategy()
        self._receipts = ReceiptTracker(plan.layer_count)
        self._step_in_flight: SendStep | None = None

    @property
    def receipts_digest(self) -> str:
        """Return the digest of all accepted receipts."""
        return self._receipts.digest

    @property
    def position(self) -> int:
        """Return the first position that the last layer has not run.

        A position is the index of a token in the prompt followed by the
        answer.
        """
        return self._receipts.position

    @property
    def is_complete(self) -> bool:
        """Return whether all tokens are delivered."""
        return self.answer.count >= self.plan.max_tokens

    @property
    def awaited_stage(self) -> Stage:
        """Return the stage whose reply is expected.

        :raises BrokenInvariantError: if no step is in flight.
        """
        return self._require_step_in_flight().stage

    def begin(self) -> SendStep:
        """Return the first step of a run from the prompt.

        It holds the prompt and the tokens generated so far, unless they are
        unknown after a resume.
        """
        self.answer.prepare_run()
        return self._prefill_first_stage()

    def resume(self, point: ResumePoint) -> SendStep:
        """Return the first step for a caller that has part of the answer.

        The caller has already received that part from an earlier run.
        On the chain that ran the last token, this is the step after that
        token. The stages accept it if they still hold the stream. Otherwise
        one of them refuses it, and :meth:`restart` runs the draft from its
        prompt. On another chain, the draft is run from its prompt at once.
        Tokens that the caller has are compared but not delivered again.

        :param point: resume point of the caller.
        """
        self.answer = Answer(point.count, point.digest)
        self.last_token = point.last_token
        if self.chain != point.chain:
            return self.begin()
        self._receipts.rewind(point.position)
        return self._next_step(
            self.chain[0],
            point.position,
            tokens=(point.last_token,),
        )

    def resend(self) -> SendStep:
        """Return the step in flight with a higher attempt.

        The stage truncates its cache to the position of the step.

        :raises BrokenInvariantError: if no step is in flight.
        """
        sent = self._require_step_in_flight()
        self.attempt += 1
        step = msgspec.structs.replace(sent.step, attempt=self.attempt)
        return self._expect_reply(SendStep(sent.stage, step))

    def restart(self, chain: Chain, above_attempt: int = 0) -> SendStep:
        """Return the next step after a stage lost the stream.

        :param chain: chain to go on with; its stages cover all layers.
        :param above_attempt: highest attempt known to a stage; the attempt
            of the next step is higher.
        :raises BrokenInvariantError: if the chain does not cover the layers.
        """
        _check_chain(chain, self.plan.layer_count)
        lost = self._require_step_in_flight().stage
        recovery = self._strategy.recover(lost, self.chain, chain)
        self.chain = chain
        self.attempt = max(self.attempt, above_attempt) + 1
        if isinstance(recovery, ReplayStage) and self._has_inputs_of(lost):
            return self._replay(recovery)
        self._receipts.rewind(0)
        return self.begin()

    def accept(self, reply: StepReply) -> RunDecision:
        """Process the reply of a stage and return what to do next."""
        reason = self._mismatch(reply)
        if reason:
            return ReplyDropped(reason)
        reason = self._receipts.accept(_build_receipt(reply))
        if reason:
            return ReplyDropped(reason)
        if reply.stop_layer == self.plan.layer_count:
            return self._accept_token(reply)
        # After a replay of one stage, later stages already hold the first
        # positions; only the others are sent. The outputs are empty if the
        # engines passed them on.
        position = self._receipts.position_at(reply.stop_layer)
        return self._next_step(
            _stage_starting_at(self.chain, reply.stop_layer),
            position=position,
            hidden=reply.hidden[position - reply.position :],
        )

    def _mismatch(self, reply: StepReply) -> str:
        """Return why a reply is not the expected one; empty if it matches."""
        if self._step_in_flight is None:
            return 'no step awaited'
        if reply.stream_id != self.plan.stream_id:
            return 'other stream'
        if reply.attempt != self.attempt:
            return 'other attempt'
        stage, step = self._step_in_flight.stage, self._step_in_flight.step
        if reply.target != stage.target:
            return 'other target'
        if (reply.first_layer, reply.stop_layer) != (
            stage.layers.start,
            stage.layers.stop,
        ):
            return 'other layers'
        return _content_mismatch(reply, step, self.plan.layer_count)

    def _accept_token(self, reply: StepReply) -> RunDecision:
        if reply.token is None:
            raise BrokenInvariantError(
                'accepted reply of the last stage has no token'
            )
        self._step_in_flight = None
        kind = self.answer.add_token(reply.token)
        if kind is TokenKind.DIFFERENT:
            return AnswerDiffers()
        self.last_token = reply.token
        next_step = None
        if kind is TokenKind.REPEATED or not self.is_complete:
            next_step = self._next_step(
                self.chain[0],
                self._receipts.position_at(0),
                tokens=(reply.token,),
            )
        if kind is TokenKind.REPEATED and next_step is not None:
            return next_step
        number = self.answer.count - 1
        return TokenReady(number, reply.token, reply.text, next_step)

    def _replay(self, recovery: ReplayStage) -> SendStep:
        stage = recovery.stage
        self._receipts.reset_layers(stage.layers)
        if stage.layers.start == 0:
            return self._prefill_first_stage()
        return self._next_step(stage, position=0, hidden=recovery.hidden)

    def _has_inputs_of(self, lost: Stage) -> bool:
        """Return whether all inputs of a lost stage are known.

        The first stage needs all tokens, which are unknown after a resume
        until a rerun has generated them.
        """
        is_first = lost.layers.start == 0
        return not is_first or len(self.answer.tokens) == self.answer.count

    def _prefill_first_stage(self) -> SendStep:
        return self._next_step(
            self.chain[0],
            position=0,
            prompt=self.plan.prompt,
            tokens=self.answer.tokens,
        )

    def _next_step(
        self,
        stage: Stage,
        position: int,
        prompt: str = '',
        tokens: tuple[int, ...] = (),
        hidden: tuple[int, ...] = (),
    ) -> SendStep:
        step = StepRequest(
            stream_id=self.plan.stream_id,
            attempt=self.attempt,
            position=position,
            first_layer=stage.layers.start,
            stop_layer=stage.layers.stop,
            seed=self.plan.seed,
            prompt=prompt,
            tokens=tokens,
            hidden=hidden,
            priority=self.plan.priority,
        )
        return self._expect_reply(SendStep(stage, step))

    def _expect_reply(self, decision: SendStep) -> SendStep:
        self._strategy.record_step(decision.step)
        self._step_in_flight = decision
        return decision

    def _require_step_in_flight(self) -> SendStep:
        if self._step_in_flight is None:
            raise BrokenInvariantError('no step is in flight')
        return self._step_in_flight


def _check_chain(chain: Chain, layer_count: int) -> None:
    if not covers([stage.layers for stage in chain], layer_count):
        raise BrokenInvariantError('the chain does not cover the layers')


def _stage_starting_at(chain: Chain, layer: int) -> Stage:
    for stage in chain:
        if stage.layers.start == layer:
            return stage
    raise BrokenInvariantError(f'no stage starts at layer {layer}')


def _content_mismatch(
    reply: StepReply,
    step: StepRequest,
    layer_count: int,
) -> str:
    if reply.position != step.position:
        return 'other position'
    sent_count = len(step.hidden) or len(step.tokens)
    if sent_count and reply.count != sent_count and not step.prompt:
        return 'count'
    if reply.stop_layer == layer_count:
        return '' if reply.token is not None else 'no token'
    if reply.is_passed_on:
        return 'passed on' if reply.hidden else ''
    return '' if len(reply.hidden) == reply.count else 'hidden count'


def _build_receipt(reply: StepReply) -> Receipt:
    return Receipt(
        target=reply.target,
        attempt=reply.attempt,
        position=reply.position,
        count=reply.count,
        first_layer=reply.first_layer,
        stop_layer=reply.stop_layer,
    )
