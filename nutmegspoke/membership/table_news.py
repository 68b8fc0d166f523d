"""Changes of a busy table of the store, passed on from few daemons to many.

A reader tells what its feed has brought over the last seconds, again and
again, so that a lost datagram costs nothing. Changes that mean nothing, such
as heartbeats, only raise the version up to which the news are complete.
"""

from __future__ import annotations

import collections
import dataclasses

import msgspec

from nutmegspoke.metadata_store import StoredRow, TableChanges

# Changes are told for so long: a receiver may miss several news in a row.
_TOLD_S = 3.0
# Changes in one datagram; a row of discovery takes some 300 bytes.
_MAX_CHANGES = 24


class TableUpdate(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='table',
):
    """Changes of a table as a reader has read them.

    :param host: name of the reader's host.
    :param table: name of the table.
    :param since: version after which the changes are complete.
    :param version: version up to which they are.
    :param newest_change: version of the newest change read, heartbeats too.
    :param changes: name, version and body; no body for a row that is gone.
    :param trouble_age_s: time since the store last failed the reader; below
        zero if it has not lately.
    """

    host: str
    table: str
    since: int
    version: int
    newest_change: int
    changes: tuple[tuple[str, int, bytes | None], ...]
    trouble_age_s: float = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Step:
    read_s: float
    since: int
    changes: tuple[tuple[str, int, bytes | None], ...]


class RecentChanges:
    """What a reader has read lately."""

    def __init__(self) -> None:
        """Start with nothing."""
        self._steps: collections.deque[_Step] = collections.deque()
        self._version: int | None = None
        self._newest_change = 0

    def listed(self, table: TableChanges) -> None:
        """Begin anew after a list of the whole table."""
        self._steps.clear()
        self._version = table.version
        self._newest_change = table.newest_change

    def read(
        self,
        since: int,
        changes: TableChanges,
        told: frozenset[str],
        now_s: float,
    ) -> None:
        """Take an answer of the feed.

        :param since: version after which it was asked.
        :param told: names of the rows whose changes mean something.
        """
        rows = [
            (name, row.version, row.body)
            for row in changes.rows
            if (name := row.key.partition('/')[2]) in told
        ]
        gone = [
            (name, changes.version, None)
            for name in changes.removed
            if name in told
        ]
        self._version = max(since, changes.version)
        self._newest_change = max(self._newest_change, changes.newest_change)
        self._steps.append(_Step(now_s, since, (*rows, *gone)))

    def update(
        self,
        host: str,
        table: str,
        trouble_age_s: float,
        now_s: float,
    ) -> TableUpdate | None:
        """Return what to tell; ``None`` before the table was listed.

        Without recent changes the news tell that there were none. Receivers
        that missed more than fits read the store themselves.
        """
        if self._version is None:
            return None
        while self._steps and now_s - self._steps[0].read_s > _TOLD_S:
            self._steps.popleft()
        since = self._version
        changes: tuple[tuple[str, int, bytes | None], ...] = ()
        for step in reversed(self._steps):
            if len(changes) + len(step.changes) > _MAX_CHANGES:
                break
            changes = (*step.changes, *changes)
            since = step.since
        return TableUpdate(
            host=host,
            table=table,
            since=since,
            version=self._version,
            newest_change=self._newest_change,
            changes=changes,
            trouble_age_s=trouble_age_s,
        )


def find_new_changes(
    update: TableUpdate, version: int | None
) -> TableChanges | None:
    """Return what news add to a table that is known up to a version.

    :param version: ``None`` if the table was not listed yet.
    :returns: ``None`` if the news are old, or begin after that version.
    """
    if version is None or not update.since <= version < update.version:
        return None
    last: dict[str, tuple[int, bytes | None]] = {}
    for name, changed, body in update.changes:
        if changed > version:
            last[name] = (changed, body)
    return TableChanges(
        version=update.version,
        rows=tuple(
            StoredRow(f'{update.table}/{name}', changed, body)
            for name, (changed, body) in last.items()
            if body is not None
        ),
        removed=tuple(name for name, (_, body) in last.items() if body is None),
        newest_change=update.newest_change,
    )
