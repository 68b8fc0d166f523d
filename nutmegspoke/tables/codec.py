"""Encodes rows of the two tables for the platform's table service."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.tables.rows import PoolRow, RouteRow, Row

if TYPE_CHECKING:
    from collections.abc import Mapping

REVISION_KEY = 'meta/revision'
ROUTE_PREFIX = 'route/'
POOL_PREFIX = 'pool/'

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode


class RevisionRow(msgspec.Struct, frozen=True):
    """Body of the row that holds the revision of the tables.

    :param revision: the revision; 0 before the first change.
    :param digest: digest of all rows at that revision.
    """

    revision: int = 0
    digest: bytes = b''


def row_key(row: Row) -> str:
    """Return the key of a row in the table service."""
    prefix = ROUTE_PREFIX if isinstance(row, RouteRow) else POOL_PREFIX
    return f'{prefix}{row.name}'


def encode_row(row: Row) -> bytes:
    """Return the body of a row."""
    return _encode(row)


def decode_row(key: str, body: bytes) -> Row | None:
    """Return the row of a body; ``None`` if it can't be read.

    Unknown fields are ignored, so that a newer release may write more.
    """
    kind = RouteRow if key.startswith(ROUTE_PREFIX) else PoolRow
    try:
        return _decode(body, type=kind)
    except msgspec.MsgspecError:
        return None


def encode_revision(revision: int, digest: bytes) -> bytes:
    """Return the body of the revision row."""
    return _encode(RevisionRow(revision, digest))


def decode_revision_row(body: bytes) -> RevisionRow | None:
    """Return the content of the revision row.

    :param body: body of the row; empty if the row is absent.
    :returns: revision 0 for an absent row, ``None`` if it can't be read.
    """
    if not body:
        return RevisionRow()
    try:
        return _decode(body, type=RevisionRow)
    except msgspec.MsgspecError:
        return None


def decode_revision(body: bytes) -> int:
    """Return the revision; 0 for an absent or unreadable row."""
    row = decode_revision_row(body)
    return row.revision if row else 0


def rows_digest(bodies: Mapping[str, bytes]) -> bytes:
    """Return the digest of the rows of both tables.

    :param bodies: body of each row by its key.
    """
    digest = hashlib.sha256()
    for key in sorted(bodies):
        digest.update(_encode((key, bodies[key])))
    return digest.digest()
