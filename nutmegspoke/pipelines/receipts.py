"""Receipts: check that each layer runs each position once and in order.

A position is the index of a token in the prompt followed by the answer.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from nutmegspoke.layers import LayerRange


@dataclasses.dataclass(frozen=True, slots=True)
class Receipt:
    """What a stage reports to have run.

    :param target: name of the engine.
    :param attempt: attempt of the step.
    :param position: first position of the step.
    :param count: number of positions.
    :param first_layer: first layer that ran.
    :param stop_layer: layer after the last one that ran.
    """

    target: str
    attempt: int
    position: int
    count: int
    first_layer: int
    stop_layer: int

    def encoded(self) -> bytes:
        """Return the receipt as bytes that are unique to it, for a digest."""
        fields = (
            f'{len(self.target)}:{self.target}',
            f'{self.attempt}:{self.position}:{self.count}',
            f'{self.first_layer}:{self.stop_layer};',
        )
        return ':'.join(fields).encode()


class ReceiptTracker:
    """Counts the positions that each layer has run and checks new receipts.

    :param layer_count: number of layers of the model.
    :param position: number of positions that all layers have run already.
    """

    def __init__(self, layer_count: int, position: int = 0) -> None:
        """Create a tracker that expects a receipt of layer 0 at ``position``."""
        self._next_position_by_layer = [position for _ in range(layer_count)]
        self._digest = xxhash.xxh3_64()

    @property
    def position(self) -> int:
        """Return the first position that the last layer has not run."""
        return self._next_position_by_layer[-1]

    @property
    def digest(self) -> str:
        """Return the digest of all accepted receipts."""
        return self._digest.hexdigest()

    def position_at(self, layer: int) -> int:
        """Return the first position that a layer has not run."""
        return self._next_position_by_layer[layer]

    def accept(self, receipt: Receipt) -> str:
        """Check a receipt and count its positions if it is valid.

        :param receipt: the receipt.
        :returns: empty if it is accepted, else the reason of the rejection.
        """
        reason = self._rejection_reason(receipt)
        if reason:
            return reason
        self._digest.update(receipt.encoded())
        for layer in range(receipt.first_layer, receipt.stop_layer):
            self._next_position_by_layer[layer] += receipt.count
        return ''

    def rewind(self, position: int) -> None:
        """Expect layer 0 at ``position``, for a new attempt."""
        self._next_position_by_layer = [
            position for _ in self._next_position_by_layer
        ]

    def reset_layers(self, layers: LayerRange) -> None:
        """Expect these layers from position 0 again, as their cache is lost."""
        for layer in range(layers.start, layers.stop):
            self._next_position_by_layer[layer] = 0

    def _rejection_reason(self, receipt: Receipt) -> str:
        first = receipt.first_layer
        layers = range(first, receipt.stop_layer)
        if (
            not layers
            or first < 0
            or layers.stop > len(self._next_position_by_layer)
        ):
            return 'layer range'
        if receipt.count < 1:
            return 'count'
        positions = self._next_position_by_layer[first : receipt.stop_layer]
        if any(position != receipt.position for position in positions):
            return 'position'
        stop_position = receipt.position + receipt.count
        if first and self._next_position_by_layer[first - 1] < stop_position:
            return 'layer order'
        return ''
