"""Carries out changes of the tables against the table service."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from nutmegspoke.border.table_reads import (
    Accepted,
    NotAccepted,
    ask_outcome,
    read_changes,
    read_snapshot,
)
from nutmegspoke.metadata_store import (
    Committed,
    Conflict,
    InDoubt,
    TableService,
    Unavailable,
)
from nutmegspoke.tables import apply, changes
from nutmegspoke.tables.snapshot import TablesSnapshot, UnreadableRow

if TYPE_CHECKING:
    from nutmegspoke.tables.rows import Tables

logger = logging.getLogger(__name__)

_COMMIT_TRIES = 5
_COMMIT_PAUSE_S = 0.2

Pause = Callable[[float], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptanceUnknown:
    """The change may have been accepted.

    :param record: the record that it would have.
    :param detail: what went wrong.
    """

    record: changes.ChangeRecord
    detail: str


ApplyResult = (
    Accepted
    | NotAccepted
    | AcceptanceUnknown
    | apply.NoChange
    | apply.RowConflict
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Present:
    """The tables as they are now and what happened since the base."""

    current: TablesSnapshot
    since: tuple[changes.ChangeRecord, ...]

    def difference(self, wanted: Tables) -> tuple[changes.RowChange, ...]:
        """Return what the wanted tables change of the base."""
        base = apply.bodies_before(self.current.bodies(), self.since)
        return changes.row_changes(base, apply.wanted_bodies(wanted))


async def apply_tables(
    tables: TableService,
    wanted: Tables,
    author: apply.Author,
    base_revision: int | None = None,
    pause: Pause = asyncio.sleep,
) -> ApplyResult:
    """Bring the wanted tables into force.

    :param tables: the table service.
    :param wanted: the tables that the operator wants.
    :param author: who makes the change.
    :param base_revision: revision that the wanted tables were made from;
        the present one if ``None``.
    :param pause: waits some seconds before a write in doubt is sent again.
    """
    present = await _read_present(tables, base_revision)
    if isinstance(present, NotAccepted):
        return present
    if base_revision is None:
        base_revision = present.current.tables.revision
    difference = present.difference(wanted)
    for _ in range(_COMMIT_TRIES):
        planned = apply.rebase(
            present.current,
            difference,
            present.since,
            base_revision,
            author,
        )
        if not isinstance(planned, apply.Plan):
            return planned
        settled = await _commit(tables, planned, pause)
        if settled is not None:
            return settled
        present = await _read_present(tables, base_revision)
        if isinstance(present, NotAccepted):
            return present
    return NotAccepted('other changes came first each time; apply again')


async def _read_present(
    tables: TableService,
    base_revision: int | None,
) -> _Present | NotAccepted:
    current = await read_snapshot(tables)
    if not isinstance(current, TablesSnapshot):
        return _not_read(current)
    last = current.tables.revision
    if base_revision is None:
        return _Present(current, ())
    if base_revision > last:
        return NotAccepted(
            f'the base {base_revision} is higher than the revision {last}',
        )
    since = await read_changes(tables, base_revision + 1, last)
    if isinstance(since, tuple):
        return _Present(current, since)
    return _not_read(since)


async def _commit(
    tables: TableService,
    planned: apply.Plan,
    pause: Pause,
) -> Accepted | NotAccepted | AcceptanceUnknown | None:
    """Send a change; sending it again is safe, its conditions hold once.

    :returns: ``None`` if another change came first.
    """
    doubt: InDoubt | None = None
    for _ in range(_COMMIT_TRIES):
        committed = await tables.commit(planned.transaction)
        match committed:
            case Committed():
                return Accepted(planned.record)
            case Conflict():
                return await _after_conflict(tables, planned, doubt)
            case Unavailable() if doubt is None:
                return NotAccepted(committed.reason)
            case InDoubt():
                doubt = committed
                logger.info(
                    'tables: change in doubt, sent again change=%s reason=%s',
                    planned.record.change_id,
                    committed.reason,
                )
        await pause(_COMMIT_PAUSE_S)
    detail = doubt.reason if doubt else ''
    return AcceptanceUnknown(planned.record, detail)


async def _after_conflict(
    tables: TableService,
    planned: apply.Plan,
    doubt: InDoubt | None,
) -> Accepted | AcceptanceUnknown | None:
    if doubt is None:
        return None
    record = planned.record
    told = await ask_outcome(tables, record.change_id, record.revision)
    match told:
        case Accepted():
            return told
        case NotAccepted():
            return None
        case Unavailable():
            return AcceptanceUnknown(record, told.reason)
        case _:
            return AcceptanceUnknown(record, 'the change record is not shown')


def _not_read(problem: Unavailable | UnreadableRow) -> NotAccepted:
    if isinstance(problem, UnreadableRow):
        return NotAccepted(f'row {problem.key} can not be read')
    return NotAccepted(f'the table service can not be read: {problem.reason}')
