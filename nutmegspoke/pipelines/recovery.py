"""Ways to go on after a stage has lost a stream's cache."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from nutmegspoke.engine_protocol import StepRequest
    from nutmegspoke.layers import Chain, Stage


@dataclasses.dataclass(frozen=True, slots=True)
class RerunAll:
    """Run the prompt and the known tokens over the whole chain."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayStage:
    """Run the kept inputs through one stage only.

    :param stage: the stage whose cache is to be filled.
    :param hidden: its inputs from position 0; empty for the first stage,
        whose inputs are the prompt and the tokens.
    """

    stage: Stage
    hidden: tuple[int, ...] = ()


Recovery = RerunAll | ReplayStage


class RecoveryStrategy(Protocol):
    """Decides how a draft goes on over a new chain."""

    @property
    def kept_count(self) -> int:
        """Return the number of inputs kept, each of one position."""

    def record_step(self, step: StepRequest) -> None:
        """Note a step that is sent."""

    def recover(self, lost: Stage, old: Chain, new: Chain) -> Recovery:
        """Return how to go on.

        :param lost: stage that lost the stream.
        :param old: chain that it was part of.
        :param new: chain to go on with.
        """


class RerunStrategy:
    """Keeps nothing and runs everything again."""

    kept_count = 0

    def record_step(self, step: StepRequest) -> None:
        """Keep nothing."""

    def recover(self, lost: Stage, old: Chain, new: Chain) -> Recovery:
        """Run everything again."""
        return RerunAll()


class ReplayStrategy:
    """Keeps the inputs of each stage and fills a replacement with them.

    :param max_inputs: inputs kept for one draft at most; with more, the
        draft is run again.
    """

    def __init__(self, max_inputs: int) -> None:
        """Start without inputs."""
        self._max_inputs = max_inputs
        self._inputs: dict[int, list[int]] = {}
        self._is_complete = True

    @property
    def kept_count(self) -> int:
        """Return the number of inputs kept, each of one position."""
        return sum(map(len, self._inputs.values()))

    def record_step(self, step: StepRequest) -> None:
        """Keep the inputs of a step."""
        if not self._is_complete:
            return
        inputs = self._inputs.setdefault(step.first_layer, [])
        if step.first_layer and step.position > len(inputs):
            self._give_up()
            return
        del inputs[step.position :]  # noqa: WPS420 -- a later attempt
        inputs.extend(step.hidden)
        if self.kept_count > self._max_inputs:
            self._give_up()

    def recover(self, lost: Stage, old: Chain, new: Chain) -> Recovery:
        """Fill the stage in the lost one's place, if all else is as before."""
        stage_index = old.index(lost)
        if not self._is_complete or not _differ_only_at(stage_index, old, new):
            self._inputs.clear()
            self._is_complete = True
            return RerunAll()
        inputs = self._inputs.get(lost.layers.start, ())
        return ReplayStage(new[stage_index], tuple(inputs))

    def _give_up(self) -> None:
        self._is_complete = False
        self._inputs.clear()


def _differ_only_at(stage_index: int, old: Chain, new: Chain) -> bool:
    return (
        len(old) == len(new)
        and old[stage_index].layers == new[stage_index].layers
        and old[:stage_index] == new[:stage_index]
        and old[stage_index + 1 :] == new[stage_index + 1 :]
    )
