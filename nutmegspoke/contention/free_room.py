"""Free memory of a pool that whole chains can still use.

A draft takes memory in every layer of the model, so that the layer with the
least free memory bounds what the pool can still admit, however much is free
elsewhere.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from nutmegspoke.routing.engine_loads import EngineLoad


@dataclasses.dataclass(frozen=True, slots=True)
class FreeRoom:
    """Memory of the layer with the least free memory.

    :param free_tokens: memory that may still be reserved there, in tokens.
    :param total_tokens: all memory there, in tokens.
    :param used_share: share of it that is reserved; 1 if nobody holds the
        layer.
    """

    free_tokens: float
    total_tokens: float
    used_share: float


def free_tokens_by_layer(
    engines: Iterable[EngineLoad], layer_count: int
) -> list[float]:
    """Return the memory that may still be reserved in each layer, in tokens.

    :param engines: the usable engines of a pool.
    """
    free = [0.0 for _ in range(layer_count)]
    for engine in engines:
        tokens = engine.free_token_layers / max(1, len(engine.layers))
        for layer in range(
            engine.layers.start, min(engine.layers.stop, layer_count)
        ):
            free[layer] += tokens
    return free


def find_narrowest_room(
    engines: Iterable[EngineLoad], layer_count: int
) -> FreeRoom:
    """Return the memory of the layer with the least free memory.

    :param engines: the usable engines of a pool.
    """
    usable = tuple(engines)
    free = free_tokens_by_layer(usable, layer_count)
    narrowest = min(range(layer_count), key=free.__getitem__)
    holders = [
        engine
        for engine in usable
        if engine.layers.start <= narrowest < engine.layers.stop
    ]
    total_tokens = sum(
        engine.total_token_layers / len(engine.layers) for engine in holders
    )
    used_tokens = sum(
        engine.used_token_layers / len(engine.layers) for engine in holders
    )
    used_share = used_tokens / total_tokens if total_tokens else 1.0
    return FreeRoom(free[narrowest], total_tokens, used_share)
