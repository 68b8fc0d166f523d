"""Tests of table changes with races and failures of the table service."""

from __future__ import annotations

import unittest

from nutmegspoke.border.apply import AcceptanceUnknown, apply_tables
from nutmegspoke.border.table_reads import (
    Accepted,
    NotAccepted,
    ask_outcome,
    read_changes,
    read_snapshot,
)
from nutmegspoke.metadata_store import StoredRow, Unavailable
from nutmegspoke.tables import codec, snapshot
from nutmegspoke.tables.apply import NoChange, RowConflict, rebase
from nutmegspoke.tables.changes import row_changes
from tests import builders_tables as build

_BASE = build.build_tables(build.build_route('a'), build.build_route('b'))


class ApplyTest(unittest.IsolatedAsyncioTestCase):
    """Concurrent changes, lost requests and lost answers."""

    async def asyncSetUp(self) -> None:
        """Apply two routes as revision 1."""
        self.service = build.FakeTableService()
        result = await self._apply(_BASE, 'setup')
        self.assertIsInstance(result, Accepted)

    async def test_accepted_change_is_read_back_whole(self) -> None:
        """Revision, rows and change record are consistent."""
        found = await read_snapshot(self.service)
        self.assertEqual(found.tables.revision, 1)
        self.assertEqual(found.tables.routes, _BASE.routes)
        self.assertEqual(found.tables.pools, _BASE.pools)
        (record,) = await read_changes(self.service, 1, 1)
        self.assertEqual((record.operator, record.base_revision), ('ann', 0))
        self.assertEqual(await self._apply(_BASE), NoChange(1))

    async def test_different_rows_both_win(self) -> None:
        """An earlier change of another row is kept."""
        await self._commit_first(self._with('a', 1))
        result = await self._apply(self._with('b', 2))
        self.assertEqual(result.record.revision, 3)
        self.assertEqual(await self._priorities(), {'a': 1, 'b': 2})

    async def test_same_row_shows_the_first_change(self) -> None:
        """The second change is refused, and none of it is written."""
        await self._commit_first(self._with('a', 1))
        result = await self._apply(self._with('a', 2))
        self.assertIsInstance(result, RowConflict)
        self.assertEqual(result.keys, ('route/a',))
        self.assertEqual([other.operator for other in result.others], ['bob'])
        self.assertEqual(await self._priorities(), {'a': 1, 'b': 0})

    async def test_an_older_base_keeps_what_others_changed(self) -> None:
        """A file made from an older base does not revert later changes."""
        await self._apply(self._with('a', 1), 'first')
        result = await self._apply(self._with('b', 2), 'second', base=1)
        self.assertEqual(result.record.base_revision, 1)
        self.assertEqual(await self._priorities(), {'a': 1, 'b': 2})
        refused = await self._apply(self._with('a', 5), 'third', base=1)
        self.assertEqual(refused.others[0].change_id, 'first')
        removed = build.build_tables(build.build_route('b'))
        refused = await self._apply(removed, 'fourth', base=1)
        self.assertEqual(refused.keys, ('route/a',))
        ahead = await self._apply(_BASE, base=9)
        self.assertIsInstance(ahead, NotAccepted)

    async def test_lost_answer_and_lost_request_are_settled(self) -> None:
        """A retry determines the outcome of the first attempt."""
        for number, fault in enumerate(('answer lost', 'lost'), start=2):
            self.service.faults = [fault]
            result = await self._apply(self._with('a', number), f'id-{number}')
            self.assertIsInstance(result, Accepted)
            self.assertEqual(result.record.revision, number)
            self.assertEqual((await self._priorities())['a'], number)

    async def test_lost_request_that_another_overtook(self) -> None:
        """A change in doubt is rebased if another change was committed first."""
        other = await self._plan_transaction(self._with('b', 7))
        self.service.faults = ['lost']
        original = self.service.commit

        async def commit(transaction: object) -> object:
            result = await original(transaction)
            self.service.before_commit.append(other)
            return result

        self.service.commit = commit
        result = await self._apply(self._with('a', 1), 'mine')
        self.assertEqual(result.record.revision, 3)
        self.assertEqual(await self._priorities(), {'a': 1, 'b': 7})

    async def test_unknown_while_the_store_gives_no_answer(self) -> None:
        """The outcome can be looked up once the store is available again."""
        self.service.faults = ['lost'] * 4 + ['answer lost']
        result = await self._apply(self._with('a', 1), 'mine')
        self.assertIsInstance(result, AcceptanceUnknown)
        self.service.is_readable = False
        outcome = await ask_outcome(self.service, 'mine', 2)
        self.assertIsInstance(outcome, Unavailable)
        self.service.is_readable = True
        outcome = await ask_outcome(self.service, 'mine', 2)
        self.assertEqual(outcome, Accepted(result.record))
        self.assertIsNone(await ask_outcome(self.service, 'mine', 3))
        outcome = await ask_outcome(self.service, 'other', 2)
        self.assertIsInstance(outcome, NotAccepted)

    async def test_store_down_is_not_accepted(self) -> None:
        """Nothing is written, and the change is reported as not accepted."""
        self.service.faults = ['refused']
        result = await self._apply(self._with('a', 1))
        self.assertIsInstance(result, NotAccepted)
        self.service.is_readable = False
        result = await self._apply(self._with('a', 1))
        self.assertIsInstance(result, NotAccepted)
        self.service.is_readable = True
        self.assertEqual(await self._priorities(), {'a': 0, 'b': 0})

    async def test_torn_read_is_never_used(self) -> None:
        """Rows that don't belong to the revision row's revision are refused."""
        old = dict(self.service.rows)
        await self._apply(self._with('a', 1))
        new = dict(self.service.rows)
        for rows in (
            {**old, codec.REVISION_KEY: new[codec.REVISION_KEY]},
            {**new, codec.REVISION_KEY: old[codec.REVISION_KEY]},
            {**new, codec.REVISION_KEY: StoredRow(codec.REVISION_KEY, 0)},
        ):
            self.service.rows = rows
            found = await read_snapshot(self.service)
            self.assertIsInstance(found, Unavailable)

    async def _apply(
        self,
        wanted: object,
        change_id: str = 'change-1',
        base: int | None = None,
    ) -> object:
        author = build.build_author(change_id=change_id)
        return await apply_tables(
            self.service,
            wanted,
            author,
            base,
            build.no_pause,
        )

    async def _commit_first(self, wanted: object) -> None:
        self.service.before_commit = [await self._plan_transaction(wanted)]

    async def _plan_transaction(self, wanted: object) -> object:
        current = await read_snapshot(self.service)
        difference = row_changes(
            current.bodies(),
            snapshot.encode_bodies(wanted),
        )
        author = build.build_author('bob', 'race')
        return rebase(current, difference, (), 1, author).transaction

    async def _priorities(self) -> dict[str, int]:
        found = await read_snapshot(self.service)
        return {row.name: row.priority for row in found.tables.routes}

    def _with(self, name: str, priority: int) -> object:
        return build.build_tables(
            *(
                build.build_route(
                    row.name,
                    priority=priority if row.name == name else 0,
                )
                for row in _BASE.routes
            ),
        )
