"""Reads the tables and the records of their changes."""

from __future__ import annotations

import dataclasses
import logging

from nutmegspoke.metadata_store import StoredRow, TableService, Unavailable
from nutmegspoke.tables import changes, codec
from nutmegspoke.tables.snapshot import (
    TablesSnapshot,
    TornRead,
    UnreadableRow,
)

logger = logging.getLogger(__name__)

_READ_TRIES = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change was accepted.

    :param record: record of the change.
    """

    record: changes.ChangeRecord


@dataclasses.dataclass(frozen=True, slots=True)
class NotAccepted:
    """The change was not accepted and can't be accepted later.

    :param detail: reason.
    """

    detail: str


SnapshotResult = TablesSnapshot | UnreadableRow | Unavailable


async def read_snapshot(tables: TableService) -> SnapshotResult:
    """Read both tables at one revision.

    :param tables: the table service.
    :returns: a snapshot whose rows all belong to its revision.
    """
    for _ in range(_READ_TRIES):
        found = await _read_once(tables)
        if not isinstance(found, TornRead):
            return found
        logger.info('tables: torn read revision=%d', found.revision)
    return Unavailable('rows and revision did not match in any of the reads')


async def read_changes(
    tables: TableService,
    first: int,
    last: int,
) -> tuple[changes.ChangeRecord, ...] | UnreadableRow | Unavailable:
    """Read the change records of a range of revisions.

    :param tables: the table service.
    :param first: first revision.
    :param last: last revision, inclusive.
    """
    records: list[changes.ChangeRecord] = []
    for revision in range(first, last + 1):
        row = await tables.read(changes.change_key(revision))
        if isinstance(row, Unavailable):
            return row
        record = changes.decode_change(row.body)
        if record is None:
            return UnreadableRow(row.key)
        records.append(record)
    return tuple(records)


async def ask_outcome(
    tables: TableService,
    change_id: str,
    revision: int,
) -> Accepted | NotAccepted | Unavailable | None:
    """Look up whether a change was accepted.

    :param tables: the table service.
    :param change_id: id of the change.
    :param revision: revision that the change would have made.
    :returns: ``None`` while that revision does not exist: a write that is
        still in flight may yet be accepted.
    """
    row = await tables.read(changes.change_key(revision))
    if isinstance(row, Unavailable):
        return row
    record = changes.decode_change(row.body)
    if record is None:
        return None
    if record.change_id == change_id:
        return Accepted(record)
    return NotAccepted(
        f'revision {revision} was made by {record.operator} '
        f'with change {record.change_id}',
    )


async def _read_once(tables: TableService) -> SnapshotResult | TornRead:
    head = await tables.read(codec.REVISION_KEY)
    if isinstance(head, Unavailable):
        return head
    rows: list[StoredRow] = []
    for prefix in (codec.ROUTE_PREFIX, codec.POOL_PREFIX):
        found = await tables.scan(prefix)
        if isinstance(found, Unavailable):
            return found
        rows.extend(found)
    return TablesSnapshot.from_rows(head, rows)
