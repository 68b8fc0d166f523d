"""Changes of a busy table of the store, forwarded by a few readers to all.

Only a few daemons, the readers, poll a table that changes often. They send its
changes to the other daemons in datagrams. Each update of a reader repeats the
changes that its feed has returned over the last seconds, so that a lost
datagram is harmless. Insignificant changes, such as heartbeats, only raise the
version up to which an update is complete.
"""

from __future__ import annotations

import collections
import dataclasses
import math

import msgspec

from nutmegspoke.metadata_store import StoredRow, TableChanges

# Changes are repeated for this time, as several updates in a row may be lost.
_REPEAT_S = 3.0
# Changes that fit into a datagram; a row of discovery takes about 300 bytes.
_MAX_CHANGES = 24


class TableUpdate(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='table',
):
    """Changes of a table that a reader has read recently.

    :param host: name of the reader's host.
    :param table: name of the table.
    :param since: version after which the changes are complete.
    :param version: version up to which the changes are complete.
    :param newest_change_version: version of the newest change that the reader
        has read, insignificant ones such as heartbeats included. Unlike
        ``version``, it does not rise with answers that contain no change.
    :param changes: name, version and body of each row; the body is ``None``
        for a removed row.
    :param failure_age_s: time since a call of the store by the reader last
        failed; negative if none has failed recently.
    :param era: era of the store in which the versions hold.
    :param confirmed_age_s: time since the store has confirmed ``version`` to the
        reader; infinite if it is not told.
    """

    host: str
    table: str
    since: int
    version: int
    newest_change_version: int
    changes: tuple[tuple[str, int, bytes | None], ...]
    failure_age_s: float = -1.0
    era: int = 0
    confirmed_age_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class _FeedRead:
    """An answer of the feed, reduced to its significant changes.

    :param read_s: when it was added.
    :param since: version after which the changes were requested.
    :param changes: name, version and body of each row, as in
        :class:`TableUpdate`.
    """

    read_s: float
    since: int
    changes: tuple[tuple[str, int, bytes | None], ...]


class RecentChanges:
    """Changes of a table that this daemon has read in the last seconds."""

    def __init__(self) -> None:
        """Start without a version; the table must be read completely first."""
        self._reads: collections.deque[_FeedRead] = collections.deque()
        self._version: int | None = None
        self._newest_change = 0
        self._era = 0

    def reset(self, table: TableChanges) -> None:
        """Restart from a list of the whole table."""
        self._reads.clear()
        self._version = table.version
        self._newest_change = table.newest_change
        self._era = table.era

    def add_answer(
        self,
        since: int,
        changes: TableChanges,
        significant_names: frozenset[str],
        now_s: float,
    ) -> None:
        """Add an answer of the feed.

        :param since: version after which changes were requested.
        :param changes: the answer.
        :param significant_names: names of the rows with significant changes; the
            others are not forwarded.
        """
        rows = [
            (name, row.version, row.body)
            for row in changes.rows
            if (name := row.key.partition('/')[2]) in significant_names
        ]
        # The feed returns only the names of removed rows, so that a removal is
        # sent with the version of the answer.
        gone = [
            (name, changes.version, None)
            for name in changes.removed
            if name in significant_names
        ]
        self._version = max(since, changes.version)
        self._newest_change = max(self._newest_change, changes.newest_change)
        self._reads.append(_FeedRead(now_s, since, (*rows, *gone)))

    def build_update(
        self,
        host: str,
        table: str,
        failure_age_s: float,
        confirmed_s: float,
        now_s: float,
    ) -> TableUpdate | None:
        """Return the update; ``None`` before the table was read completely.

        It is sent without changes too, to show that there were none. A receiver
        that has missed more changes than one update contains reads the store
        itself.

        :param host: name of this daemon's host.
        :param table: name of the table.
        :param failure_age_s: time since a call of the store last failed;
            negative if none has failed recently.
        :param confirmed_s: when the store has last confirmed the table.
        """
        if self._version is None:
            return None
        while self._reads and now_s - self._reads[0].read_s > _REPEAT_S:
            self._reads.popleft()
        since = self._version
        changes: tuple[tuple[str, int, bytes | None], ...] = ()
        for feed_read in reversed(self._reads):
            if len(changes) + len(feed_read.changes) > _MAX_CHANGES:
                break
            changes = (*feed_read.changes, *changes)
            since = feed_read.since
        return TableUpdate(
            host=host,
            table=table,
            since=since,
            version=self._version,
            newest_change_version=self._newest_change,
            changes=changes,
            failure_age_s=failure_age_s,
            era=self._era,
            confirmed_age_s=now_s - confirmed_s,
        )


def find_new_changes(
    update: TableUpdate, version: int | None
) -> TableChanges | None:
    """Return the changes of an update that are newer than a version.

    :param update: the update.
    :param version: version up to which the receiver knows the table; ``None``
        if the receiver has not read the whole table yet.
    :returns: ``None`` if the update has nothing newer, or if changes between
        the version and the update are missing.
    """
    if version is None or not update.since <= version < update.version:
        return None
    last_changes: dict[str, tuple[int, bytes | None]] = {}
    for name, changed, body in update.changes:
        if changed > version:
            last_changes[name] = (changed, body)
    return TableChanges(
        version=update.version,
        rows=tuple(
            StoredRow(f'{update.table}/{name}', changed, body)
            for name, (changed, body) in last_changes.items()
            if body is not None
        ),
        removed=tuple(
            name for name, (_, body) in last_changes.items() if body is None
        ),
        newest_change=update.newest_change_version,
        era=update.era,
    )
