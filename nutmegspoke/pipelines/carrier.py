"""Interface of the transports that send steps to stages."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Protocol

from nutmegspoke.engine_protocol import StepRefusal, StepReply, StepRequest
from nutmegspoke.pipelines.decisions import ReplyDropped

if TYPE_CHECKING:
    from nutmegspoke.layers import Chain, Stage


class LossKind(enum.StrEnum):
    """How a step was lost.

    ``CONNECTION_RESET`` and ``CONNECTION_SILENT`` concern a connection only:
    the target answers on a new one.
    """

    UNREACHABLE = 'unreachable'
    RESET = 'reset'
    CONNECTION_RESET = 'connection_reset'
    CONNECTION_SILENT = 'connection_silent'
    TARGET_SILENT = 'target_silent'
    BAD_REPLY = 'bad_reply'


@dataclasses.dataclass(frozen=True, slots=True)
class StepLost:
    """A step without a valid reply.

    :param kind: how it was lost.
    :param detail: error message of the transport.
    """

    kind: LossKind
    detail: str = ''


Loss = StepLost | StepRefusal | ReplyDropped
CarryResult = StepReply | StepRefusal | StepLost


@dataclasses.dataclass(frozen=True, slots=True)
class Lookahead:
    """What follows a step if no step is lost.

    :param chain: the complete chain of the step.
    :param token_count: number of tokens to generate from this step on.
    """

    chain: Chain
    token_count: int


class StepCarrier(Protocol):
    """Transport that sends steps to stages."""

    async def carry(
        self,
        stage: Stage,
        step: StepRequest,
        progress_timeout_s: float,
        lookahead: Lookahead | None = None,
    ) -> CarryResult:
        """Send a step and return its reply, its refusal or how it was lost.

        :param stage: stage that is to run the step.
        :param step: the step.
        :param progress_timeout_s: timeout of the reply in seconds.
        :param lookahead: what follows, for carriers that can send more than
            one step at a time.
        """

    async def cancel(self, stage: Stage, stream_id: str, attempt: int) -> None:
        """Notify a stage that a stream has ended; errors are ignored."""
