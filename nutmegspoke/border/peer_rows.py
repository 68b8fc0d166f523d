"""Maintains the rows in the table service for peer discovery."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from nutmegspoke.border.http_sessions import NAME as SESSIONS
from nutmegspoke.border.http_sessions import HttpSessions
from nutmegspoke.border.periodic import Periodic
from nutmegspoke.membership.daemon_rows import (
    ROW_PREFIX,
    DaemonRow,
    DaemonRows,
)
from nutmegspoke.metadata_store import Committed, Unavailable

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.membership.gossip import Gossip
    from nutmegspoke.metadata_store import TableService

logger = logging.getLogger(__name__)
_ROUND_INTERVAL_S = 1.0


class PeerRows:
    """Writes the own row and passes the addresses of peers to the gossip."""

    def __init__(
        self,
        rows: DaemonRows,
        gossip: Gossip,
        tables: TableService,
        clock: Clock,
    ) -> None:
        """Prepare the periodic task."""
        self._rows = rows
        self._gossip = gossip
        self._tables = tables
        self._clock = clock
        self._periodic = Periodic(
            'peer_rows', _ROUND_INTERVAL_S, self._run_round
        )

    @classmethod
    def from_application(cls, app: Application, gossip: Gossip) -> PeerRows:
        """Create from the daemon's own entry."""
        entry = gossip.own.entry
        row = DaemonRow(
            entry.name,
            entry.start,
            entry.address,
            entry.availability_zone,
        )
        sessions = app.kernel.find(SESSIONS, HttpSessions)
        tables = sessions.platform.tables
        return cls(DaemonRows(row), gossip, tables, app.clock)

    async def start(self) -> None:
        """Start to write the own row and to read those of peers."""
        self._periodic.start()

    async def stop(self) -> None:
        """Stop and delete the own row."""
        await self._periodic.stop()
        await self._tables.commit(self._rows.own_row_deletion())

    async def _run_round(self) -> None:
        now_s = self._clock.now_s()
        write = self._rows.due_write(now_s)
        if write is not None:
            written = await self._tables.commit(write)
            if isinstance(written, Committed):
                self._rows.record_write(now_s)
        is_cut_off = self._gossip.is_cut_off(now_s)
        if self._rows.is_read_due(now_s, is_cut_off=is_cut_off):
            await self._read()

    async def _read(self) -> None:
        rows = await self._tables.scan(ROW_PREFIX)
        if isinstance(rows, Unavailable):
            return
        now_s = self._clock.now_s()
        self._gossip.view.set_rows(self._rows.handle_rows(rows, now_s))
        live = {member.entry.name for member in self._gossip.live(now_s)}
        for deletion in self._rows.stale_row_deletions(live, now_s):
            await self._tables.commit(deletion)
            logger.info(
                'peers: row of a dead daemon deleted key=%s',
                deletion.writes[0].key,
            )
