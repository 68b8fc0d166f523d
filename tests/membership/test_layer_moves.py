"""Tests of engines that change their layers."""

from __future__ import annotations

import unittest

from nutmegspoke.layers import LayerRange
from nutmegspoke.membership.layer_moves import LayerMoves
from tests import builders_edge as build


class LayerMovesTest(unittest.TestCase):
    """Pattern: a loss under load. Engines are moved while drafts come.

    Seen on the bench: drafts went to an engine for layers that it had given
    up, until its row said so.
    """

    def setUp(self) -> None:
        """Order an engine of layers 0 to 10 to hold 5 to 20."""
        self.entry = build.target('x', layers=LayerRange(0, 10))
        self.moves = LayerMoves()
        self.moves.ordered('x', LayerRange(5, 20), 4.0, 10.0)

    def test_only_kept_layers_are_used(self) -> None:
        """Those given up and those still loading are not."""
        self.assertEqual(self.moves.usable(self.entry, 10.0), LayerRange(5, 10))
        self.assertEqual(self.moves.held_count(self.entry, 10.0), 15)

    def test_no_layer_is_kept(self) -> None:
        """An engine that keeps none runs nothing meanwhile."""
        self.moves.ordered('x', LayerRange(40, 50), 4.0, 10.0)
        self.assertIsNone(self.moves.usable(self.entry, 10.0))

    def test_its_own_list_ends_the_change(self) -> None:
        """The row that shows the new layers is believed."""
        done = build.target('x', layers=LayerRange(5, 20))
        self.assertEqual(self.moves.usable(done, 10.0), LayerRange(5, 20))

    def test_an_order_that_was_lost(self) -> None:
        """After a while the row is believed as it is."""
        self.assertEqual(self.moves.usable(self.entry, 14.0), LayerRange(0, 10))
        self.assertEqual(self.moves.held_count(self.entry, 14.0), 10)

    def test_others_hear_of_it(self) -> None:
        """What the leader tells is what it knows."""
        other = LayerMoves()
        other.heard(self.moves.under_way(11.0), 11.0)
        self.assertEqual(other.usable(self.entry, 13.9), LayerRange(5, 10))
        self.assertEqual(other.usable(self.entry, 14.1), LayerRange(0, 10))
        self.assertEqual(self.moves.under_way(15.0), {})

    def test_refused_orders_are_forgotten(self) -> None:
        """An engine that refused holds what it held."""
        self.moves.forget('x')
        self.assertEqual(self.moves.usable(self.entry, 10.0), LayerRange(0, 10))
