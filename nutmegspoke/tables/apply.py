"""Plans the transaction that brings new tables into force."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.metadata_store import Condition, Transaction, Write
from nutmegspoke.tables import changes, codec, snapshot

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.tables.rows import Tables


@dataclasses.dataclass(frozen=True, slots=True)
class Author:
    """The author of a change.

    :param operator: name of the operator.
    :param change_id: id of the change, unique among all changes.
    :param at_wall_s: time of the change, in seconds since 1970.
    """

    operator: str
    change_id: str
    at_wall_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A change that is ready to be committed.

    :param transaction: the writes, conditional on the row versions read.
    :param record: record of the change, written by the same transaction.
    """

    transaction: Transaction
    record: changes.ChangeRecord


@dataclasses.dataclass(frozen=True, slots=True)
class NoChange:
    """The requested changes are already in force.

    :param revision: the current revision.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowConflict:
    """Changes accepted after the base revision conflict with this one.

    :param base_revision: revision that this change is based on.
    :param keys: keys of the conflicting rows.
    :param others: the accepted changes that contain these rows.
    """

    base_revision: int
    keys: tuple[str, ...]
    others: tuple[changes.ChangeRecord, ...]


PlanResult = Plan | NoChange | RowConflict


def wanted_bodies(wanted: Tables) -> dict[str, bytes]:
    """Return the encoded rows of the new tables, by key."""
    return snapshot.encode_bodies(wanted)


def rebase(
    current: snapshot.TablesSnapshot,
    difference: Sequence[changes.RowChange],
    later_changes: Sequence[changes.ChangeRecord],
    base_revision: int,
    author: Author,
) -> PlanResult:
    """Plan a change that is based on an older revision.

    Rows changed only by later changes keep their current bodies. If a row
    was changed by both to different bodies, the change is refused.

    :param current: the current tables.
    :param difference: the operator's changes relative to the base revision.
    :param later_changes: changes accepted after the base, oldest first.
    :param base_revision: revision that the change is based on.
    :param author: the author of the change.
    :returns: the plan, or why there is none.
    """
    bodies = current.bodies()
    pending_changes = [
        row for row in difference if bodies.get(row.key) != row.after
    ]
    conflicting = tuple(
        row.key for row in pending_changes if bodies.get(row.key) != row.before
    )
    if conflicting:
        others = tuple(
            record
            for record in later_changes
            if _contains_any(record, conflicting)
        )
        return RowConflict(base_revision, conflicting, others)
    return _build_plan(current, pending_changes, base_revision, author)


def bodies_before(
    current: dict[str, bytes],
    later_changes: Sequence[changes.ChangeRecord],
) -> dict[str, bytes]:
    """Return the row bodies with later changes reverted.

    :param current: current row bodies by key.
    :param later_changes: the changes to revert, oldest first.
    """
    bodies = current
    for record in reversed(later_changes):
        bodies = changes.bodies_after(
            bodies,
            [change.reversed() for change in record.rows],
        )
    return bodies


def _contains_any(record: changes.ChangeRecord, keys: Sequence[str]) -> bool:
    return any(row.key in keys for row in record.rows)


def _build_plan(
    base: snapshot.TablesSnapshot,
    difference: Sequence[changes.RowChange],
    base_revision: int,
    author: Author,
) -> Plan | NoChange:
    if not difference:
        return NoChange(base.tables.revision)
    record = changes.ChangeRecord(
        revision=base.tables.revision + 1,
        change_id=author.change_id,
        operator=author.operator,
        at_wall_s=author.at_wall_s,
        base_revision=base_revision,
        rows=tuple(difference),
    )
    return Plan(_build_transaction(base, record), record)


def _build_transaction(
    base: snapshot.TablesSnapshot,
    record: changes.ChangeRecord,
) -> Transaction:
    bodies = changes.bodies_after(base.bodies(), record.rows)
    revision_body = codec.encode_revision(
        record.revision, codec.rows_digest(bodies)
    )
    return Transaction(
        conditions=(
            Condition(codec.REVISION_KEY, base.revision_version),
            *(Condition(row.key, base.version(row.key)) for row in record.rows),
        ),
        writes=(
            Write(codec.REVISION_KEY, revision_body),
            *(Write(row.key, row.after) for row in record.rows),
            Write(
                changes.change_key(record.revision),
                changes.encode_change(record),
            ),
        ),
    )
