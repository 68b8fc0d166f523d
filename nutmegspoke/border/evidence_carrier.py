"""Notes the steps of drafts as evidence while another carrier carries them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from nutmegspoke.border import evidence_context
from nutmegspoke.engine_protocol import StepRefusal, StepReply
from nutmegspoke.evidence.records import AttemptLost, StageUsed
from nutmegspoke.pipelines.carrier import StepLost

if TYPE_CHECKING:
    from nutmegspoke.engine_protocol import StepRequest
    from nutmegspoke.layers import Stage
    from nutmegspoke.pipelines.carrier import StepCarrier


class EvidenceCarrier:
    """A carrier that notes where steps go and which are lost."""

    def __init__(self, carrier: StepCarrier) -> None:
        """Use a carrier.

        :param carrier: carries the steps.
        """
        self._carrier = carrier

    async def carry(
        self,
        stage: Stage,
        step: StepRequest,
        progress_timeout_s: float,
        *further: Any,
        **options: Any,
    ) -> StepReply | StepRefusal | StepLost:
        """Send a step and return what became of it."""
        evidence_context.note(
            StageUsed(step.attempt, stage.target, str(stage.layers)),
        )
        told = await self._carrier.carry(
            stage,
            step,
            progress_timeout_s,
            *further,
            **options,
        )
        reason = _loss_text(told)
        if reason:
            evidence_context.note(
                AttemptLost(step.attempt, stage.target, reason),
            )
        return told

    async def cancel(self, stage: Stage, stream_id: str, attempt: int) -> None:
        """Tell a stage that a stream has ended."""
        await self._carrier.cancel(stage, stream_id, attempt)


def _loss_text(told: StepReply | StepRefusal | StepLost) -> str:
    match told:
        case StepLost():
            return f'{told.kind.value} {told.detail}'.strip()
        case StepRefusal():
            return f'refused, {told.reason}'
        case _:
            return ''
