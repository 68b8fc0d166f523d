"""Builds a chain stage by stage, with a rule for the choice at each stage."""

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
    """Picks one of several targets for a stage."""

    def __call__(self, candidates: Sequence[Target]) -> Target:
        """Return one of the candidates, of which there is at least one."""


def walk(
    query: ChainQuery,
    targets: Sequence[Target],
    rule: StageRule,
) -> Chain | None:
    """Build a chain of targets that have room.

    Each stage runs as many layers as its target holds.

    :param query: the request.
    :param targets: targets that may get new work.
    :param rule: picks a target among those that hold the next layer.
    :returns: ``None`` if some layer has no target with room.
    """
    roomy = [target for target in targets if room.has_room(query, target)]
    stages: list[Stage] = []
    position = 0
    while position < query.layer_count:
        candidates = [
            target for target in roomy if _holds_layer(target, position)
        ]
        if not candidates:
            return None
        stage = make_stage(rule(candidates), position, query.layer_count)
        stages.append(stage)
        position = stage.layers.stop
    return tuple(stages)


def make_stage(target: Target, start: int, stop: int) -> Stage:
    """Return the stage of a target from a layer on, to ``stop`` at most."""
    held_stop = stop if target.layers is None else target.layers.stop
    layers = LayerRange(start, min(stop, held_stop))
    return Stage(target.name, target.address, layers)


def _holds_layer(target: Target, layer: int) -> bool:
    held = target.layers
    return held is not None and held.start <= layer < held.stop
