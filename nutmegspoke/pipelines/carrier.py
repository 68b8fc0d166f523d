"""How a step reaches a stage."""

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

    ``CONNECTION_RESET`` and ``CONNECTION_SILENT``: a new connection answers.
    """

    UNREACHABLE = 'unreachable'
    RESET = 'reset'
    CONNECTION_RESET = 'connection_reset'
    CONNECTION_SILENT = 'connection_silent'
    TARGET_SILENT = 'target_silent'
    BAD_REPLY = 'bad_reply'


@dataclasses.dataclass(frozen=True, slots=True)
class StepLost:
    """No reply came, or none that can be read.

    :param kind: how it was lost.
    :param detail: what the library said.
    """

    kind: LossKind
    detail: str = ''


Loss = StepLost | StepRefusal | ReplyDropped
CarryResult = StepReply | StepRefusal | StepLost


@dataclasses.dataclass(frozen=True, slots=True)
class Lookahead:
    """What follows a step if all goes well.

    :param chain: the whole chain of the step.
    :param token_count: tokens to generate from this step on.
    """

    chain: Chain
    token_count: int


class StepCarrier(Protocol):
    """Carries steps to stages."""

    async def carry(
        self,
        stage: Stage,
        step: StepRequest,
        progress_timeout_s: float,
        lookahead: Lookahead | None = None,
    ) -> CarryResult:
        """Send a step and return what became of it.

        :param lookahead: what follows, for carriers that can send it along.
        """

    async def cancel(self, stage: Stage, stream_id: str, attempt: int) -> None:
        """Tell a stage that a stream has ended; failures are ignored."""
