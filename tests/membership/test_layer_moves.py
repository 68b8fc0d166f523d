"""Tests of engines with reassigned layers."""

from __future__ import annotations

import unittest

from nutmegspoke.layers import LayerRange
from nutmegspoke.membership.layer_moves import LayerReassignments
from tests import builders_edge as build


class LayerMovesTest(unittest.TestCase):
    """Guards against drafts sent to an engine for layers that it has dropped.

    Engines are reassigned under load after a loss, and the row of an engine
    shows the change seconds later.
    """

    def setUp(self) -> None:
        """Order an engine of layers 0 to 10 to hold 5 to 20."""
        self.entry = build.target('x', layers=LayerRange(0, 10))
        self.reassignments = LayerReassignments()
        self.reassignments.record_order('x', LayerRange(5, 20), 4.0, 10.0)

    def test_only_kept_layers_are_used(self) -> None:
        """Dropped layers and layers still loading are not used."""
        self.assertEqual(
            self.reassignments.usable_layers(self.entry, 10.0),
            LayerRange(5, 10),
        )
        self.assertEqual(
            self.reassignments.max_held_layers(self.entry, 10.0), 15
        )

    def test_no_layer_is_kept(self) -> None:
        """An engine that keeps no layer is not usable meanwhile."""
        self.reassignments.record_order('x', LayerRange(40, 50), 4.0, 10.0)
        self.assertIsNone(self.reassignments.usable_layers(self.entry, 10.0))

    def test_listing_the_layers_ends_the_reassignment(self) -> None:
        """A row that shows the new layers is used as it is."""
        done = build.target('x', layers=LayerRange(5, 20))
        self.assertEqual(
            self.reassignments.usable_layers(done, 10.0), LayerRange(5, 20)
        )

    def test_an_order_that_was_lost(self) -> None:
        """After the timeout the row is used as it is."""
        self.assertEqual(
            self.reassignments.usable_layers(self.entry, 14.0),
            LayerRange(0, 10),
        )
        self.assertEqual(
            self.reassignments.max_held_layers(self.entry, 14.0), 10
        )

    def test_other_daemons_receive_it(self) -> None:
        """The leader's reassignments take effect at other daemons."""
        other = LayerReassignments()
        other.receive(self.reassignments.pending(11.0), 11.0)
        self.assertEqual(
            other.usable_layers(self.entry, 13.9), LayerRange(5, 10)
        )
        self.assertEqual(
            other.usable_layers(self.entry, 14.1), LayerRange(0, 10)
        )
        self.assertEqual(self.reassignments.pending(15.0), {})

    def test_refused_orders_are_forgotten(self) -> None:
        """An engine that refused keeps its layers."""
        self.reassignments.forget('x')
        self.assertEqual(
            self.reassignments.usable_layers(self.entry, 10.0),
            LayerRange(0, 10),
        )
