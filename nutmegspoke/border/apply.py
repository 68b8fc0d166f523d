"""Commits changes of the tables to the table service."""

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
    """It is unknown whether the change was accepted.

    :param record: record of the change if it was accepted.
    :param detail: cause of the last failure.
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
class _CurrentState:
    """The current tables and the changes made since the base revision."""

    current: TablesSnapshot
    since: tuple[changes.ChangeRecord, ...]

    def compute_changes(self, wanted: Tables) -> tuple[changes.RowChange, ...]:
        """Return the row changes from the base to the wanted tables."""
        base = apply.bodies_before(self.current.bodies(), self.since)
        return changes.row_changes(base, apply.wanted_bodies(wanted))


async def apply_tables(
    tables: TableService,
    wanted: Tables,
    author: apply.Author,
    base_revision: int | None = None,
    pause: Pause = asyncio.sleep,
) -> ApplyResult:
    """Change the stored tables to the wanted ones.

    :param tables: the table service.
    :param wanted: the tables that the operator wants.
    :param author: author of the change.
    :param base_revision: revision that the wanted tables were made from;
        ``None`` for the current one.
    :param pause: sleeps for a number of seconds before a commit whose outcome
        is unknown is retried.
    :returns: the outcome of the change.
    """
    state = await _read_current(tables, base_revision)
    if isinstance(state, NotAccepted):
        return state
    if base_revision is None:
        base_revision = state.current.tables.revision
    difference = state.compute_changes(wanted)
    for _ in range(_COMMIT_TRIES):
        plan = apply.rebase(
            state.current,
            difference,
            state.since,
            base_revision,
            author,
        )
        if not isinstance(plan, apply.Plan):
            return plan
        result = await _commit(tables, plan, pause)
        if result is not None:
            return result
        state = await _read_current(tables, base_revision)
        if isinstance(state, NotAccepted):
            return state
    return NotAccepted(
        'other changes were committed first in each attempt; apply again'
    )


async def _read_current(
    tables: TableService,
    base_revision: int | None,
) -> _CurrentState | NotAccepted:
    current = await read_snapshot(tables)
    if not isinstance(current, TablesSnapshot):
        return _read_failure(current)
    last = current.tables.revision
    if base_revision is None:
        return _CurrentState(current, ())
    if base_revision > last:
        return NotAccepted(
            f'the base {base_revision} is higher than the revision {last}',
        )
    since = await read_changes(tables, base_revision + 1, last)
    if isinstance(since, tuple):
        return _CurrentState(current, since)
    return _read_failure(since)


async def _commit(
    tables: TableService,
    plan: apply.Plan,
    pause: Pause,
) -> Accepted | NotAccepted | AcceptanceUnknown | None:
    """Commit a change and retry while its outcome is unknown.

    A retry is safe: the conditions of the transaction hold only once.

    :returns: ``None`` if another change was committed first.
    """
    doubt: InDoubt | None = None
    for _ in range(_COMMIT_TRIES):
        result = await tables.commit(plan.transaction)
        match result:
            case Committed():
                return Accepted(plan.record)
            case Conflict():
                return await _resolve_conflict(tables, plan, doubt)
            case Unavailable() if doubt is None:
                return NotAccepted(result.reason)
            case InDoubt():
                doubt = result
                logger.info(
                    'tables: commit outcome unknown, retrying change=%s reason=%s',
                    plan.record.change_id,
                    result.reason,
                )
        await pause(_COMMIT_PAUSE_S)
    detail = doubt.reason if doubt else ''
    return AcceptanceUnknown(plan.record, detail)


async def _resolve_conflict(
    tables: TableService,
    plan: apply.Plan,
    doubt: InDoubt | None,
) -> Accepted | AcceptanceUnknown | None:
    if doubt is None:
        return None
    record = plan.record
    outcome = await ask_outcome(tables, record.change_id, record.revision)
    match outcome:
        case Accepted():
            return outcome
        case NotAccepted():
            return None
        case Unavailable():
            return AcceptanceUnknown(record, outcome.reason)
        case _:
            return AcceptanceUnknown(record, 'the change record was not found')


def _read_failure(problem: Unavailable | UnreadableRow) -> NotAccepted:
    if isinstance(problem, UnreadableRow):
        return NotAccepted(f'row {problem.key} can not be read')
    return NotAccepted(f'the table service can not be read: {problem.reason}')
