"""How a step reaches a stage."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from nutmegspoke.engine_protocol import StepRefusal, StepReply, StepRequest
    from nutmegspoke.layers import Stage


class LossKind(enum.StrEnum):
    """How a step was lost."""

    UNREACHABLE = 'unreachable'
    RESET = 'reset'
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


class StepCarrier(Protocol):
    """Carries steps to stages."""

    async def carry(
        self,
        stage: Stage,
        step: StepRequest,
        progress_timeout_s: float,
    ) -> StepReply | StepRefusal | StepLost:
        """Send a step and return what became of it."""

    async def cancel(self, stage: Stage, stream_id: str, attempt: int) -> None:
        """Tell a stage that a stream has ended; failures are ignored."""
