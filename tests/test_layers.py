"""Tests of layer ranges."""

from __future__ import annotations

import unittest

from nutmegspoke.layers import LayerRange, covers


class LayerRangeTest(unittest.TestCase):
    """Parsing and covering."""

    def test_parses_a_half_open_range(self) -> None:
        """A range has its first layer and the one after its last."""
        self.assertEqual(LayerRange.from_text('2-5'), LayerRange(2, 5))

    def test_refuses_what_is_no_range(self) -> None:
        """Empty, reversed and non-numeric ranges are refused."""
        for text in ('', '5', '5-5', '6-5', 'a-b', '-1-3'):
            self.assertIsNone(LayerRange.from_text(text))

    def test_covers_needs_every_layer_once_in_order(self) -> None:
        """A gap, an overlap or a wrong order is no cover."""
        whole = (LayerRange(0, 4), LayerRange(4, 12))
        self.assertTrue(covers(whole, 12))
        self.assertFalse(covers(whole[::-1], 12))
        self.assertFalse(covers((LayerRange(0, 4), LayerRange(5, 12)), 12))
        self.assertFalse(covers((LayerRange(0, 5), LayerRange(4, 12)), 12))
