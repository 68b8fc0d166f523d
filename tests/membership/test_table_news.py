"""Tests of forwarding changes of a table."""

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


def _row_names(changes: TableChanges) -> frozenset[str]:
    names = [row.key.partition('/')[2] for row in changes.rows]
    return frozenset((*names, *changes.removed))


class TableNewsTest(unittest.TestCase):
    """A receiver reaches the same state as the reader."""

    def setUp(self) -> None:
        """Add three answers of a feed."""
        self.recent = RecentChanges()
        self.recent.reset(_changes(10))
        self._read(10, _changes(13, {'x': 12}))
        self._read(13, _changes(15, {}, ('x',)), now_s=1.0)
        self._read(15, _changes(20, {'x': 17, 'y': 20}), now_s=2.0)

    def _read(
        self, since: int, changes: TableChanges, now_s: float = 0.0
    ) -> None:
        self.recent.add_answer(since, changes, _row_names(changes), now_s)

    def _current_update(self, now_s: float = 2.5) -> TableUpdate:
        update = self.recent.build_update('h', 't', -1.0, now_s, now_s)
        assert update is not None
        return update

    def test_only_what_is_new(self) -> None:
        """A receiver that lacks only the last answer gets just that one."""
        found = find_new_changes(self._current_update(), 15)
        assert found is not None
        self.assertEqual([row.key for row in found.rows], ['t/x', 't/y'])
        self.assertEqual((found.version, found.removed), (20, ()))

    def test_known_changes_are_not_returned_again(self) -> None:
        """If an answer is partly known, only the rest is returned."""
        found = find_new_changes(self._current_update(), 17)
        assert found is not None
        self.assertEqual([row.key for row in found.rows], ['t/y'])

    def test_a_row_that_came_back_stays(self) -> None:
        """Guards against removing a row that was written again.

        Updates are lost while a target leaves and returns.
        """
        found = find_new_changes(self._current_update(), 11)
        assert found is not None
        self.assertEqual(found.removed, ())
        self.assertEqual(found.rows[0], StoredRow('t/x', 17, b'17'))

    def test_an_update_after_a_gap_is_ignored(self) -> None:
        """A receiver that missed more changes must read the store."""
        self.assertIsNone(find_new_changes(self._current_update(), 9))
        self.assertIsNone(find_new_changes(self._current_update(), None))
        self.assertIsNone(find_new_changes(self._current_update(), 20))

    def test_old_answers_are_forgotten(self) -> None:
        """Answers older than 3 s are not repeated."""
        self._read(20, _changes(25), now_s=4.5)
        self.assertEqual(self._current_update(4.5).since, 15)

    def test_an_update_without_changes(self) -> None:
        """Guards against reads of the store while nothing changes."""
        update = self._current_update(60.0)
        self.assertEqual((update.since, update.version), (20, 20))
        self.assertIsNone(find_new_changes(update, 20))
        self.assertIsNone(
            RecentChanges().build_update('h', 't', -1.0, 0.0, 0.0)
        )

    def test_changes_that_exceed_a_datagram(self) -> None:
        """Guards against oversized datagrams when a whole zone is lost.

        Receivers read the store themselves.
        """
        rows = {f'z{number}': 21 for number in range(40)}
        self._read(20, _changes(21, rows), now_s=2.1)
        update = self._current_update()
        self.assertEqual((update.since, update.version), (21, 21))
        self.assertIsNone(find_new_changes(update, 20))

    def test_heartbeats_are_not_forwarded(self) -> None:
        """Insignificant changes only raise the version."""
        self.recent.add_answer(20, _changes(90, {'x': 90}), frozenset(), 60.0)
        update = self._current_update(60.0)
        self.assertEqual((update.changes, update.version), ((), 90))

    def test_any_loss_of_updates(self) -> None:
        """Receivers agree with the reader after any sequence of losses."""
        for seed in range(60):
            with self.subTest(seed):
                self._play_losses(random.Random(seed))

    def _play_losses(self, source: random.Random) -> None:
        """Deliver a random part of the updates to a receiver."""
        recent = RecentChanges()
        recent.reset(_changes(1))
        store: dict[str, int] = {}
        known: dict[str, int] = {}
        version, receiver_version = 1, 1
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
            recent.add_answer(since, changes, _row_names(changes), step * 0.4)
            update = recent.build_update('h', 't', -1.0, step * 0.4, step * 0.4)
            if source.random() < 0.6 or update is None:
                continue
            found = find_new_changes(update, receiver_version)
            if found is None:
                known, receiver_version = dict(store), version
                continue
            receiver_version = found.version
            for row in found.rows:
                known[row.key.partition('/')[2]] = row.version
            for gone in found.removed:
                known.pop(gone, None)
            self.assertEqual(known, store)
