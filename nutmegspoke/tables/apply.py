"""Turns wanted tables into a transaction over the rows that change."""

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
    """Who makes a change.

    :param operator: name of the operator.
    :param change_id: id of the change, unique over all changes.
    :param at_wall_s: when, in seconds since 1970.
    """

    operator: str
    change_id: str
    at_wall_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A change that is ready to be sent.

    :param transaction: the writes with the versions that they rely on.
    :param record: the record of the change.
    """

    transaction: Transaction
    record: changes.ChangeRecord


@dataclasses.dataclass(frozen=True, slots=True)
class NoChange:
    """The wanted tables are already in force.

    :param revision: the revision that has them.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowConflict:
    """Others changed the same rows after the base of this change.

    :param base_revision: revision that this change was based on.
    :param keys: rows that both changed.
    :param others: the changes that were accepted first.
    """

    base_revision: int
    keys: tuple[str, ...]
    others: tuple[changes.ChangeRecord, ...]


PlanResult = Plan | NoChange | RowConflict


def wanted_bodies(wanted: Tables) -> dict[str, bytes]:
    """Return the body of each row that the operator wants, by its key."""
    return snapshot.encode_bodies(wanted)


def rebase(
    current: snapshot.TablesSnapshot,
    difference: Sequence[changes.RowChange],
    since: Sequence[changes.ChangeRecord],
    base_revision: int,
    author: Author,
) -> PlanResult:
    """Plan a change based on an older revision.

    Rows that only others changed stay as they are; rows that both changed
    refuse the change, unless both made the same of them.

    :param current: the tables as they are now.
    :param difference: what the operator changes of the base.
    :param since: the changes accepted after the base, oldest first.
    :param base_revision: revision that the change was based on.
    :param author: who makes the change.
    """
    bodies = current.bodies()
    open_changes = [
        row for row in difference if bodies.get(row.key) != row.after
    ]
    clashing = tuple(
        row.key for row in open_changes if bodies.get(row.key) != row.before
    )
    if clashing:
        others = tuple(record for record in since if _touches(record, clashing))
        return RowConflict(base_revision, clashing, others)
    return _plan(current, open_changes, base_revision, author)


def bodies_before(
    current: dict[str, bytes],
    since: Sequence[changes.ChangeRecord],
) -> dict[str, bytes]:
    """Return the rows as they were before some changes.

    :param current: body of each row by its key, now.
    :param since: the changes to take back, oldest first.
    """
    bodies = current
    for record in reversed(since):
        bodies = changes.bodies_after(
            bodies,
            [change.reversed() for change in record.rows],
        )
    return bodies


def _touches(record: changes.ChangeRecord, keys: Sequence[str]) -> bool:
    return any(row.key in keys for row in record.rows)


def _plan(
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
    return Plan(_transaction(base, record), record)


def _transaction(
    base: snapshot.TablesSnapshot,
    record: changes.ChangeRecord,
) -> Transaction:
    bodies = changes.bodies_after(base.bodies(), record.rows)
    head = codec.encode_revision(record.revision, codec.rows_digest(bodies))
    return Transaction(
        conditions=(
            Condition(codec.REVISION_KEY, base.revision_version),
            *(Condition(row.key, base.version(row.key)) for row in record.rows),
        ),
        writes=(
            Write(codec.REVISION_KEY, head),
            *(Write(row.key, row.after) for row in record.rows),
            Write(
                changes.change_key(record.revision),
                changes.encode_change(record),
            ),
        ),
    )
