"""The run of one draft over a chain of stages, as a state machine."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.engine_protocol import StepReply, StepRequest
from nutmegspoke.errors import BrokenInvariantError
from nutmegspoke.layers import covers
from nutmegspoke.pipelines.receipts import Receipt, ReceiptLedger

if TYPE_CHECKING:
    from nutmegspoke.layers import Chain, Stage


@dataclasses.dataclass(frozen=True, slots=True)
class SendStep:
    """Send this step to this stage."""

    stage: Stage
    step: StepRequest


@dataclasses.dataclass(frozen=True, slots=True)
class TokenReady:
    """A token is complete; deliver it to the caller.

    :param number: number of the token in the answer, from 0.
    :param token: the token.
    :param text: its text.
    :param following: the next step; ``None`` if the answer is whole.
    """

    number: int
    token: int
    text: str
    following: SendStep | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyDropped:
    """The reply was not the awaited one and changed nothing.

    :param reason: why it was dropped.
    """

    reason: str


RunDecision = SendStep | TokenReady | ReplyDropped


@dataclasses.dataclass(frozen=True, slots=True)
class DraftPlan:
    """What a run is to generate.

    :param stream_id: id of the stream at the engines.
    :param prompt: text to continue.
    :param seed: seed of the sampling.
    :param layer_count: layers of the model.
    :param max_tokens: length of the answer in tokens.
    :param priority: priority at the engines.
    """

    stream_id: str
    prompt: str
    seed: int
    layer_count: int
    max_tokens: int
    priority: int = 0


class DraftRun:
    """Decides the steps of one draft. One step is in flight at a time."""

    def __init__(self, plan: DraftPlan, chain: Chain, attempt: int) -> None:
        """Prepare a run; ``begin`` gives its first step.

        :raises BrokenInvariantError: if the chain does not cover the layers.
        """
        self.plan = plan
        self.tokens: list[int] = []
        self.attempt = attempt
        self.chain = chain
        self._ledger = ReceiptLedger(plan.layer_count)
        self._awaited: SendStep | None = None
        _check_chain(chain, plan.layer_count)

    @property
    def receipts_digest(self) -> str:
        """Return the digest of all accepted receipts."""
        return self._ledger.digest

    @property
    def is_whole(self) -> bool:
        """Tell whether all tokens are generated."""
        return len(self.tokens) >= self.plan.max_tokens

    def begin(self) -> SendStep:
        """Return the first step: the prompt and the tokens that are known."""
        return self._await_step(
            self.chain[0],
            position=0,
            prompt=self.plan.prompt,
            tokens=tuple(self.tokens),
        )

    def restart(self, chain: Chain) -> SendStep:
        """Run again over another chain, keeping the tokens delivered.

        :param chain: stages that cover all layers.
        :raises BrokenInvariantError: if the chain does not cover the layers.
        """
        _check_chain(chain, self.plan.layer_count)
        self.chain = chain
        self.attempt += 1
        self._ledger.rewind(0)
        return self.begin()

    def accept(self, reply: StepReply) -> RunDecision:
        """Take the reply of a stage."""
        fault = self._reply_fault(reply)
        if fault:
            return ReplyDropped(fault)
        fault = self._ledger.accept(_receipt(reply))
        if fault:
            return ReplyDropped(fault)
        self._awaited = None
        if reply.stop_layer == self.plan.layer_count:
            return self._take_token(reply)
        return self._await_step(
            self._stage_after(reply.stop_layer),
            position=reply.position,
            hidden=reply.hidden,
        )

    def _reply_fault(self, reply: StepReply) -> str:
        if self._awaited is None:
            return 'no step awaited'
        if reply.stream_id != self.plan.stream_id:
            return 'other stream'
        if reply.attempt != self.attempt:
            return 'other attempt'
        stage = self._awaited.stage
        if reply.target != stage.target:
            return 'other target'
        if reply.stop_layer != stage.layers.stop:
            return 'other layers'
        if reply.stop_layer == self.plan.layer_count:
            return '' if reply.token is not None else 'no token'
        return '' if len(reply.hidden) == reply.count else 'hidden count'

    def _take_token(self, reply: StepReply) -> TokenReady:
        if reply.token is None:
            raise BrokenInvariantError('a checked reply lacks its token')
        number = len(self.tokens)
        self.tokens.append(reply.token)
        following = None
        if not self.is_whole:
            following = self._await_step(
                self.chain[0],
                position=self._ledger.position,
                tokens=(reply.token,),
            )
        return TokenReady(number, reply.token, reply.text, following)

    def _stage_after(self, layer: int) -> Stage:
        for stage in self.chain:
            if stage.layers.start == layer:
                return stage
        raise BrokenInvariantError(f'no stage begins at layer {layer}')

    def _await_step(
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
        self._awaited = SendStep(stage, step)
        return self._awaited


def _check_chain(chain: Chain, layer_count: int) -> None:
    if not covers([stage.layers for stage in chain], layer_count):
        raise BrokenInvariantError('the chain does not cover the layers')


def _receipt(reply: StepReply) -> Receipt:
    return Receipt(
        target=reply.target,
        attempt=reply.attempt,
        position=reply.position,
        count=reply.count,
        first_layer=reply.first_layer,
        stop_layer=reply.stop_layer,
    )
