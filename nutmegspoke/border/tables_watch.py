"""Keeps the routes and pools in force at their highest known revision."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from nutmegspoke.border.http_sessions import NAME as SESSIONS
from nutmegspoke.border.http_sessions import HttpSessions
from nutmegspoke.border.periodic import Periodic
from nutmegspoke.border.table_reads import read_snapshot
from nutmegspoke.membership.table_passing import EncodedTables, TableHistory
from nutmegspoke.platform import Unavailable
from nutmegspoke.tables import codec
from nutmegspoke.tables.rows import Tables
from nutmegspoke.tables.snapshot import TablesSnapshot, decode_bodies

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.membership.messages import TablesReply
    from nutmegspoke.platform import TableService

logger = logging.getLogger(__name__)
NAME = 'tables_watch'


class TablesWatch:
    """Polls the revision row and reads the rows when it has risen."""

    def __init__(
        self,
        tables: TableService,
        clock: Clock,
        interval_s: float,
    ) -> None:
        """Start from empty tables."""
        self.current = Tables()
        self.history = TableHistory()
        self.is_ready = False
        self.is_store_reachable = False
        self.confirmed_s: float | None = None
        self._tables = tables
        self._clock = clock
        self._periodic = Periodic(NAME, interval_s, self.poll)

    async def start(self) -> None:
        """Begin to poll."""
        self._periodic.start()

    async def stop(self) -> None:
        """End polling."""
        await self._periodic.stop()

    async def poll(self) -> None:
        """Read the revision and, if it has risen, the rows."""
        asked_s = self._clock.now_s()
        revision = await self._read_revision()
        self.is_store_reachable = revision is not None
        if revision is None:
            return
        if revision == self.current.revision:
            self.confirmed_s = asked_s
        if revision <= self.current.revision:
            self.is_ready = True
            return
        snapshot = await read_snapshot(self._tables)
        if isinstance(snapshot, TablesSnapshot):
            revision = snapshot.tables.revision
            encoded = EncodedTables(revision, snapshot.bodies())
            self._take(snapshot.tables, encoded, 'store')
        else:
            logger.warning('tables: rows not read result=%s', snapshot)

    def take_from_peer(self, reply: TablesReply) -> None:
        """Take rows that a peer passed on, if they lead to a higher revision.

        :param reply: rows that build on the revision in force.
        """
        encoded = self.history.apply(reply)
        if encoded is None:
            return
        tables = decode_bodies(encoded.revision, dict(encoded.bodies))
        if isinstance(tables, Tables):
            self._take(tables, encoded, 'peer')
        else:
            logger.warning(
                'tables: row of a peer unreadable key=%s', tables.key
            )

    def _take(
        self,
        tables: Tables,
        encoded: EncodedTables,
        source: str,
    ) -> None:
        if tables.revision <= self.current.revision:
            return
        self.current = tables
        self.history.keep(encoded)
        self.is_ready = True
        logger.info(
            'tables: revision in force revision=%d source=%s routes=%d '
            'pools=%d',
            tables.revision,
            source,
            len(tables.routes),
            len(tables.pools),
        )

    async def _read_revision(self) -> int | None:
        row = await self._tables.read(codec.REVISION_KEY)
        if isinstance(row, Unavailable):
            logger.warning('tables: store unreachable reason=%s', row.reason)
            return None
        head = codec.decode_revision_row(row.body)
        return head.revision if head is not None else None


def setup(app: Application) -> None:
    """Register the watch."""
    sessions = app.kernel.find(SESSIONS, HttpSessions)
    watch = TablesWatch(
        sessions.platform.tables,
        app.clock,
        app.settings.platform.poll_interval_s,
    )
    app.kernel.register(NAME, watch)
