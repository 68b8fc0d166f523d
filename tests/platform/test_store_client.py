"""Tests of the store client against a local implementation of the protocol."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from nutmegspoke.bench.ports import find_free_ports
from nutmegspoke.http_calls import HttpCalls
from nutmegspoke.metadata_store import (
    Committed,
    Condition,
    Conflict,
    HistoryLost,
    InDoubt,
    StoredRow,
    TableChanges,
    Transaction,
    Unavailable,
    Write,
)
from nutmegspoke.platform.store_client import StoreClient
from nutmegspoke.standins.row_store import RowStore

_KEY = 'lease/layers'


def _build_write(body: bytes, version: int | None = None) -> Transaction:
    conditions = () if version is None else (Condition(_KEY, version),)
    return Transaction(conditions, (Write(_KEY, body),))


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """Reads, transactions and change feeds, with their failures."""

    async def asyncSetUp(self) -> None:
        """Start an empty store."""
        self.store = RowStore()
        (port,) = find_free_ports(1)
        runner = web.AppRunner(
            self.store.app(),
            access_log=None,
            shutdown_timeout=0.1,
        )
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', port).start()
        http = HttpCalls()
        self.addAsyncCleanup(http.close)
        self.client = StoreClient(f'127.0.0.1:{port}', http)

    async def test_reads_what_was_written(self) -> None:
        """A row reads back as written; an absent one has version 0.

        Guards against a read that returns the next key instead of an absent
        one, which the store's range query would do.
        """
        await self.store.put('lease', 'layerss', b'other')
        self.assertEqual(await self.client.read(_KEY), StoredRow(_KEY, 0))
        committed = await self.client.commit(_build_write(b'\x00\xff', 0))
        assert isinstance(committed, Committed)
        self.assertEqual(await self.client.read(_KEY), committed.rows[0])
        self.assertEqual(committed.rows[0].body, b'\x00\xff')

    async def test_a_conflict_tells_the_rows(self) -> None:
        """A conflict returns the current row, present or absent."""
        await self.store.put('lease', 'layers', b'a')
        result = await self.client.commit(_build_write(b'b', 0))
        assert isinstance(result, Conflict)
        self.assertEqual(result.rows, (StoredRow(_KEY, 1, b'a'),))
        missing = Transaction(
            (Condition('lease/none', 7),),
            (Write(_KEY, b'b'),),
        )
        result = await self.client.commit(missing)
        assert isinstance(result, Conflict)
        self.assertEqual(result.rows, (StoredRow('lease/none', 0),))

    async def test_a_lost_answer_leaves_a_doubt(self) -> None:
        """The outcome is in doubt although the write was applied."""
        self.store.faults.loses_answers = True
        result = await self.client.commit(_build_write(b'a', 0))
        self.assertIsInstance(result, InDoubt)
        self.assertEqual(self.store.body('lease', 'layers'), b'a')

    async def test_a_refusal_leaves_none(self) -> None:
        """Status 503 means that nothing was applied."""
        self.store.faults.refuses = True
        result = await self.client.commit(_build_write(b'a', 0))
        self.assertIsInstance(result, Unavailable)
        self.assertIsInstance(await self.client.read(_KEY), Unavailable)

    async def test_a_drop_is_a_write_without_body(self) -> None:
        """A write without a body removes the row; the feed reports it."""
        await self.store.put('lease', 'layers', b'a')
        removal = Transaction((Condition(_KEY, 1),), (Write(_KEY, None),))
        self.assertIsInstance(await self.client.commit(removal), Committed)
        fed_changes = await self.client.changes('lease', 1, 1.0)
        self.assertEqual(
            fed_changes, TableChanges(2, (), ('layers',), 2, era=1)
        )

    async def test_a_feed_waits_for_a_change(self) -> None:
        """The wait continues through changes of other tables."""
        waiting = asyncio.create_task(self.client.changes('lease', 0, 10.0))
        await asyncio.sleep(0)
        await self.store.put('other', 'x', b'')
        await self.store.put('lease', 'layers', b'a')
        fed_changes = await waiting
        assert isinstance(fed_changes, TableChanges)
        self.assertEqual(fed_changes.rows, (StoredRow(_KEY, 2, b'a'),))
        self.assertEqual(fed_changes.newest_change, 2)

    async def test_a_row_that_returned(self) -> None:
        """Guards against a target that is dropped as it has come back.

        One answer held its removal and its return, which were applied in the
        wrong order.
        """
        for body in (b'1', None, b'2'):
            await self.store.put('t', 'back', body)
        for body in (b'1', None):
            await self.store.put('t', 'gone', body)
        changes = await self.client.changes('t', 0, 0.0)
        assert isinstance(changes, TableChanges)
        rows = [(row.key, row.body) for row in changes.rows]
        self.assertEqual(rows, [('t/back', b'2')])
        self.assertEqual(changes.removed, ('gone',))

    async def test_lost_history(self) -> None:
        """A feed from a version whose history was discarded fails."""
        await self.store.put('lease', 'layers', b'a')
        self.store.drop_history()
        fed_changes = await self.client.changes('lease', 0, 1.0)
        self.assertIsInstance(fed_changes, HistoryLost)

    async def test_a_read_answered_with_410(self) -> None:
        """Guards against an error in the caller after a status 410.

        Only a feed can continue with a list of the whole table.
        """
        self.store.faults.has_no_rows = True
        self.assertIsInstance(await self.client.read(_KEY), Unavailable)
        self.assertIsInstance(await self.client.snapshot('lease'), Unavailable)

    async def test_answers_name_the_era(self) -> None:
        """The era rises when the store comes back from a copy."""
        copy = self.store.copy()
        await self.store.put('lease', 'layers', b'a')
        await self.store.come_back_from(copy)
        table_rows = await self.client.snapshot('lease')
        self.assertEqual(table_rows, TableChanges(0, era=2))
        fed_changes = await self.client.changes('lease', 0, 0.0)
        self.assertEqual(fed_changes, TableChanges(0, era=2))

    async def test_a_long_table_comes_in_pages(self) -> None:
        """Each row is returned once, with the version of the first page."""
        for number in range(620):
            await self.store.put('servers', f'{number:04}', b'x')
        table_rows = await self.client.snapshot('servers')
        assert isinstance(table_rows, TableChanges)
        self.assertEqual(len({row.key for row in table_rows.rows}), 620)
        self.assertEqual(table_rows.version, 620)
