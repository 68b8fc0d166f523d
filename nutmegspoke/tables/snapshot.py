"""Both tables as the table service holds them, with the rows' versions."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.metadata_store import ABSENT_VERSION, StoredRow
from nutmegspoke.tables import codec
from nutmegspoke.tables.rows import PoolRow, RouteRow, Row, Tables

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, slots=True)
class TornRead:
    """The rows and the revision row don't belong together; read again.

    :param revision: revision that the revision row showed.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableRow:
    """A row can't be decoded.

    :param key: key of the row.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class TablesSnapshot:
    """Both tables at one revision with what a change has to compare.

    :param tables: the tables.
    :param revision_version: version of the revision row.
    :param stored: the stored rows by their keys.
    """

    tables: Tables = Tables()
    revision_version: int = ABSENT_VERSION
    stored: dict[str, StoredRow] = dataclasses.field(default_factory=dict)

    @classmethod
    def from_rows(
        cls,
        revision_row: StoredRow,
        rows: Iterable[StoredRow],
    ) -> TablesSnapshot | TornRead | UnreadableRow:
        """Build a snapshot of a read that was not atomic.

        The revision row carries the digest of all rows at its revision, so
        rows of another revision are recognized whatever the store mixed up.

        :param revision_row: the revision row, as read before the rows.
        :param rows: the rows of both tables.
        """
        head = codec.decode_revision_row(revision_row.body)
        if head is None:
            return UnreadableRow(revision_row.key)
        stored = {row.key: row for row in rows}
        bodies = {key: row.body for key, row in stored.items()}
        if not _belongs(head, bodies):
            return TornRead(head.revision)
        tables = decode_bodies(head.revision, bodies)
        if isinstance(tables, UnreadableRow):
            return tables
        return cls(tables, revision_row.version, stored)

    def version(self, key: str) -> int:
        """Return the version of a row; 0 if it is absent."""
        row = self.stored.get(key)
        return row.version if row else ABSENT_VERSION

    def bodies(self) -> dict[str, bytes]:
        """Return the body of each row by its key."""
        return {key: row.body for key, row in self.stored.items()}


def encode_bodies(tables: Tables) -> dict[str, bytes]:
    """Return the body of each row by its key."""
    return {
        codec.row_key(row): codec.encode_row(row)
        for row in (*tables.routes, *tables.pools)
    }


def decode_bodies(
    revision: int,
    bodies: dict[str, bytes],
) -> Tables | UnreadableRow:
    """Return the tables of encoded rows.

    :param revision: revision of the tables.
    :param bodies: body of each row by its key.
    """
    rows: list[Row] = []
    for key in sorted(bodies):
        row = codec.decode_row(key, bodies[key])
        if row is None:
            return UnreadableRow(key)
        rows.append(row)
    return Tables(
        revision=revision,
        routes=tuple(row for row in rows if isinstance(row, RouteRow)),
        pools=tuple(row for row in rows if isinstance(row, PoolRow)),
    )


def _belongs(head: codec.RevisionRow, bodies: dict[str, bytes]) -> bool:
    if head.revision == 0:
        return not bodies
    return head.digest == codec.rows_digest(bodies)
