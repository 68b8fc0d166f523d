"""Follows tables of the store."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Protocol

from nutmegspoke.metadata_store import HistoryLost, TableChanges, Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.metadata_store import ChangeFeed

logger = logging.getLogger(__name__)

# Longest wait for a change. A feed that goes silent is noticed sooner, by the
# news of daemons whose feed has not.
FEED_WAIT_S = 10.0
# Pause after changes, so that several that come together cost one call: more
# with more daemons, whose calls add up, and short against the time to drain.
_GATHER_PER_DAEMON_S = 0.02
_LEAST_GATHER_S = 0.2
_MOST_GATHER_S = 1.0
# Pauses after a failed call: the first short, as a call may fail by chance.
_PAUSES_S = (0.05, 0.2, 0.5, 1.0)


def gather_s(daemons: int) -> float:
    """Return the pause between two calls that bring changes."""
    wanted_s = _GATHER_PER_DAEMON_S * daemons
    return min(_MOST_GATHER_S, max(_LEAST_GATHER_S, wanted_s))


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
    :param daemons: tells how many daemons follow tables.
    """

    def __init__(
        self,
        table: str,
        feed: ChangeFeed,
        listener: TableListener,
        daemons: Callable[[], int],
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        """Prepare to follow."""
        self._daemons = daemons
        self.table = table
        self._feed = feed
        self._listener = listener
        self._log = log
        self._clock = clock
        self._version: int | None = None
        self._newest_change = 0
        self._failures = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def newest_change(self) -> int | None:
        """Return the newest change that was read; ``None`` before a list."""
        return None if self._version is None else self._newest_change

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
                read = await self._feed.snapshot(self.table)
            else:
                read = await self._feed.changes(
                    self.table,
                    self._version,
                    FEED_WAIT_S,
                )
            if self._take(read):
                await asyncio.sleep(gather_s(self._daemons()))
            else:
                last = len(_PAUSES_S)
                await asyncio.sleep(_PAUSES_S[min(self._failures, last) - 1])

    def _take(self, read: TableChanges | HistoryLost | Unavailable) -> bool:
        now_s = self._clock.now_s()
        if isinstance(read, Unavailable):
            self._failed(read.reason, now_s)
            return False
        self._answered(now_s)
        if isinstance(read, TableChanges):
            self._newest_change = max(self._newest_change, read.newest_change)
        if isinstance(read, HistoryLost):
            self._log.decided('history_lost', table=self.table)
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
            self._log.decided('store_lost', table=self.table, reason=reason)
        self._listener.failed(reason, now_s)

    def _answered(self, now_s: float) -> None:
        if self._failures:
            self._log.decided(
                'store_regained',
                table=self.table,
                failures=self._failures,
            )
        self._failures = 0
        self._listener.answered(now_s)
