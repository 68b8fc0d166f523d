"""Keeps the routes and pools in force at their highest known revision."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from nutmegspoke.border.http_sessions import NAME as SESSIONS, HttpSessions
from nutmegspoke.border.periodic import Periodic
from nutmegspoke.platform import Unavailable
from nutmegspoke.tables import codec
from nutmegspoke.tables.rows import PoolRow, RouteRow, Tables

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.platform import StoredRow, TableService

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
        tables = await self._read_tables(revision)
        if tables is not None and await self._read_revision() == revision:
            self._take(tables)

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
        return codec.decode_revision(row.body)

    async def _read_tables(self, revision: int) -> Tables | None:
        routes = await self._tables.scan(codec.ROUTE_PREFIX)
        pools = await self._tables.scan(codec.POOL_PREFIX)
        if isinstance(routes, Unavailable) or isinstance(pools, Unavailable):
            return None
        return Tables(
            revision=revision,
            routes=tuple(
                row for row in _decoded(routes) if isinstance(row, RouteRow)
            ),
            pools=tuple(
                row for row in _decoded(pools) if isinstance(row, PoolRow)
            ),
        )


def _decoded(rows: tuple[StoredRow, ...]) -> list[RouteRow | PoolRow | None]:
    return [codec.decode_row(row.key, row.body) for row in rows]


def setup(app: Application) -> None:
    """Register the watch."""
    sessions = app.kernel.find(SESSIONS, HttpSessions)
    watch = TablesWatch(
        sessions.platform.tables,
        app.clock,
        app.settings.platform.poll_interval_s,
    )
    app.kernel.register(NAME, watch)
