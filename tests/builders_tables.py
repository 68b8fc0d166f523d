"""Builders of tables, and table services in memory."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.metadata_store import (
    CommitResult,
    Committed,
    Conflict,
    InDoubt,
    StoredRow,
    Transaction,
    Unavailable,
)
from nutmegspoke.tables.apply import Author
from nutmegspoke.tables.rows import (
    PoolKind,
    PoolRow,
    RouteRow,
    Tables,
    TeamShare,
)

if TYPE_CHECKING:
    from collections.abc import Generator


def build_route(name: str = 'drafts', **fields: object) -> RouteRow:
    """Build a route over the pool ``engines``."""
    defaults = {
        'path': f'/{name}',
        'pool': 'engines',
        'teams': (TeamShare('desk', 2.5, 40), TeamShare('clubs', 1.0, 8)),
    }
    return RouteRow(name=name, **{**defaults, **fields})


def build_pool(name: str = 'engines', **fields: object) -> PoolRow:
    """Build a pool of services."""
    defaults = {'kind': PoolKind.SERVICE, 'targets': ('127.0.0.1:9001',)}
    return PoolRow(name=name, **{**defaults, **fields})


def build_tables(*routes: RouteRow, pools: tuple[PoolRow, ...] = ()) -> Tables:
    """Build tables with these routes and the pool ``engines``."""
    return Tables(
        routes=tuple(sorted(routes, key=lambda row: row.name)),
        pools=pools or (build_pool(),),
    )


def build_author(
    operator: str = 'ann',
    change_id: str = 'change-1',
) -> Author:
    """Build the author of a change."""
    return Author(operator, change_id, at_wall_s=1.0)


async def no_pause(_: float) -> None:
    """Return at once; stands in for a sleep."""


@dataclasses.dataclass
class FakeTableService:
    """A table service in memory that fails on demand.

    :param rows: stored rows by key.
    :param versions: version of the last write of each key.
    :param faults: faults of the next commits: ``refused`` writes nothing,
        ``lost`` loses the request, ``answer lost`` loses the answer.
    :param is_readable: whether reads succeed.
    :param before_commit: transactions to commit before the next one.
    """

    rows: dict[str, StoredRow] = dataclasses.field(default_factory=dict)
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    faults: list[str] = dataclasses.field(default_factory=list)
    is_readable: bool = True
    before_commit: list[Transaction] = dataclasses.field(default_factory=list)

    async def read(self, key: str) -> StoredRow | Unavailable:
        """Return the row with this key."""
        if not self.is_readable:
            return Unavailable('down')
        return self.rows.get(key, StoredRow(key, 0))

    async def scan(self, prefix: str) -> tuple[StoredRow, ...] | Unavailable:
        """Return the rows whose keys start with the prefix, sorted by key."""
        if not self.is_readable:
            return Unavailable('down')
        return tuple(
            self.rows[key]
            for key in sorted(self.rows)
            if key.startswith(prefix)
        )

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Commit a transaction, after those in ``before_commit``."""
        while self.before_commit:
            self.commit_now(self.before_commit.pop(0))
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'refused':
            return Unavailable('refused')
        if fault == 'lost':
            return InDoubt('request lost')
        committed = self.commit_now(transaction)
        return InDoubt('answer lost') if fault == 'answer lost' else committed

    def commit_now(self, transaction: Transaction) -> CommitResult:
        """Commit a transaction without faults."""
        failed = tuple(
            self.rows.get(condition.key, StoredRow(condition.key, 0))
            for condition in transaction.conditions
            if self.rows.get(condition.key, StoredRow('', 0)).version
            != condition.version
        )
        if failed:
            return Conflict(failed)
        for write in transaction.writes:
            self.versions[write.key] = self.versions.get(write.key, 0) + 1
            self.rows.pop(write.key, None)
            if write.body is not None:
                version = self.versions[write.key]
                self.rows[write.key] = StoredRow(write.key, version, write.body)
        return Committed()


@dataclasses.dataclass
class _PendingCall:
    """An awaitable that yields its kind and resumes with a fault."""

    kind: str

    def __await__(self) -> Generator[str, str, str]:
        """Return the fault that the test sends."""
        return (yield self.kind)


@dataclasses.dataclass
class SteppedTableService:
    """A table service whose calls wait until the test resumes them.

    The test sends the result of each call: ``ok`` or ``down``; for a read also
    ``old``, which returns ``old_rows``; for a commit also ``answer lost``,
    ``lost`` and ``late``, which stores the transaction in ``late`` for the
    test to commit.
    """

    now: FakeTableService = dataclasses.field(default_factory=FakeTableService)
    old_rows: dict[str, StoredRow] = dataclasses.field(default_factory=dict)
    late: list[Transaction] = dataclasses.field(default_factory=list)

    async def read(self, key: str) -> StoredRow | Unavailable:
        """Return the row with this key."""
        fault = await _PendingCall('read')
        if fault == 'old':
            return self.old_rows.get(key, StoredRow(key, 0))
        return (
            Unavailable('down') if fault == 'down' else await self.now.read(key)
        )

    async def scan(self, prefix: str) -> tuple[StoredRow, ...] | Unavailable:
        """Return the rows whose keys start with the prefix, sorted by key."""
        fault = await _PendingCall('scan')
        if fault == 'old':
            return await FakeTableService(rows=self.old_rows).scan(prefix)
        if fault == 'down':
            return Unavailable('down')
        return await self.now.scan(prefix)

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Commit a transaction, subject to the fault that the test sends."""
        fault = await _PendingCall('commit')
        if fault == 'down':
            return Unavailable('down')
        if fault == 'late':
            self.late.append(transaction)
        if fault in {'late', 'lost'}:
            return InDoubt(fault)
        committed = self.now.commit_now(transaction)
        return InDoubt(fault) if fault == 'answer lost' else committed
