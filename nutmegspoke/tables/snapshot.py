"""Snapshots of both tables as stored, with the versions of the rows."""

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
    """The rows read don't match the revision row; the read must be retried.

    :param revision: revision in the revision row.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableRow:
    """A stored row that can't be decoded.

    :param key: key of the row.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class TablesSnapshot:
    """Both tables at one revision, with the versions that a change checks.

    :param tables: the decoded tables.
    :param revision_version: store version of the revision row.
    :param stored: the stored rows by key.
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
        """Build a snapshot from reads that were not atomic.

        The revision row holds the digest of all rows at its revision, so rows
        of another revision are always detected.

        :param revision_row: the revision row, read before the other rows.
        :param rows: the rows of both tables.
        :returns: the snapshot, or why the rows don't make up one.
        """
        expected = codec.decode_revision_row(revision_row.body)
        if expected is None:
            return UnreadableRow(revision_row.key)
        stored = {row.key: row for row in rows}
        bodies = {key: row.body for key, row in stored.items()}
        if not _matches_digest(expected, bodies):
            return TornRead(expected.revision)
        tables = decode_bodies(expected.revision, bodies)
        if isinstance(tables, UnreadableRow):
            return tables
        return cls(tables, revision_row.version, stored)

    def version(self, key: str) -> int:
        """Return the store version of a row; 0 if the row is absent."""
        row = self.stored.get(key)
        return row.version if row else ABSENT_VERSION

    def bodies(self) -> dict[str, bytes]:
        """Return the encoded rows by key."""
        return {key: row.body for key, row in self.stored.items()}


def encode_bodies(tables: Tables) -> dict[str, bytes]:
    """Return the encoded rows by key."""
    return {
        codec.row_key(row): codec.encode_row(row)
        for row in (*tables.routes, *tables.pools)
    }


def decode_bodies(
    revision: int,
    bodies: dict[str, bytes],
) -> Tables | UnreadableRow:
    """Return the tables decoded from encoded rows.

    :param revision: revision of the tables.
    :param bodies: encoded rows by key.
    :returns: the tables, or the first row that can't be decoded.
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


def _matches_digest(
    expected: codec.RevisionRow, bodies: dict[str, bytes]
) -> bool:
    if expected.revision == 0:
        return not bodies
    return expected.digest == codec.rows_digest(bodies)
