"""Tests of engines that change their layers."""

from __future__ import annotations

import unittest

from nutmegspoke.layers import LayerRange
from nutmegspoke.membership.layer_moves import LayerReassignments
from tests import builders_edge as build


class LayerMovesTest(unittest.TestCase):
    """Pattern: a loss under load. Engines are moved while drafts come.

    Seen on the bench: drafts went to an engine for layers that it had given
    up, until its row said so.
    """

    def setUp(self) -> None:
        """Order an engine of layers 0 to 10 to hold 5 to 20."""
        self.entry = build.target('x', layers=LayerRange(0, 10))
        self.reassignments = LayerReassignments()
        self.reassignments.ordered('x', LayerRange(5, 20), 4.0, 10.0)

    def test_only_kept_layers_are_used(self) -> None:
        """Those given up and those still loading are not."""
        self.assertEqual(
            self.reassignments.usable_layers(self.entry, 10.0),
            LayerRange(5, 10),
        )
        self.assertEqual(
            self.reassignments.max_held_layers(self.entry, 10.0), 15
        )

    def test_no_layer_is_kept(self) -> None:
        """An engine that keeps none runs nothing meanwhile."""
        self.reassignments.ordered('x', LayerRange(40, 50), 4.0, 10.0)
        self.assertIsNone(self.reassignments.usable_layers(self.entry, 10.0))

    def test_its_own_list_ends_the_change(self) -> None:
        """The row that shows the new layers is believed."""
        done = build.target('x', layers=LayerRange(5, 20))
        self.assertEqual(
            self.reassignments.usable_layers(done, 10.0), LayerRange(5, 20)
        )

    def test_an_order_that_was_lost(self) -> None:
        """After a while the row is believed as it is."""
        self.assertEqual(
            self.reassignments.usable_layers(self.entry, 14.0),
            LayerRange(0, 10),
        )
        self.assertEqual(
            self.reassignments.max_held_layers(self.entry, 14.0), 10
        )

    def test_others_hear_of_it(self) -> None:
        """What the leader tells is what it knows."""
        other = LayerReassignments()
        other.heard(self.reassignments.pending(11.0), 11.0)
        self.assertEqual(
            other.usable_layers(self.entry, 13.9), LayerRange(5, 10)
        )
        self.assertEqual(
            other.usable_layers(self.entry, 14.1), LayerRange(0, 10)
        )
        self.assertEqual(self.reassignments.pending(15.0), {})

    def test_refused_orders_are_forgotten(self) -> None:
        """An engine that refused holds what it held."""
        self.reassignments.forget('x')
        self.assertEqual(
            self.reassignments.usable_layers(self.entry, 10.0),
            LayerRange(0, 10),
        )
