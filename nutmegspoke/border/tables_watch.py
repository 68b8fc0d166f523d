"""Keeps the routes and pools in force at their highest known revision."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from nutmegspoke.border.http_sessions import NAME as SESSIONS
from nutmegspoke.border.http_sessions import HttpSessions
from nutmegspoke.border.periodic import Periodic
from nutmegspoke.border.table_reads import read_snapshot
from nutmegspoke.platform import Unavailable
from nutmegspoke.tables import codec
from nutmegspoke.tables.rows import Tables
from nutmegspoke.tables.snapshot import TablesSnapshot

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
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
        self.is_ready = False
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
        revision = await self._read_revision()
        if revision is None:
            return
        if revision <= self.current.revision:
            self.is_ready = True
            return
        snapshot = await read_snapshot(self._tables)
        if isinstance(snapshot, TablesSnapshot):
            self._take(snapshot.tables)
        else:
            logger.warning('tables: rows not read result=%s', snapshot)

    def _take(self, tables: Tables) -> None:
        self.current = tables
        self.is_ready = True
        logger.info(
            'tables: revision in force revision=%d routes=%d pools=%d',
            tables.revision,
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
