"""Encodes rows of the two tables for the platform's table service."""

from __future__ import annotations

import msgspec

from nutmegspoke.tables.rows import PoolRow, RouteRow, Row, Tables

REVISION_KEY = 'meta/revision'
ROUTE_PREFIX = 'route/'
POOL_PREFIX = 'pool/'

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode


class RevisionRow(msgspec.Struct):
    """Body of the row that holds the revision of the tables."""

    revision: int


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


def encode_revision(revision: int) -> bytes:
    """Return the body of the revision row."""
    return _encode(RevisionRow(revision))


def decode_revision(body: bytes) -> int:
    """Return the revision; 0 for an absent row."""
    if not body:
        return 0
    return _decode(body, type=RevisionRow).revision


def encode_tables(tables: Tables) -> bytes:
    """Return both tables as one message, for peers."""
    return _encode(tables)


def decode_tables(body: bytes) -> Tables | None:
    """Return both tables of a message; ``None`` if it can't be read."""
    try:
        return _decode(body, type=Tables)
    except msgspec.MsgspecError:
        return None
