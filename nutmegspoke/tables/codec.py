"""Encodes table rows for storage in the platform's table service."""

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
    """Body of the revision row.

    :param revision: current revision of the tables; 0 before the first
        change.
    :param digest: digest of all table rows at that revision.
    """

    revision: int = 0
    digest: bytes = b''


def row_key(row: Row) -> str:
    """Return the key of a row in the table service."""
    prefix = ROUTE_PREFIX if isinstance(row, RouteRow) else POOL_PREFIX
    return f'{prefix}{row.name}'


def encode_row(row: Row) -> bytes:
    """Return the encoded row."""
    return _encode(row)


def decode_row(key: str, body: bytes) -> Row | None:
    """Return the decoded row; ``None`` if the body is invalid.

    Unknown fields are ignored, because a newer release may add fields.
    """
    kind = RouteRow if key.startswith(ROUTE_PREFIX) else PoolRow
    try:
        return _decode(body, type=kind)
    except msgspec.MsgspecError:
        return None


def encode_revision(revision: int, digest: bytes) -> bytes:
    """Return the encoded revision row."""
    return _encode(RevisionRow(revision, digest))


def decode_revision_row(body: bytes) -> RevisionRow | None:
    """Return the decoded revision row.

    :param body: body of the row; empty if the row is absent.
    :returns: a row with revision 0 if it is absent; ``None`` if the body is
        invalid.
    """
    if not body:
        return RevisionRow()
    try:
        return _decode(body, type=RevisionRow)
    except msgspec.MsgspecError:
        return None


def decode_revision(body: bytes) -> int:
    """Return the stored revision; 0 if the row is absent or invalid."""
    row = decode_revision_row(body)
    return row.revision if row else 0


def rows_digest(bodies: Mapping[str, bytes]) -> bytes:
    """Return the SHA-256 digest of the rows of both tables.

    The digest does not depend on the order of the rows.

    :param bodies: row bodies by key.
    """
    digest = hashlib.sha256()
    for key in sorted(bodies):
        digest.update(_encode((key, bodies[key])))
    return digest.digest()
