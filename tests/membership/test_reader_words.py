"""Tests of what the readers of a table say of the store."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.reader_words import ReaderWords

_STEP_S = 0.4


class ReaderWordsTest(unittest.TestCase):
    """A failure of one reader is compared with what the others say."""

    def setUp(self) -> None:
        """Hear nobody."""
        self.words = ReaderWords()

    def _hear(self, host: str, begin_s: float, end_s: float) -> None:
        """Hear a reader whose calls are answered, from one time to another."""
        now_s = begin_s
        while now_s <= end_s:
            self.words.record(host, now_s - 0.1, -1.0, now_s)
            now_s += _STEP_S

    def test_a_reader_that_was_cut_off(self) -> None:
        """Guards against an outage that only one reader has seen.

        Targets that left after it were taken for lapsed entries.
        """
        self._hear('sound', 10.0, 20.0)
        self.words.record('cut', 20.1, 0.1, 20.2)
        self.assertTrue(self.words.is_own_failure('cut', 20.1, 20.2))

    def test_an_outage_of_the_store(self) -> None:
        """Readers that were heard before it only do not deny it."""
        self._hear('other', 10.0, 14.0)
        self.words.record('first', 20.1, 0.1, 20.2)
        self.assertFalse(self.words.is_own_failure('first', 20.1, 20.2))

    def test_readers_that_have_all_failed(self) -> None:
        """A reader with a failure of its own does not deny that of another."""
        self._hear('other', 10.0, 20.0)
        for host in ('other', 'first'):
            self.words.record(host, 20.1, 0.1, 20.2)
        self.assertFalse(self.words.is_own_failure('first', 20.1, 20.2))

    def test_a_reader_that_has_just_started(self) -> None:
        """Guards against a denial by one that made no call at that time."""
        self._hear('new', 20.0, 20.2)
        self.words.record('first', 20.1, 0.1, 20.2)
        self.assertFalse(self.words.is_own_failure('first', 20.1, 20.2))

    def test_a_reader_that_is_heard_alone(self) -> None:
        """What it said before does not deny its own failure."""
        self._hear('only', 10.0, 20.0)
        self.assertFalse(self.words.is_own_failure('only', 20.1, 20.2))
