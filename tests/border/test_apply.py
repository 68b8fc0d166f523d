"""Tests of changes against a table service that fails."""

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
    """Races and lost answers."""

    async def asyncSetUp(self) -> None:
        """Bring two routes into force."""
        self.service = build.FakeTableService()
        told = await self._apply(_BASE, 'setup')
        self.assertIsInstance(told, Accepted)

    async def test_accepted_change_is_read_back_whole(self) -> None:
        """Revision, rows and record belong together."""
        found = await read_snapshot(self.service)
        self.assertEqual(found.tables.revision, 1)
        self.assertEqual(found.tables.routes, _BASE.routes)
        self.assertEqual(found.tables.pools, _BASE.pools)
        (record,) = await read_changes(self.service, 1, 1)
        self.assertEqual((record.operator, record.base_revision), ('ann', 0))
        self.assertEqual(await self._apply(_BASE), NoChange(1))

    async def test_different_rows_both_win(self) -> None:
        """A change of another row that came first is kept."""
        await self._race(self._with('a', 1))
        told = await self._apply(self._with('b', 2))
        self.assertEqual(told.record.revision, 3)
        self.assertEqual(await self._priorities(), {'a': 1, 'b': 2})

    async def test_same_row_shows_the_first_change(self) -> None:
        """The second one is refused and nothing of it is written."""
        await self._race(self._with('a', 1))
        told = await self._apply(self._with('a', 2))
        self.assertIsInstance(told, RowConflict)
        self.assertEqual(told.keys, ('route/a',))
        self.assertEqual([other.operator for other in told.others], ['bob'])
        self.assertEqual(await self._priorities(), {'a': 1, 'b': 0})

    async def test_an_older_base_keeps_what_others_changed(self) -> None:
        """With a base, a file without others' changes takes none back."""
        await self._apply(self._with('a', 1), 'first')
        told = await self._apply(self._with('b', 2), 'second', base=1)
        self.assertEqual(told.record.base_revision, 1)
        self.assertEqual(await self._priorities(), {'a': 1, 'b': 2})
        refused = await self._apply(self._with('a', 5), 'third', base=1)
        self.assertEqual(refused.others[0].change_id, 'first')
        removed = build.build_tables(build.build_route('b'))
        refused = await self._apply(removed, 'fourth', base=1)
        self.assertEqual(refused.keys, ('route/a',))
        ahead = await self._apply(_BASE, base=9)
        self.assertIsInstance(ahead, NotAccepted)

    async def test_lost_answer_and_lost_request_are_settled(self) -> None:
        """Sending again tells what became of the first one."""
        for number, fault in enumerate(('answer lost', 'lost'), start=2):
            self.service.faults = [fault]
            told = await self._apply(self._with('a', number), f'id-{number}')
            self.assertIsInstance(told, Accepted)
            self.assertEqual(told.record.revision, number)
            self.assertEqual((await self._priorities())['a'], number)

    async def test_lost_request_that_another_overtook(self) -> None:
        """A change in doubt that lost its race is based anew."""
        other = await self._planned(self._with('b', 7))
        self.service.faults = ['lost']
        original = self.service.commit

        async def commit(transaction: object) -> object:
            told = await original(transaction)
            self.service.before_commit.append(other)
            return told

        self.service.commit = commit
        told = await self._apply(self._with('a', 1), 'mine')
        self.assertEqual(told.record.revision, 3)
        self.assertEqual(await self._priorities(), {'a': 1, 'b': 7})

    async def test_unknown_while_the_store_gives_no_answer(self) -> None:
        """The operator can ask again later, and is told the truth."""
        self.service.faults = ['lost'] * 4 + ['answer lost']
        told = await self._apply(self._with('a', 1), 'mine')
        self.assertIsInstance(told, AcceptanceUnknown)
        self.service.is_readable = False
        asked = await ask_outcome(self.service, 'mine', 2)
        self.assertIsInstance(asked, Unavailable)
        self.service.is_readable = True
        asked = await ask_outcome(self.service, 'mine', 2)
        self.assertEqual(asked, Accepted(told.record))
        self.assertIsNone(await ask_outcome(self.service, 'mine', 3))
        asked = await ask_outcome(self.service, 'other', 2)
        self.assertIsInstance(asked, NotAccepted)

    async def test_store_down_is_not_accepted(self) -> None:
        """Nothing was written, and the operator is told so."""
        self.service.faults = ['refused']
        told = await self._apply(self._with('a', 1))
        self.assertIsInstance(told, NotAccepted)
        self.service.is_readable = False
        told = await self._apply(self._with('a', 1))
        self.assertIsInstance(told, NotAccepted)
        self.service.is_readable = True
        self.assertEqual(await self._priorities(), {'a': 0, 'b': 0})

    async def test_torn_read_is_never_used(self) -> None:
        """Rows of another revision than the revision row's are refused."""
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

    async def _race(self, wanted: object) -> None:
        self.service.before_commit = [await self._planned(wanted)]

    async def _planned(self, wanted: object) -> object:
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
