"""Keeps the routes and pools in force at the highest known revision."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from nutmegspoke.border.evidence_log import NAME as EVIDENCE
from nutmegspoke.border.evidence_log import EvidenceLog
from nutmegspoke.border.http_sessions import NAME as SESSIONS
from nutmegspoke.border.http_sessions import HttpSessions
from nutmegspoke.border.periodic import Periodic
from nutmegspoke.border.table_reads import read_snapshot
from nutmegspoke.membership.table_passing import EncodedTables, TableHistory
from nutmegspoke.metadata_store import Unavailable
from nutmegspoke.tables import codec
from nutmegspoke.tables.revisions import (
    Ignored,
    IgnoredReason,
    RevisionTracker,
    Source,
)
from nutmegspoke.tables.rows import Tables
from nutmegspoke.tables.snapshot import TablesSnapshot, decode_bodies

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.membership.messages import TablesReply
    from nutmegspoke.metadata_store import TableService

logger = logging.getLogger(__name__)
NAME = 'tables_watch'


class TablesWatch:
    """Polls the revision row and reads the tables when it has increased."""

    def __init__(
        self,
        tables: TableService,
        clock: Clock,
        interval_s: float,
        evidence: EvidenceLog,
    ) -> None:
        """Start with empty tables at revision 0."""
        self._evidence = evidence
        self.history = TableHistory()
        self.tracker = RevisionTracker()
        self.is_store_reachable = False
        self._confirm_task: asyncio.Task[None] | None = None
        self._tables = tables
        self._clock = clock
        self._periodic = Periodic(NAME, interval_s, self.poll)

    @property
    def current(self) -> Tables:
        """Return the tables in force."""
        return self.tracker.current

    @property
    def confirmed_s(self) -> float | None:
        """Return the time of the last confirmation by the table service."""
        return self.tracker.store_confirmed_s

    @property
    def is_ready(self) -> bool:
        """Return whether the tables are confirmed and may be used now."""
        return self.tracker.is_confirmed(self._clock.now_s())

    async def start(self) -> None:
        """Start to poll."""
        self._periodic.start()

    async def stop(self) -> None:
        """Stop polling."""
        await self._periodic.stop()

    async def poll(self) -> None:
        """Read the revision and, if it has increased, the rows."""
        asked_s = self._clock.now_s()
        revision = await self._read_revision()
        self.is_store_reachable = revision is not None
        if revision is None:
            return
        if revision > self.current.revision:
            await self._read_rows()
        ignored = self.tracker.confirm(revision, asked_s)
        if ignored is not None:
            logger.warning(
                'tables: lower revision read revision=%d in_force=%d',
                revision,
                self.current.revision,
            )

    async def confirm(self) -> bool:
        """Poll the table service now if the tables are not confirmed.

        Concurrent callers share one poll.

        :returns: whether the tables may be used.
        """
        if not self.is_ready:
            if self._confirm_task is None or self._confirm_task.done():
                self._confirm_task = asyncio.create_task(self.poll())
            await asyncio.shield(self._confirm_task)
        return self.is_ready

    async def _read_rows(self) -> None:
        snapshot = await read_snapshot(self._tables)
        if isinstance(snapshot, TablesSnapshot):
            revision = snapshot.tables.revision
            encoded = EncodedTables(revision, snapshot.bodies())
            self._adopt(snapshot.tables, encoded, Source.STORE)
        else:
            logger.warning('tables: reading rows failed result=%s', snapshot)

    def apply_peer_reply(self, reply: TablesReply) -> None:
        """Adopt rows received from a peer if their revision is higher.

        :param reply: changes relative to the revision in force.
        """
        encoded = self.history.apply(reply)
        if encoded is None:
            return
        tables = decode_bodies(encoded.revision, dict(encoded.bodies))
        if isinstance(tables, Tables):
            self._adopt(tables, encoded, Source.PEER)
        else:
            logger.warning(
                'tables: unreadable row from a peer key=%s', tables.key
            )

    def _adopt(
        self,
        tables: Tables,
        encoded: EncodedTables,
        source: Source,
    ) -> None:
        result = self.tracker.offer(tables, source, self._clock.now_s())
        if isinstance(result, Ignored):
            _report_ignored(result)
            return
        self.history.keep(encoded)
        self._evidence.record_adoption(
            result.revision, result.previous, source.value
        )
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


def _report_ignored(ignored: Ignored) -> None:
    level = logging.INFO
    if ignored.reason is IgnoredReason.DIFFERS:
        level = logging.ERROR
    logger.log(
        level,
        'tables: offer ignored reason=%s revision=%d in_force=%d source=%s',
        ignored.reason,
        ignored.offered,
        ignored.in_force,
        ignored.source,
    )


def setup(app: Application) -> None:
    """Register the watch of the tables."""
    sessions = app.kernel.find(SESSIONS, HttpSessions)
    watch = TablesWatch(
        sessions.platform.tables,
        app.clock,
        app.settings.platform.poll_interval_s,
        app.kernel.find(EVIDENCE, EvidenceLog),
    )
    app.kernel.register(NAME, watch)
