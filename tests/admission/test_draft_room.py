"""Tests of the memory reserved for drafts."""

from __future__ import annotations

import unittest

from nutmegspoke.admission.draft_room import (
    AnswerLengths,
    MemoryReservations,
    Reservation,
    sum_reservations,
)
from nutmegspoke.layers import LayerRange, Stage

_CHAIN = (
    Stage('x', 'x:1', LayerRange(0, 20)),
    Stage('y', 'y:1', LayerRange(20, 80)),
)


class MemoryReservationsTest(unittest.TestCase):
    """Reservations count tokens times layers on each engine of a chain."""

    def test_reserve_and_release(self) -> None:
        """Released reservations are removed completely."""
        reservations = MemoryReservations()
        reservations.reserve('r1', _CHAIN, 100.0)
        self.assertEqual(
            reservations.total_reservations(),
            {'x': Reservation(2_000.0, 1, 1), 'y': Reservation(6_000.0, 1)},
        )
        reservations.release('r1')
        reservations.release('r1')
        self.assertEqual(reservations.total_reservations(), {})

    def test_second_chain_replaces_the_first(self) -> None:
        """A draft that changes its chain reserves nothing on the old one."""
        reservations = MemoryReservations()
        reservations.reserve('r1', _CHAIN, 100.0)
        reservations.reserve('r1', _CHAIN[:1], 10.0)
        self.assertEqual(
            reservations.total_reservations(), {'x': Reservation(200.0, 1, 1)}
        )

    def test_a_moved_reservation_is_counted_once(self) -> None:
        """A moved reservation is released under its new id only."""
        reservations = MemoryReservations()
        reservations.reserve('r1', _CHAIN, 100.0)
        reservations.reserve('r2', _CHAIN, 50.0)
        reservations.move('r1', 'r2')
        reservations.move('r1', 'r2')
        reservations.release('r1')
        self.assertEqual(
            reservations.total_reservations(),
            {'x': Reservation(2_000.0, 1, 1), 'y': Reservation(6_000.0, 1)},
        )
        reservations.release('r2')
        self.assertEqual(reservations.total_reservations(), {})

    def test_sums_over_daemons(self) -> None:
        """Reservations of several daemons on the same engine are summed up."""
        by_daemon = ({'x': Reservation(1.0, 1)}, {'x': Reservation(2.0, 3)}, {})
        self.assertEqual(
            sum_reservations(by_daemon), {'x': Reservation(3.0, 4)}
        )


class AnswerLengthsTest(unittest.TestCase):
    """Estimates lie between the caller's estimate and the mean of the route."""

    def test_hint_counts_half(self) -> None:
        """The caller's estimate counts half, within the maximum length."""
        lengths = AnswerLengths(200.0)
        self.assertEqual(lengths.expected_tokens('r', 0, None), 200.0)
        self.assertEqual(lengths.expected_tokens('r', 0, 400.0), 300.0)
        self.assertEqual(lengths.expected_tokens('r', 100, 400.0), 100.0)

    def test_adapts_to_the_answers_of_a_route(self) -> None:
        """Many short answers lower the estimate of their route only."""
        lengths = AnswerLengths(200.0)
        for _ in range(200):
            lengths.add_length('short', 50.0)
        self.assertLess(lengths.expected_tokens('short', 0, None), 51.0)
        self.assertEqual(lengths.expected_tokens('other', 0, None), 200.0)
