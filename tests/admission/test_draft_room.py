"""Tests of the account of memory that drafts take."""

from __future__ import annotations

import unittest

from nutmegspoke.admission.draft_room import (
    AnswerLengths,
    Reservation,
    MemoryReservations,
    sum_reservations,
)
from nutmegspoke.layers import LayerRange, Stage

_CHAIN = (
    Stage('x', 'x:1', LayerRange(0, 20)),
    Stage('y', 'y:1', LayerRange(20, 80)),
)


class MemoryReservationsTest(unittest.TestCase):
    """Counts tokens times layers on each engine of a chain."""

    def test_promise_and_release(self) -> None:
        """A released promise leaves nothing behind."""
        ledger = MemoryReservations()
        ledger.reserve('r1', _CHAIN, 100.0)
        self.assertEqual(
            ledger.promised(),
            {'x': Reservation(2_000.0, 1, 1), 'y': Reservation(6_000.0, 1)},
        )
        ledger.release('r1')
        ledger.release('r1')
        self.assertEqual(ledger.promised(), {})

    def test_second_chain_replaces_the_first(self) -> None:
        """A draft that goes on elsewhere holds no room where it was."""
        ledger = MemoryReservations()
        ledger.reserve('r1', _CHAIN, 100.0)
        ledger.reserve('r1', _CHAIN[:1], 10.0)
        self.assertEqual(ledger.promised(), {'x': Reservation(200.0, 1, 1)})

    def test_sums_over_daemons(self) -> None:
        """The same engine's promises add up."""
        boards = ({'x': Reservation(1.0, 1)}, {'x': Reservation(2.0, 3)}, {})
        self.assertEqual(sum_reservations(boards), {'x': Reservation(3.0, 4)})


class AnswerLengthsTest(unittest.TestCase):
    """Expects answers between the caller's guess and the route's mean."""

    def test_hint_counts_half(self) -> None:
        """A guess far off is pulled to the mean, within the limit."""
        lengths = AnswerLengths(200.0)
        self.assertEqual(lengths.expect('r', 0, None), 200.0)
        self.assertEqual(lengths.expect('r', 0, 400.0), 300.0)
        self.assertEqual(lengths.expect('r', 100, 400.0), 100.0)

    def test_learns_a_route(self) -> None:
        """Many short answers lower the expectation of their route only."""
        lengths = AnswerLengths(200.0)
        for _ in range(200):
            lengths.ended('short', 50.0)
        self.assertLess(lengths.expect('short', 0, None), 51.0)
        self.assertEqual(lengths.expect('other', 0, None), 200.0)
