"""Decisions that a run returns."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.engine_protocol import StepRequest
    from nutmegspoke.layers import Stage


@dataclasses.dataclass(frozen=True, slots=True)
class SendStep:
    """Send a step to a stage.

    :param stage: the stage.
    :param step: the step.
    """

    stage: Stage
    step: StepRequest


@dataclasses.dataclass(frozen=True, slots=True)
class TokenReady:
    """Deliver a token to the caller.

    :param number: index of the token in the answer, from 0.
    :param token: the token.
    :param text: text of the token.
    :param following: the next step; ``None`` if the answer is complete.
    """

    number: int
    token: int
    text: str
    following: SendStep | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyDropped:
    """The reply was not the expected one and had no effect.

    :param reason: why it was dropped.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerDiffers:
    """The rerun generated other tokens than those delivered; end the draft."""


RunDecision = SendStep | TokenReady | ReplyDropped | AnswerDiffers
