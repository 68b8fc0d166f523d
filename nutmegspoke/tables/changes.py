"""Records of accepted changes."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

CHANGE_PREFIX = 'change/'
_REVISION_DIGITS = 12

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode


class ChangeKind(enum.StrEnum):
    """What a change does to a row."""

    ADDED = 'added'
    CHANGED = 'changed'
    REMOVED = 'removed'


class RowChange(msgspec.Struct, frozen=True):
    """The change of one row.

    :param key: key of the row.
    :param before: body before the change; ``None`` if the row is added.
    :param after: body after the change; ``None`` if the row is removed.
    """

    key: str
    before: bytes | None
    after: bytes | None

    @property
    def kind(self) -> ChangeKind:
        """Tell what happens to the row."""
        if self.before is None:
            return ChangeKind.ADDED
        if self.after is None:
            return ChangeKind.REMOVED
        return ChangeKind.CHANGED

    def reversed(self) -> RowChange:
        """Return the change that takes this one back."""
        return RowChange(self.key, self.after, self.before)


class ChangeRecord(msgspec.Struct, frozen=True):
    """An accepted change, written in the transaction of the change itself.

    :param revision: revision that the change made.
    :param change_id: id that the operator's tool gave the change.
    :param operator: who made it.
    :param at_wall_s: when, in seconds since 1970, for people to read.
    :param base_revision: revision that the operator worked from.
    :param rows: the rows that it changed.
    """

    revision: int
    change_id: str
    operator: str
    at_wall_s: float
    base_revision: int
    rows: tuple[RowChange, ...]


def change_key(revision: int) -> str:
    """Return the key of the record of the change that made a revision."""
    return f'{CHANGE_PREFIX}{revision:0{_REVISION_DIGITS}}'


def encode_change(record: ChangeRecord) -> bytes:
    """Return the body of a change record."""
    return _encode(record)


def decode_change(body: bytes) -> ChangeRecord | None:
    """Return a change record; ``None`` if it is absent or can't be read."""
    if not body:
        return None
    try:
        return _decode(body, type=ChangeRecord)
    except msgspec.MsgspecError:
        return None


def row_changes(
    before: Mapping[str, bytes],
    after: Mapping[str, bytes],
) -> tuple[RowChange, ...]:
    """Return the rows that differ, in order of their keys.

    :param before: body of each row by its key.
    :param after: the same after the change.
    """
    return tuple(
        RowChange(key, before.get(key), after.get(key))
        for key in sorted({*before, *after})
        if before.get(key) != after.get(key)
    )


def bodies_after(
    bodies: Mapping[str, bytes],
    rows: Iterable[RowChange],
) -> dict[str, bytes]:
    """Return the rows after some changes.

    :param bodies: body of each row by its key.
    :param rows: the changes.
    """
    changed = {row.key: row.after for row in rows}
    merged = {**bodies, **changed}
    return {key: body for key, body in merged.items() if body is not None}
