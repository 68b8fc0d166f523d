"""Strategies to recover after a stage has lost a stream's cache."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from nutmegspoke.engine_protocol import StepRequest
    from nutmegspoke.layers import Chain, Stage


@dataclasses.dataclass(frozen=True, slots=True)
class RerunAll:
    """Run the prompt and the known tokens on the whole chain again."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayStage:
    """Run the stored inputs on one stage only.

    :param stage: the stage whose cache is to be filled.
    :param hidden: its inputs from position 0; empty for the first stage,
        whose inputs are the prompt and the tokens.
    """

    stage: Stage
    hidden: tuple[int, ...] = ()


Recovery = RerunAll | ReplayStage


class RecoveryStrategy(Protocol):
    """Decides how a draft goes on with a new chain."""

    @property
    def kept_count(self) -> int:
        """Return the number of stored inputs, one per stage and position."""

    def record_step(self, step: StepRequest) -> None:
        """Record a step that is sent."""

    def recover(self, lost: Stage, old: Chain, new: Chain) -> Recovery:
        """Return how to go on.

        :param lost: stage that lost the stream.
        :param old: chain that the stage was part of.
        :param new: chain to go on with.
        """


class RerunStrategy:
    """Stores no inputs and runs the draft again from its prompt."""

    kept_count = 0

    def record_step(self, step: StepRequest) -> None:
        """Do nothing."""

    def recover(self, lost: Stage, old: Chain, new: Chain) -> Recovery:
        """Return ``RerunAll``."""
        return RerunAll()


class ReplayStrategy:
    """Stores the inputs of each stage and fills a replacement with them.

    :param max_inputs: largest number of inputs stored for one draft; beyond
        it all are dropped and a loss runs the draft again.
    """

    def __init__(self, max_inputs: int) -> None:
        """Create a strategy without stored inputs."""
        self._max_inputs = max_inputs
        self._inputs: dict[int, list[int]] = {}
        self._is_complete = True

    @property
    def kept_count(self) -> int:
        """Return the number of stored inputs, one per stage and position."""
        return sum(map(len, self._inputs.values()))

    def record_step(self, step: StepRequest) -> None:
        """Store the inputs of a step, which replace later positions."""
        if not self._is_complete:
            return
        inputs = self._inputs.setdefault(step.first_layer, [])
        if step.first_layer and step.position > len(inputs):
            self._drop_inputs()
            return
        del inputs[step.position :]  # noqa: WPS420 -- a later attempt overwrites
        inputs.extend(step.hidden)
        if self.kept_count > self._max_inputs:
            self._drop_inputs()

    def recover(self, lost: Stage, old: Chain, new: Chain) -> Recovery:
        """Return ``ReplayStage`` if only the lost stage was replaced.

        Otherwise, or if inputs are missing, return ``RerunAll``.
        """
        stage_index = old.index(lost)
        if not self._is_complete or not _differ_only_at(stage_index, old, new):
            self._inputs.clear()
            self._is_complete = True
            return RerunAll()
        inputs = self._inputs.get(lost.layers.start, ())
        return ReplayStage(new[stage_index], tuple(inputs))

    def _drop_inputs(self) -> None:
        self._is_complete = False
        self._inputs.clear()


def _differ_only_at(stage_index: int, old: Chain, new: Chain) -> bool:
    return (
        len(old) == len(new)
        and old[stage_index].layers == new[stage_index].layers
        and old[:stage_index] == new[:stage_index]
        and old[stage_index + 1 :] == new[stage_index + 1 :]
    )
