"""Decision on how a draft goes on after a step was lost or refused."""

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

    ``RESEND``: send the same step to the same stage with a higher attempt.
    ``RERUN``: restart, also on the same chain: the stage lost the stream's
    cache, which is no fault of the target.
    ``REPLACE``: restart on a chain without this target.
    ``GIVE_UP``: another daemon serves the stream, or too many steps were lost.
    """

    RESEND = 'resend'
    RERUN = 'rerun'
    REPLACE = 'replace'
    GIVE_UP = 'give_up'


class LossPolicy:
    """Chooses how one draft goes on after each loss.

    :param first_attempt: first attempt of the run.
    """

    def __init__(self, first_attempt: int) -> None:
        """Create a policy for a draft without losses."""
        self._attempt_block = first_attempt // ATTEMPTS_PER_RESUME
        self._count = 0
        self._resent_to = ''

    def choose_remedy(self, lost: Loss, target: str, attempt: int) -> Remedy:
        """Return how to go on after a loss.

        :param lost: the lost step, the refusal or the dropped reply.
        :param target: name of the target that the step was sent to.
        :param attempt: attempt of the step.
        """
        self._count += 1
        is_last = (attempt + 1) % ATTEMPTS_PER_RESUME == 0
        if is_last or self._count > MAX_LOSSES:
            return Remedy.GIVE_UP
        if isinstance(lost, StepRefusal):
            return self._remedy_for_refusal(lost)
        if _may_be_connection_fault(lost) and self._resent_to != target:
            self._resent_to = target
            return Remedy.RESEND
        return Remedy.REPLACE

    def note_progress(self) -> None:
        """Record a valid reply; the same target may get another resend."""
        self._resent_to = ''

    def _remedy_for_refusal(self, refusal: StepRefusal) -> Remedy:
        if refusal.reason == RefusalKind.CACHE_LENGTH:
            return Remedy.RERUN
        if refusal.reason == RefusalKind.OLD_ATTEMPT:
            newest_block = refusal.attempt // ATTEMPTS_PER_RESUME
            is_superseded = newest_block > self._attempt_block
            return Remedy.GIVE_UP if is_superseded else Remedy.RERUN
        return Remedy.REPLACE


def may_have_run(lost: Loss) -> bool:
    """Return whether the stage may have run a lost step."""
    if isinstance(lost, StepRefusal):
        return False
    return not (isinstance(lost, StepLost) and lost.kind in _NOT_RUN_LOSSES)


def _may_be_connection_fault(lost: Loss) -> bool:
    if isinstance(lost, ReplyDropped):
        return True
    return isinstance(lost, StepLost) and lost.kind in _CONNECTION_LOSSES
