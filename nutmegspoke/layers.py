"""Layer ranges of a model and the chains that cover them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class LayerRange:
    """A half-open range of layers, ``start <= layer < stop``."""

    start: int
    stop: int

    @classmethod
    def from_text(cls, text: str) -> LayerRange | None:
        """Parse ``START-STOP``; ``None`` if the text is invalid or empty."""
        start, _, stop = text.partition('-')
        if not (start.isdecimal() and stop.isdecimal()):
            return None
        parsed = cls(int(start), int(stop))
        return parsed if parsed.start < parsed.stop else None

    def __str__(self) -> str:
        """Return ``START-STOP``."""
        return f'{self.start}-{self.stop}'

    def __len__(self) -> int:
        """Return the number of layers."""
        return self.stop - self.start


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """A stage of a chain: an engine and the layers it runs.

    :param target: name of the engine.
    :param address: ``IP:PORT`` of the engine.
    :param layers: layers that it runs in this chain.
    """

    target: str
    address: str
    layers: LayerRange


Chain = tuple[Stage, ...]


def common_layers(
    one: LayerRange | None,
    other: LayerRange | None,
) -> LayerRange | None:
    """Return the intersection of two ranges; ``None`` if it is empty."""
    if one is None or other is None:
        return None
    start = max(one.start, other.start)
    stop = min(one.stop, other.stop)
    return LayerRange(start, stop) if start < stop else None


def covers(ranges: Sequence[LayerRange], layer_count: int) -> bool:
    """Return whether the ranges cover all layers once and in order.

    :param ranges: layer ranges in the order of the chain.
    :param layer_count: number of layers of the model.
    """
    position = 0
    for layers in ranges:
        if layers.start != position:
            return False
        position = layers.stop
    return position == layer_count
