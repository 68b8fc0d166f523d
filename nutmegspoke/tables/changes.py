"""Records of accepted changes to the tables."""

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
    """Kind of change to a row."""

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
        """Return whether the row is added, changed or removed."""
        if self.before is None:
            return ChangeKind.ADDED
        if self.after is None:
            return ChangeKind.REMOVED
        return ChangeKind.CHANGED

    def reversed(self) -> RowChange:
        """Return the inverse change, which reverts this one."""
        return RowChange(self.key, self.after, self.before)


class ChangeRecord(msgspec.Struct, frozen=True):
    """An accepted change, stored by the transaction that applies it.

    :param revision: revision that the change created.
    :param change_id: id assigned by the operator's tool.
    :param operator: name of the operator who made the change.
    :param at_wall_s: time of the change in seconds since 1970, for display
        only.
    :param base_revision: revision that the change was based on.
    :param rows: the changed rows.
    """

    revision: int
    change_id: str
    operator: str
    at_wall_s: float
    base_revision: int
    rows: tuple[RowChange, ...]


def change_key(revision: int) -> str:
    """Return the key of the record of the change that created a revision."""
    return f'{CHANGE_PREFIX}{revision:0{_REVISION_DIGITS}}'


def encode_change(record: ChangeRecord) -> bytes:
    """Return the encoded change record."""
    return _encode(record)


def decode_change(body: bytes) -> ChangeRecord | None:
    """Return the decoded record; ``None`` if it is absent or invalid."""
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
    """Return the changes between two sets of rows, sorted by key.

    :param before: row bodies by key, before the change.
    :param after: row bodies by key, after the change.
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
    """Return the row bodies with changes applied.

    :param bodies: row bodies by key.
    :param rows: the changes to apply.
    """
    changed = {row.key: row.after for row in rows}
    merged = {**bodies, **changed}
    return {key: body for key, body in merged.items() if body is not None}
