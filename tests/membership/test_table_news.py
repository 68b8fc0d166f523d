"""Tests of passing changes of a table on."""

from __future__ import annotations

import random
import unittest

from nutmegspoke.membership.table_news import (
    RecentChanges,
    TableUpdate,
    find_new_changes,
)
from nutmegspoke.metadata_store import StoredRow, TableChanges


def _changes(
    version: int,
    rows: dict[str, int] | None = None,
    removed: tuple[str, ...] = (),
) -> TableChanges:
    return TableChanges(
        version,
        tuple(
            StoredRow(f't/{name}', changed, b'%d' % changed)
            for name, changed in (rows or {}).items()
        ),
        removed,
        version,
    )


def _told(changes: TableChanges) -> frozenset[str]:
    names = [row.key.partition('/')[2] for row in changes.rows]
    return frozenset((*names, *changes.removed))


class TableNewsTest(unittest.TestCase):
    """A receiver ends up with what the reader knows."""

    def setUp(self) -> None:
        """Read three answers of a feed."""
        self.recent = RecentChanges()
        self.recent.listed(_changes(10))
        self._read(10, _changes(13, {'x': 12}))
        self._read(13, _changes(15, {}, ('x',)), now_s=1.0)
        self._read(15, _changes(20, {'x': 17, 'y': 20}), now_s=2.0)

    def _read(
        self, since: int, changes: TableChanges, now_s: float = 0.0
    ) -> None:
        self.recent.read(since, changes, _told(changes), now_s)

    def _news(self, now_s: float = 2.5) -> TableUpdate:
        news = self.recent.news('h', 't', -1.0, now_s)
        assert news is not None
        return news

    def test_only_what_is_new(self) -> None:
        """A receiver that has all but the last answer gets that one."""
        found = find_new_changes(self._news(), 15)
        assert found is not None
        self.assertEqual([row.key for row in found.rows], ['t/x', 't/y'])
        self.assertEqual((found.version, found.removed), (20, ()))

    def test_known_changes_are_not_told_again(self) -> None:
        """Of an answer that is known in part only the rest is new."""
        found = find_new_changes(self._news(), 17)
        assert found is not None
        self.assertEqual([row.key for row in found.rows], ['t/y'])

    def test_a_row_that_came_back_stays(self) -> None:
        """Pattern: news are lost while a target leaves and returns."""
        found = find_new_changes(self._news(), 11)
        assert found is not None
        self.assertEqual(found.removed, ())
        self.assertEqual(found.rows[0], StoredRow('t/x', 17, b'17'))

    def test_a_gap_is_not_papered_over(self) -> None:
        """Who missed more than is told reads the store."""
        self.assertIsNone(find_new_changes(self._news(), 9))
        self.assertIsNone(find_new_changes(self._news(), None))
        self.assertIsNone(find_new_changes(self._news(), 20))

    def test_old_answers_are_forgotten(self) -> None:
        """Some seconds are told, no more."""
        self._read(20, _changes(25), now_s=4.5)
        self.assertEqual(self._news(4.5).since, 15)

    def test_silence_is_news_too(self) -> None:
        """Pattern: a calm day. Nothing changes, and nobody need look."""
        news = self._news(60.0)
        self.assertEqual((news.since, news.version), (20, 20))
        self.assertIsNone(find_new_changes(news, 20))
        self.assertIsNone(RecentChanges().news('h', 't', -1.0, 0.0))

    def test_too_much_for_a_datagram(self) -> None:
        """Pattern: a zone goes down. Receivers read the store themselves."""
        rows = {f'z{number}': 21 for number in range(40)}
        self._read(20, _changes(21, rows), now_s=2.1)
        news = self._news()
        self.assertEqual((news.since, news.version), (21, 21))
        self.assertIsNone(find_new_changes(news, 20))

    def test_heartbeats_cost_no_bytes(self) -> None:
        """Rows that mean nothing only raise the version."""
        self.recent.read(20, _changes(90, {'x': 90}), frozenset(), 60.0)
        news = self._news(60.0)
        self.assertEqual((news.changes, news.version), ((), 90))

    def test_any_loss_of_news(self) -> None:
        """Receivers agree with the reader after any loss and any order."""
        for seed in range(60):
            with self.subTest(seed):
                self._play(random.Random(seed))

    def _play(self, source: random.Random) -> None:
        """Let a receiver hear a random part of the news."""
        recent = RecentChanges()
        recent.listed(_changes(1))
        store: dict[str, int] = {}
        known: dict[str, int] = {}
        version, own = 1, 1
        for step in range(60):
            since = version
            version += source.randrange(1, 5)
            name = source.choice('abc')
            if name in store and source.random() < 0.4:
                store.pop(name)
                changes = _changes(version, {}, (name,))
            else:
                store[name] = version
                changes = _changes(version, {name: version})
            recent.read(since, changes, _told(changes), step * 0.4)
            news = recent.news('h', 't', -1.0, step * 0.4)
            if source.random() < 0.6 or news is None:
                continue
            found = find_new_changes(news, own)
            if found is None:
                known, own = dict(store), version
                continue
            own = found.version
            for row in found.rows:
                known[row.key.partition('/')[2]] = row.version
            for gone in found.removed:
                known.pop(gone, None)
            self.assertEqual(known, store)
