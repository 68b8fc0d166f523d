"""Keeps quarantines in the store, so that they outlive all daemons.

Daemons tell each other of quarantines; these rows are for the case that all of
them end at the same time.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.border.periodic import Periodic
from nutmegspoke.metadata_store import (
    Committed,
    StoredRow,
    Transaction,
    Unavailable,
    Write,
)
from nutmegspoke.retries.notices import QuarantineNotice
from nutmegspoke.untrusted import UndecodableError, UntrustedDecoder

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.platform_parts import Store
    from nutmegspoke.edge.view import View

logger = logging.getLogger(__name__)

QUARANTINE_TABLE = 'quarantine'
# Interval at which calls that failed are repeated.
_INTERVAL_S = 1.0
# Rows that one transaction writes or removes.
_MAX_WRITES = 50
# The store allows keys of this length.
_MAX_KEY_BYTES = 200


class QuarantineRow(msgspec.Struct, frozen=True):
    """A quarantine, whose request or parts are named by the key of the row.

    :param target: name of the target whose crash is the cause.
    :param targets: names of all targets that crashed while it was in flight.
    :param until_s: time of day of its end.
    """

    target: str
    targets: tuple[str, ...]
    until_s: float


_decoder = UntrustedDecoder.from_json(QuarantineRow)


class QuarantineRows:
    """Writes the quarantines that this daemon decides, and reads all at start.

    Rows are removed when their quarantine is over, lifted or cleared.
    """

    def __init__(self, view: View, store: Store, clock: Clock) -> None:
        """Create without rows to write."""
        self._crashes = view.crashes
        self._store = store
        self._clock = clock
        self._is_loaded = False
        self._writes: dict[str, Write] = {}
        # Names of the quarantines that were written or read here.
        self._kept: set[str] = set()
        self._periodic = Periodic('quarantine', _INTERVAL_S, self._synchronize)
        self._crashes.subscribe_decisions(self._keep)

    async def start(self) -> None:
        """Start to read and write the rows."""
        self._periodic.start()

    async def stop(self) -> None:
        """Stop reading and writing."""
        await self._periodic.stop()

    def _keep(self, notice: QuarantineNotice) -> None:
        if len(notice.fingerprint) > _MAX_KEY_BYTES:
            logger.warning('quarantine: no row for %s', notice.fingerprint)
            return
        self._kept.add(notice.fingerprint)
        until_s = self._clock.wall_s() + notice.remaining_s
        row = QuarantineRow(notice.target, notice.targets, until_s)
        self._write(notice.fingerprint, msgspec.json.encode(row))
        self._periodic.wake()

    def _write(self, name: str, body: bytes | None) -> None:
        key = f'{QUARANTINE_TABLE}/{name}'
        self._writes[key] = Write(key, body)

    def _remove_ended(self) -> None:
        ended = self._kept - self._crashes.active_names(self._clock.now_s())
        for name in ended:
            self._write(name, None)
        self._kept -= ended

    async def _synchronize(self) -> None:
        if not self._is_loaded:
            await self._load()
        self._remove_ended()
        writes = tuple(self._writes.values())[:_MAX_WRITES]
        if not writes:
            return
        result = await self._store.commit(Transaction((), writes))
        if not isinstance(result, Committed):
            logger.info('quarantine: rows not written: %s', result)
            return
        for write in writes:
            if self._writes.get(write.key) is write:
                self._writes.pop(write.key)

    async def _load(self) -> None:
        table = await self._store.snapshot(QUARANTINE_TABLE)
        if isinstance(table, Unavailable):
            logger.info('quarantine: rows not read: %s', table.reason)
            return
        self._is_loaded = True
        for row in table.rows:
            self._kept.add(row.key.partition('/')[2])
            notice = self._to_notice(row)
            if notice is not None:
                self._crashes.receive((notice,), self._clock.now_s())

    def _to_notice(self, row: StoredRow) -> QuarantineNotice | None:
        """Return the notice of a row; ``None`` if it is over or unreadable."""
        try:
            kept = _decoder.decode(row.body)
        except UndecodableError as error:
            logger.warning('quarantine: row %s removed: %s', row.key, error)
            return None
        remaining_s = kept.until_s - self._clock.wall_s()
        if remaining_s <= 0:
            return None
        return QuarantineNotice(
            row.key.partition('/')[2], kept.target, remaining_s, kept.targets
        )
