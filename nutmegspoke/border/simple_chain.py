"""Chooses a chain with the least work in flight, layer range by layer range."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.layers import Chain, LayerRange, Stage

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from nutmegspoke.targets import Target


def choose_chain(
    targets: Sequence[Target],
    layer_count: int,
    avoided: Collection[str] = (),
) -> Chain | None:
    """Return stages that cover all layers; ``None`` if there are none.

    :param targets: usable targets of the pool.
    :param layer_count: layers of the model.
    :param avoided: names of targets that must not be used.
    """
    stages: list[Stage] = []
    position = 0
    while position < layer_count:
        holding = [
            target
            for target in targets
            if target.name not in avoided and _holds(target, position)
        ]
        if not holding:
            return None
        best = min(holding, key=_load)
        stages.append(_stage(best, position))
        position = stages[-1].layers.stop
    return tuple(stages)


def _holds(target: Target, layer: int) -> bool:
    layers = target.layers
    return layers is not None and layers.start <= layer < layers.stop


def _load(target: Target) -> tuple[int, str]:
    return target.own_in_flight, target.name


def _stage(target: Target, position: int) -> Stage:
    stop = target.layers.stop if target.layers else position
    return Stage(target.name, target.address, LayerRange(position, stop))
