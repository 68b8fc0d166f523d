"""Tests of the news between daemons."""

from __future__ import annotations

import unittest

from nutmegspoke.admission.draft_room import Reservation
from nutmegspoke.membership.load_news import (
    SILENCE_LIMIT_S,
    LoadBoard,
    LoadNews,
)


def _news(
    host: str, number: int = 1, started_ms: int = 1, **changes: object
) -> LoadNews:
    promises = {'x': (100.0 * number, number)}
    return LoadNews(host, started_ms, number, promises, **changes)


class LoadBoardTest(unittest.TestCase):
    """Keeps the newest news of each daemon while it is heard."""

    def test_sums_the_newest(self) -> None:
        """Each daemon counts once, by its last news."""
        board = LoadBoard()
        board.take(_news('a', 1), 0.0)
        board.take(_news('a', 2), 0.1)
        board.take(_news('b', 1), 0.1)
        self.assertEqual(board.promised(0.2), {'x': Reservation(300.0, 3)})

    def test_older_news_are_dropped(self) -> None:
        """Datagrams may overtake each other."""
        board = LoadBoard()
        self.assertTrue(board.take(_news('a', 2), 0.0))
        self.assertFalse(board.take(_news('a', 1), 0.1))
        self.assertTrue(board.take(_news('a', 1, started_ms=2), 0.2))
        self.assertFalse(board.take(_news('a', 9, started_ms=1), 0.3))

    def test_a_clock_set_back_between_two_lives(self) -> None:
        """Pattern: a daemon is restarted as its clock jumps back."""
        board = LoadBoard()
        board.take(_news('a', 50, started_ms=9_000), 0.0)
        self.assertFalse(board.take(_news('a', 1, started_ms=4_000), 1.0))
        self.assertTrue(
            board.take(_news('a', 2, started_ms=4_000), SILENCE_LIMIT_S),
        )

    def test_silent_daemons_don_t_count(self) -> None:
        """Pattern: a daemon is killed. Its promises end with it."""
        board = LoadBoard()
        board.take(_news('a', leads=True), 0.0)
        self.assertTrue(board.has_leader(1.0))
        later_s = SILENCE_LIMIT_S + 0.1
        self.assertEqual(board.promised(later_s), {})
        self.assertFalse(board.has_leader(later_s))
        self.assertEqual(board.daemons(later_s), 0)
        self.assertEqual(board.hosts_known(later_s), 1)
        self.assertEqual(board.hosts_known(100.0), 0)
