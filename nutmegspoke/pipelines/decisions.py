"""What a run decides."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.engine_protocol import StepRequest
    from nutmegspoke.layers import Stage


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


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerDiffers:
    """Tokens run again are not those delivered; the draft can't go on."""


RunDecision = SendStep | TokenReady | ReplyDropped | AnswerDiffers
