"""Forwards the tables between daemons as differences between revisions.

Rows are sent as the bytes that the table service holds, so that a daemon of an
older release also forwards fields that it does not know.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.membership.messages import RowBody, TablesReply
from nutmegspoke.tables import codec

if TYPE_CHECKING:
    from collections.abc import Mapping

_KEPT_REVISIONS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedTables:
    """Both tables at one revision, with encoded rows.

    :param revision: the revision; 0 for empty tables.
    :param bodies: encoded body of each row, by key.
    """

    revision: int = 0
    bodies: Mapping[str, bytes] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class TableHistory:
    """The last revisions, from which differences are computed.

    :param current: the highest revision kept.
    """

    current: EncodedTables = EncodedTables()
    _kept: collections.OrderedDict[int, EncodedTables] = dataclasses.field(
        default_factory=collections.OrderedDict,
    )

    def keep(self, tables: EncodedTables) -> None:
        """Store a revision, if it is higher than the current one."""
        if tables.revision <= self.current.revision:
            return
        self.current = tables
        self._kept[tables.revision] = tables
        while len(self._kept) > _KEPT_REVISIONS:
            self._kept.popitem(last=False)

    def reply(self, known_revision: int) -> TablesReply | None:
        """Return the difference from a peer's revision to the current one.

        If the peer's revision is not kept any more, the reply holds all rows.

        :param known_revision: revision that the peer has.
        :returns: ``None`` if the peer is not behind.
        """
        if known_revision >= self.current.revision:
            return None
        base = self._kept.get(known_revision, EncodedTables())
        return difference(base, self.current)

    def apply(self, reply: TablesReply) -> EncodedTables | None:
        """Return the tables after a reply is applied, without storing them.

        :returns: ``None`` if the reply is not newer, applies to another
            revision, or its digest does not match the resulting rows.
        """
        if reply.revision <= self.current.revision:
            return None
        if reply.base_revision not in {0, self.current.revision}:
            return None
        bodies = dict(self.current.bodies) if reply.base_revision else {}
        bodies.update((row.key, row.body) for row in reply.changed)
        for key in reply.removed:
            bodies.pop(key, None)
        if codec.rows_digest(bodies) != reply.digest:
            return None
        return EncodedTables(reply.revision, bodies)


def difference(base: EncodedTables, target: EncodedTables) -> TablesReply:
    """Return the reply that turns one revision into another."""
    changed = tuple(
        RowBody(key, body)
        for key, body in target.bodies.items()
        if base.bodies.get(key) != body
    )
    removed = tuple(key for key in base.bodies if key not in target.bodies)
    return TablesReply(
        base.revision,
        target.revision,
        codec.rows_digest(target.bodies),
        changed,
        removed,
    )
