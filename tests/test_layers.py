"""Tests of layer ranges."""

from __future__ import annotations

import unittest

from nutmegspoke.layers import LayerRange, covers


class LayerRangeTest(unittest.TestCase):
    """Tests of parsing and of chain coverage."""

    def test_parses_a_half_open_range(self) -> None:
        """The text holds the first layer and the one after the last."""
        self.assertEqual(LayerRange.from_text('2-5'), LayerRange(2, 5))

    def test_refuses_what_is_no_range(self) -> None:
        """Empty, reversed and non-numeric ranges are rejected."""
        for text in ('', '5', '5-5', '6-5', 'a-b', '-1-3'):
            self.assertIsNone(LayerRange.from_text(text))

    def test_covers_needs_every_layer_once_in_order(self) -> None:
        """Ranges with a gap, an overlap or a wrong order don't cover."""
        complete = (LayerRange(0, 4), LayerRange(4, 12))
        self.assertTrue(covers(complete, 12))
        self.assertFalse(covers(complete[::-1], 12))
        self.assertFalse(covers((LayerRange(0, 4), LayerRange(5, 12)), 12))
        self.assertFalse(covers((LayerRange(0, 5), LayerRange(4, 12)), 12))
