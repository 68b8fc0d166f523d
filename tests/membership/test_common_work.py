"""Tests of the selection of daemons that work for all."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.common_work import (
    ALL_READ_LIMIT,
    READER_COUNT,
    rank,
    reads_store,
)

_NAMES = tuple(
    f'front-{zone}-{number}' for zone in 'abc' for number in range(27)
)


def _others(own: str, names: tuple[str, ...]) -> list[str]:
    return [name for name in names if name != own]


class CommonWorkTest(unittest.TestCase):
    """Daemons select themselves without messages between them."""

    def test_one_is_first(self) -> None:
        """Guards against 81 daemons reading the reports without a leader."""
        first = [
            name for name in _NAMES if not rank(name, _others(name, _NAMES))
        ]
        self.assertEqual(len(first), 1)

    def test_few_read_for_many(self) -> None:
        """Guards against 81 readers of a busy table, or readers in one zone."""
        readers = [
            name
            for name in _NAMES
            if reads_store(name, _others(name, _NAMES), len(_NAMES) - 1)
        ]
        self.assertEqual(len(readers), READER_COUNT)
        self.assertGreater(len({name.split('-')[1] for name in readers}), 1)

    def test_the_next_take_over(self) -> None:
        """Guards against a table without readers after all are killed."""
        known = len(_NAMES) - 1
        left = tuple(
            name
            for name in _NAMES
            if not reads_store(name, _others(name, _NAMES), known)
        )
        readers = [
            name
            for name in left
            if reads_store(name, _others(name, left), known)
        ]
        self.assertEqual(len(readers), READER_COUNT)

    def test_a_daemon_without_peers_reads(self) -> None:
        """Guards against a daemon without a reader on an isolated host."""
        for name in _NAMES:
            self.assertTrue(reads_store(name, (), len(_NAMES) - 1))

    def test_small_deployments_all_read(self) -> None:
        """Below the limit, every daemon reads the table itself."""
        names = _NAMES[: ALL_READ_LIMIT - 1]
        for name in names:
            self.assertTrue(
                reads_store(name, _others(name, names), len(names) - 1)
            )
