"""Build a chain stage by stage, with a rule for the choice at each stage."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from nutmegspoke.layers import LayerRange, Stage
from nutmegspoke.routing import room

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.layers import Chain
    from nutmegspoke.routing.choices import ChainQuery
    from nutmegspoke.targets import Target


class StageRule(Protocol):
    """Rule that picks one of several targets for a stage."""

    def __call__(self, candidates: Sequence[Target]) -> Target:
        """Return one of the candidates, of which there is at least one."""


def build_chain(
    query: ChainQuery,
    targets: Sequence[Target],
    rule: StageRule,
) -> Chain | None:
    """Build a chain of available targets.

    Each stage runs all the remaining layers that its target holds.

    :param query: the request.
    :param targets: targets that accept new work.
    :param rule: picks a target among those that hold the next layer.
    :returns: ``None`` if some layer has no available target.
    """
    available = [
        target for target in targets if room.has_capacity(query, target)
    ]
    stages: list[Stage] = []
    position = 0
    while position < query.layer_count:
        candidates = [
            target for target in available if _holds_layer(target, position)
        ]
        if not candidates:
            return None
        stage = make_stage(rule(candidates), position, query.layer_count)
        stages.append(stage)
        position = stage.layers.stop
    return tuple(stages)


def make_stage(target: Target, start: int, stop: int) -> Stage:
    """Return the stage that a target runs in a chain.

    :param start: first layer of the stage.
    :param stop: upper limit of the end of the stage.
    """
    held_stop = stop if target.layers is None else target.layers.stop
    layers = LayerRange(start, min(stop, held_stop))
    return Stage(target.name, target.address, layers)


def _holds_layer(target: Target, layer: int) -> bool:
    layers = target.layers
    return layers is not None and layers.start <= layer < layers.stop
