"""Tests of the news between daemons."""

from __future__ import annotations

import unittest

from nutmegspoke.admission.draft_room import Promise
from nutmegspoke.membership.load_news import (
    SILENCE_LIMIT_S,
    LoadUpdates,
    LoadUpdate,
)


def _news(
    host: str, number: int = 1, started_ms: int = 1, **changes: object
) -> LoadUpdate:
    reservations = {'x': (100.0 * number, number)}
    return LoadUpdate(host, started_ms, number, reservations, **changes)


class LoadBoardTest(unittest.TestCase):
    """Keeps the newest news of each daemon while it is heard."""

    def test_sums_the_newest(self) -> None:
        """Each daemon counts once, by its last news."""
        board = LoadUpdates()
        board.receive(_news('a', 1), 0.0)
        board.receive(_news('a', 2), 0.1)
        board.receive(_news('b', 1), 0.1)
        self.assertEqual(board.promised(0.2), {'x': Promise(300.0, 3)})

    def test_older_news_are_dropped(self) -> None:
        """Datagrams may overtake each other."""
        board = LoadUpdates()
        self.assertTrue(board.receive(_news('a', 2), 0.0))
        self.assertFalse(board.receive(_news('a', 1), 0.1))
        self.assertTrue(board.receive(_news('a', 1, started_ms=2), 0.2))
        self.assertFalse(board.receive(_news('a', 9, started_ms=1), 0.3))

    def test_a_clock_set_back_between_two_lives(self) -> None:
        """Pattern: a daemon is restarted as its clock jumps back."""
        board = LoadUpdates()
        board.receive(_news('a', 50, started_ms=9_000), 0.0)
        self.assertFalse(board.receive(_news('a', 1, started_ms=4_000), 1.0))
        self.assertTrue(
            board.receive(_news('a', 2, started_ms=4_000), SILENCE_LIMIT_S),
        )

    def test_silent_daemons_don_t_count(self) -> None:
        """Pattern: a daemon is killed. Its promises end with it."""
        board = LoadUpdates()
        board.receive(_news('a', leads=True), 0.0)
        self.assertTrue(board.has_leader(1.0))
        later_s = SILENCE_LIMIT_S + 0.1
        self.assertEqual(board.promised(later_s), {})
        self.assertFalse(board.has_leader(later_s))
        self.assertEqual(board.daemons(later_s), 0)
        self.assertEqual(board.count_known_hosts(later_s), 1)
        self.assertEqual(board.count_known_hosts(100.0), 0)
