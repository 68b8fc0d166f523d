"""Follows tables of the store."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Protocol

from nutmegspoke.metadata_store import HistoryLost, TableChanges, Unavailable

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.metadata_store import ChangeFeed

logger = logging.getLogger(__name__)

# Longest wait for a change: bounds how long a silent feed goes unnoticed.
FEED_WAIT_S = 4.0
# Pauses after a failed call: the first short, as a call may fail by chance.
_PAUSES_S = (0.05, 0.2, 0.5)


class TableListener(Protocol):
    """Takes what a follower reads."""

    def listed(self, table: TableChanges, now_s: float) -> None:
        """Take the whole table."""

    def changed(self, changes: TableChanges, now_s: float) -> None:
        """Take changes since the last call."""

    def failed(self, reason: str, now_s: float) -> None:
        """Take that the store did not answer as it should."""

    def answered(self, now_s: float) -> None:
        """Take that the store answers."""


class TableFollower:
    """Keeps a listener up to date with one table.

    :param table: name of the table.
    """

    def __init__(
        self,
        table: str,
        feed: ChangeFeed,
        listener: TableListener,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        """Prepare to follow."""
        self._table = table
        self._feed = feed
        self._listener = listener
        self._log = log
        self._clock = clock
        self._version: int | None = None
        self._failures = 0
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Follow no more."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def restart(self) -> None:
        """Drop the call under way and read the whole table again."""
        await self.stop()
        self._version = None
        await self.start()

    async def _run(self) -> None:
        while True:
            if self._version is None:
                read = await self._feed.snapshot(self._table)
            else:
                read = await self._feed.changes(
                    self._table,
                    self._version,
                    FEED_WAIT_S,
                )
            if not self._take(read):
                last = len(_PAUSES_S)
                await asyncio.sleep(_PAUSES_S[min(self._failures, last) - 1])

    def _take(self, read: TableChanges | HistoryLost | Unavailable) -> bool:
        now_s = self._clock.now_s()
        if isinstance(read, Unavailable):
            self._failed(read.reason, now_s)
            return False
        self._answered(now_s)
        if isinstance(read, HistoryLost):
            self._log.decided('history_lost', table=self._table)
            self._version = None
        elif self._version is None:
            self._version = read.version
            self._listener.listed(read, now_s)
        else:
            self._version = max(self._version, read.version)
            self._listener.changed(read, now_s)
        return True

    def _failed(self, reason: str, now_s: float) -> None:
        self._failures += 1
        if self._failures == 1:
            self._log.decided('store_lost', table=self._table, reason=reason)
        self._listener.failed(reason, now_s)

    def _answered(self, now_s: float) -> None:
        if self._failures:
            self._log.decided(
                'store_regained',
                table=self._table,
                failures=self._failures,
            )
        self._failures = 0
        self._listener.answered(now_s)
