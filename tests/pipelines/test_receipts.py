"""Tests of receipts."""

from __future__ import annotations

import dataclasses
import unittest

from nutmegspoke.layers import LayerRange
from nutmegspoke.pipelines.receipts import Receipt, ReceiptTracker


def receipt(layers: str, position: int = 0, count: int = 1) -> Receipt:
    """Build a receipt."""
    layer_range = LayerRange.from_text(layers)
    return Receipt('a', 1, position, count, layer_range.start, layer_range.stop)


class ReceiptTrackerTest(unittest.TestCase):
    """Each layer runs each position once, after the previous layer."""

    def setUp(self) -> None:
        """Accept three positions of the first two of six layers."""
        self.tracker = ReceiptTracker(6)
        self.assertEqual(self.tracker.accept(receipt('0-2', count=3)), '')

    def test_invalid_receipts_are_rejected(self) -> None:
        """A layer that is repeated, skipped, out of range or without input."""
        invalid = {
            receipt('0-2', count=3): 'position',
            receipt('0-2', position=4): 'position',
            receipt('1-3', count=3): 'position',
            receipt('3-6', count=3): 'layer order',
            receipt('2-4', count=4): 'layer order',
            receipt('2-4', count=0): 'count',
            receipt('2-7', count=3): 'layer range',
        }
        reversed_layers = dataclasses.replace(receipt('2-4'), stop_layer=2)
        invalid[reversed_layers] = 'layer range'
        before = self.tracker.digest
        for receipt_, reason in invalid.items():
            self.assertEqual(self.tracker.accept(receipt_), reason)
        self.assertEqual(self.tracker.digest, before)

    def test_a_position_counts_after_the_last_layer(self) -> None:
        """A position counts after the last layer has run; the digest changes."""
        self.tracker.accept(receipt('2-4', count=3))
        self.assertEqual(self.tracker.position, 0)
        self.tracker.accept(receipt('4-6', count=3))
        self.assertEqual(
            (self.tracker.position, self.tracker.position_at(0)), (3, 3)
        )
        other = ReceiptTracker(6, position=3)
        self.assertEqual(other.accept(receipt('0-6', position=3)), '')
        self.assertNotEqual(other.digest, self.tracker.digest)

    def test_lost_layers_are_run_again(self) -> None:
        """Only lost layers are expected from position 0 again."""
        for layers in ('2-4', '4-6'):
            self.tracker.accept(receipt(layers, count=3))
        self.tracker.accept(receipt('0-2', position=3))
        self.tracker.reset_layers(LayerRange(2, 4))
        self.assertEqual(self.tracker.accept(receipt('2-4', count=4)), '')
        self.assertEqual(self.tracker.accept(receipt('4-6', position=3)), '')
        self.assertEqual(self.tracker.position, 4)
