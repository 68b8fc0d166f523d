"""Receipts: proof that every layer ran once, in order, for each token."""

from __future__ import annotations

import dataclasses

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class Receipt:
    """What a stage says it ran.

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


class ReceiptLedger:
    """Checks receipts as they come and keeps their digest."""

    def __init__(self, layer_count: int) -> None:
        """Expect layer 0 of position 0.

        :param layer_count: layers of the model.
        """
        self._layer_count = layer_count
        self._next_layer = 0
        self._position = 0
        self._count = 0
        self._digest = xxhash.xxh3_64()

    @property
    def position(self) -> int:
        """Return the first position that no stage has run."""
        return self._position

    @property
    def next_layer(self) -> int:
        """Return the layer that must run next at the present position."""
        return self._next_layer

    @property
    def digest(self) -> str:
        """Return the digest of all accepted receipts."""
        return self._digest.hexdigest()

    def accept(self, receipt: Receipt) -> str:
        """Take a receipt.

        :returns: empty if it is the one that must come now, else the reason.
        """
        reason = self._fault(receipt)
        if reason:
            return reason
        self._digest.update(repr(dataclasses.astuple(receipt)).encode())
        self._count = receipt.count
        self._next_layer = receipt.stop_layer
        if self._next_layer == self._layer_count:
            self._position += receipt.count
            self._next_layer = 0
            self._count = 0
        return ''

    def rewind(self, position: int) -> None:
        """Expect layer 0 of an earlier position again, for a new attempt."""
        self._position = position
        self._next_layer = 0
        self._count = 0

    def _fault(self, receipt: Receipt) -> str:
        if receipt.position != self._position:
            return 'position'
        if receipt.first_layer != self._next_layer:
            return 'layer order'
        if not receipt.first_layer < receipt.stop_layer <= self._layer_count:
            return 'layer range'
        if receipt.count < 1 or self._count not in {0, receipt.count}:
            return 'count'
        return ''
