"""Builders and fakes for tests of claims and calls."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke import metadata_store
from nutmegspoke.claims.steps import ClaimRequest
from nutmegspoke.requests import CallRequest
from nutmegspoke.tables.rows import PoolKind, PoolRow, RouteRow
from nutmegspoke.targets import Target

if TYPE_CHECKING:
    from collections.abc import Sequence

KEY = 'claim/press/send/0'


@dataclasses.dataclass
class FakeClock:
    """A clock whose time the test sets."""

    present_s: float = 1000.0

    def now_s(self) -> float:
        """Return the time that the test set."""
        return self.present_s

    def wall_s(self) -> float:
        """Return the time that the test set."""
        return self.present_s


class RowStore:
    """Rows with versions, with the semantics of the platform's table service."""

    def __init__(self) -> None:
        """Create a store without rows."""
        self.rows: dict[str, metadata_store.StoredRow] = {}
        self.last_versions: dict[str, int] = {}
        self.commit_count = 0

    def row(self, key: str) -> metadata_store.StoredRow:
        """Return a row; version 0 if it is absent."""
        return self.rows.get(key, metadata_store.StoredRow(key, 0))

    def apply(
        self, transaction: metadata_store.Transaction
    ) -> metadata_store.CommitResult:
        """Apply a transaction atomically; return a conflict if a version differs."""
        self.commit_count += 1
        failed = tuple(
            self.row(condition.key)
            for condition in transaction.conditions
            if self.row(condition.key).version != condition.version
        )
        if failed:
            return metadata_store.Conflict(failed)
        for write in transaction.writes:
            self._write(write)
        keys = [write.key for write in transaction.writes]
        return metadata_store.Committed(tuple(map(self.row, keys)))

    def _write(self, write: metadata_store.Write) -> None:
        version = self.last_versions.get(write.key, 0) + 1
        self.last_versions[write.key] = version
        if write.body is None:
            self.rows.pop(write.key, None)
            return
        self.rows[write.key] = metadata_store.StoredRow(
            write.key,
            version,
            write.body,
        )


class FakeTables:
    """A table service whose next commits fail according to a script.

    ``lost``: in doubt, with effect. ``dropped``: in doubt, without effect.
    ``late``: in doubt, without effect until :meth:`apply_late_writes`.
    ``down``: unavailable.
    """

    def __init__(self, *script: str) -> None:
        """Create a table service with a script of faults."""
        self.store = RowStore()
        self.script = list(script)
        self.late: list[metadata_store.Transaction] = []
        self.is_down = False

    async def read(
        self, key: str
    ) -> metadata_store.StoredRow | metadata_store.Unavailable:
        """Return a row; ``Unavailable`` if the service is down."""
        if self.is_down:
            return metadata_store.Unavailable('down')
        return self.store.row(key)

    async def scan(self, prefix: str) -> tuple[metadata_store.StoredRow, ...]:
        """Return the rows whose keys start with a prefix, in order."""
        rows = self.store.rows
        return tuple(
            rows[key] for key in sorted(rows) if key.startswith(prefix)
        )

    async def commit(
        self,
        transaction: metadata_store.Transaction,
    ) -> metadata_store.CommitResult:
        """Apply a transaction, or simulate the next fault of the script."""
        fault = self.script.pop(0) if self.script else ''
        if self.is_down or fault == 'down':
            return metadata_store.Unavailable('down')
        if fault == 'late':
            self.late.append(transaction)
        if fault in {'late', 'dropped'}:
            return metadata_store.InDoubt(fault)
        result = self.store.apply(transaction)
        return metadata_store.InDoubt(fault) if fault == 'lost' else result

    def apply_late_writes(self) -> list[metadata_store.CommitResult]:
        """Apply the late writes and return their results."""
        late, self.late = self.late, []
        return [self.store.apply(transaction) for transaction in late]


class FakeDirectory:
    """Directory of fixed targets; records reports about them in ``reports``."""

    def __init__(self, targets: Sequence[Target]) -> None:
        """Create a directory of these targets."""
        self.targets = tuple(targets)
        self.reports: list[str] = []

    def usable(self, pool: str, now_s: float) -> tuple[Target, ...]:
        """Return all targets for any pool."""
        return self.targets

    def refused_as_leaving(self, address: str) -> None:
        """Record the report."""
        self.reports.append('leaving')

    def connection_failed(self, address: str, *, refused: bool) -> None:
        """Record the report."""
        self.reports.append('gone' if refused else 'failed')

    def connection_silent(self, address: str, *, is_new: bool) -> None:
        """Record the report."""
        self.reports.append('silent')


def claim_request(nonce: str = 'n1', **changes: object) -> ClaimRequest:
    """Build a call that needs a claim."""
    request = ClaimRequest(
        key=KEY,
        fingerprint='body',
        request_id=f'r-{nonce}',
        nonce=nonce,
        started_s=1000.0,
        run_limit_s=60.0,
    )
    return dataclasses.replace(request, **changes)


def target(name: str, address: str = '') -> Target:
    """Build a live target of the pool ``mail``."""
    return Target(name=name, address=address or name, pool='mail')


def call_request(
    *,
    repeatable: bool = False,
    now_s: float = 1000.0,
    timeout_s: float = 5.0,
    progress_timeout_s: float = 2.0,
    **changes: object,
) -> CallRequest:
    """Build a call for the pool ``mail``."""
    route = RouteRow(
        name='send',
        path='/send',
        pool='mail',
        repeatable=repeatable,
        timeout_s=timeout_s,
        progress_timeout_s=progress_timeout_s,
    )
    request = CallRequest(
        request_id='r1',
        team='press',
        route=route,
        pool=PoolRow('mail', PoolKind.SERVICE),
        revision=1,
        method='POST',
        path='/send',
        body=b'{"issue": 7}',
        content_type='application/json',
        idempotency_key='k1',
        received_s=now_s,
        deadline_s=now_s + timeout_s,
    )
    return dataclasses.replace(request, **changes)
