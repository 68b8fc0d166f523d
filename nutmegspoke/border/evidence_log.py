"""Writes evidence to the object store in batches."""

from __future__ import annotations

import logging
import secrets
from typing import TYPE_CHECKING

from nutmegspoke.border.http_sessions import NAME as SESSIONS
from nutmegspoke.border.http_sessions import HttpSessions
from nutmegspoke.border.periodic import Periodic
from nutmegspoke.evidence.buffer import BufferLimits, EvidenceBuffer
from nutmegspoke.evidence.records import AdoptionRecord
from nutmegspoke.evidence.trails import Trails

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.evidence.records import Event
    from nutmegspoke.outcomes import Outcome
    from nutmegspoke.metadata_store import ObjectStore

logger = logging.getLogger(__name__)
NAME = 'evidence'
_FLUSH_INTERVAL_S = 2.0
_START_ID_BYTES = 6


class EvidenceLog:
    """Buffers evidence of requests and revisions and stores it in batches."""

    def __init__(
        self,
        clock: Clock,
        objects: ObjectStore,
        daemon: str,
        limits: BufferLimits | None = None,
        interval_s: float = _FLUSH_INTERVAL_S,
    ) -> None:
        """Create an empty log.

        :param clock: the clock of the process.
        :param objects: the object store.
        :param daemon: name of the daemon.
        :param limits: memory limits of the buffer.
        :param interval_s: seconds between two flushes.
        """
        self.buffer = EvidenceBuffer(
            secrets.token_hex(_START_ID_BYTES),
            limits or BufferLimits(),
        )
        self._clock = clock
        self._objects = objects
        self._daemon = daemon
        self._trails = Trails(daemon)
        self._periodic = Periodic(NAME, interval_s, self.flush)

    async def start(self) -> None:
        """Start to flush periodically."""
        self._periodic.start()

    async def stop(self) -> None:
        """Stop and flush once; records that can't be written are lost."""
        await self._periodic.stop()
        await self.flush()
        if len(self.buffer):
            logger.warning(
                'evidence: records not written records=%d', len(self.buffer)
            )

    def begin(self, request_id: str) -> None:
        """Open the trail of a request."""
        self._trails.begin(
            request_id,
            self._clock.now_s(),
            self._clock.wall_s(),
        )

    def note(self, request_id: str, event: Event) -> None:
        """Add an event to the trail of a request."""
        self._trails.add_event(request_id, event, self._clock.now_s())

    def end(self, request_id: str, outcome: Outcome, status: int) -> None:
        """Close the trail of a request."""
        record = self._trails.end(
            request_id,
            outcome,
            status,
            self._clock.now_s(),
        )
        if record is not None:
            self.buffer.add(record)

    def abandon(self, request_id: str) -> None:
        """Close the trail of a request whose caller has disconnected, if open."""
        record = self._trails.abandon(request_id, self._clock.now_s())
        if record is not None:
            self.buffer.add(record)

    def record_adoption(
        self, revision: int, previous: int, source: str
    ) -> None:
        """Record that this daemon has a revision in force."""
        self.buffer.add(
            AdoptionRecord(
                self._daemon,
                revision,
                previous,
                source,
                self._clock.wall_s(),
            ),
        )

    async def flush(self) -> None:
        """Write all buffered records; stop at the first failed write."""
        batch = self.buffer.next_batch()
        while batch is not None:
            failure = await self._objects.put(batch.name, batch.body)
            if failure is not None:
                self._log_failure(failure.reason)
                return
            self.buffer.mark_stored()
            batch = self.buffer.next_batch()

    def _log_failure(self, reason: str) -> None:
        logger.warning(
            'evidence: object store unreachable reason=%s waiting=%d '
            'dropped=%s',
            reason,
            len(self.buffer),
            dict(self.buffer.dropped),
        )


def setup(app: Application) -> None:
    """Register the evidence log."""
    sessions = app.kernel.find(SESSIONS, HttpSessions)
    log = EvidenceLog(
        app.clock,
        sessions.platform.objects,
        app.settings.daemon.name,
    )
    app.kernel.register(NAME, log)
