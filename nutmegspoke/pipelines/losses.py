"""What to do after a step was lost or refused."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from nutmegspoke.engine_protocol import RefusalKind, StepRefusal
from nutmegspoke.pipelines.carrier import LossKind, StepLost
from nutmegspoke.pipelines.decisions import ReplyDropped
from nutmegspoke.pipelines.resume import ATTEMPTS_PER_RESUME

if TYPE_CHECKING:
    from nutmegspoke.pipelines.carrier import Loss

MAX_LOSSES = 12
_CONNECTION_LOSSES = frozenset(
    (LossKind.CONNECTION_SILENT, LossKind.CONNECTION_RESET),
)
_NOT_RUN_LOSSES = frozenset((LossKind.UNREACHABLE,))


class Remedy(enum.Enum):
    """How a draft goes on.

    ``RESEND``: the same step to the same stage, under a higher attempt.
    ``RERUN``: the stage lost the stream's cache; it is not to blame.
    ``REPLACE``: without this target.
    ``GIVE_UP``: another daemon serves the stream, or too much was lost.
    """

    RESEND = 'resend'
    RERUN = 'rerun'
    REPLACE = 'replace'
    GIVE_UP = 'give_up'


class LossPolicy:
    """Judges the losses of one draft.

    :param first_attempt: attempt that the run began with.
    """

    def __init__(self, first_attempt: int) -> None:
        """Start without losses."""
        self._attempt_block = first_attempt // ATTEMPTS_PER_RESUME
        self._count = 0
        self._resent_to = ''

    def judge(self, lost: Loss, target: str, attempt: int) -> Remedy:
        """Return how to go on.

        :param lost: what came in place of the awaited reply.
        :param target: name of the target that the step went to.
        :param attempt: attempt of the step.
        """
        self._count += 1
        is_last = (attempt + 1) % ATTEMPTS_PER_RESUME == 0
        if is_last or self._count > MAX_LOSSES:
            return Remedy.GIVE_UP
        if isinstance(lost, StepRefusal):
            return self._judge_refusal(lost)
        if _may_be_the_connection(lost) and self._resent_to != target:
            self._resent_to = target
            return Remedy.RESEND
        return Remedy.REPLACE

    def note_progress(self) -> None:
        """Note that a step was answered."""
        self._resent_to = ''

    def _judge_refusal(self, refusal: StepRefusal) -> Remedy:
        if refusal.reason == RefusalKind.CACHE_LENGTH:
            return Remedy.RERUN
        if refusal.reason == RefusalKind.OLD_ATTEMPT:
            newest_block = refusal.attempt // ATTEMPTS_PER_RESUME
            is_superseded = newest_block > self._attempt_block
            return Remedy.GIVE_UP if is_superseded else Remedy.RERUN
        return Remedy.REPLACE


def may_have_run(lost: Loss) -> bool:
    """Tell whether a lost step can have reached its stage's layers."""
    if isinstance(lost, StepRefusal):
        return False
    return not (isinstance(lost, StepLost) and lost.kind in _NOT_RUN_LOSSES)


def _may_be_the_connection(lost: Loss) -> bool:
    if isinstance(lost, ReplyDropped):
        return True
    return isinstance(lost, StepLost) and lost.kind in _CONNECTION_LOSSES
