"""Follows tables of the store."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Protocol

from nutmegspoke.membership.table_news import RecentChanges, find_new_changes
from nutmegspoke.metadata_store import HistoryLost, TableChanges, Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.membership.store_health import StoreHealth
    from nutmegspoke.membership.table_news import TableUpdate
    from nutmegspoke.metadata_store import ChangeFeed

logger = logging.getLogger(__name__)

# Longest wait for a change. A feed that goes silent is noticed sooner, by the
# news of daemons whose feed has not.
FEED_WAIT_S = 10.0
# A daemon that is told changes looks at the store itself after so long without
# news: readers tell some times a second, and a target that leaves must be out
# of use two seconds later.
_NEWS_SILENCE_S = 1.2
_LOOK_S = 0.1
# Pause of a reader between two calls: it tells many others.
_READER_GATHER_S = 0.4
# A failure of the store is told to others for so long.
_TROUBLE_TOLD_S = 5.0
# Pause after changes, so that several that come together cost one call: more
# with more daemons, whose calls add up, and short against the time to drain.
_GATHER_PER_DAEMON_S = 0.02
_LEAST_GATHER_S = 0.2
_MOST_GATHER_S = 1.0


def gather_s(daemons: int) -> float:
    """Return the pause between two calls that bring changes."""
    wanted_s = _GATHER_PER_DAEMON_S * daemons
    return min(_MOST_GATHER_S, max(_LEAST_GATHER_S, wanted_s))


class TableListener(Protocol):
    """Takes what a follower reads."""

    def listed(self, table: TableChanges, now_s: float) -> None:
        """Take the whole table."""

    def changed(self, changes: TableChanges, now_s: float) -> frozenset[str]:
        """Take changes since the last call.

        :returns: names of the rows whose changes mean something.
        """

    def heard_of_trouble(self, trouble_s: float) -> None:
        """Take that the store failed another daemon at that time."""

    def failed(self, reason: str, now_s: float) -> None:
        """Take that the store did not answer as it should."""

    def answered(self, now_s: float) -> None:
        """Take that the store answers."""


class TableFollower:
    """Keeps a listener up to date with one table.

    A daemon that does not read the table for others is told its changes by
    those that do, and looks itself when it hears none.

    :param table: name of the table.
    :param daemons: tells how many daemons follow tables.
    :param health: shared by all feeds of this daemon.
    :param reads: tells whether this daemon reads the table; ``None`` if all
        daemons do.
    """

    def __init__(
        self,
        table: str,
        feed: ChangeFeed,
        listener: TableListener,
        daemons: Callable[[], int],
        log: DecisionLog,
        clock: Clock,
        health: StoreHealth,
        reads: Callable[[], bool] | None = None,
    ) -> None:
        """Prepare to follow."""
        self._health = health
        self._daemons = daemons
        self._reads = reads
        self._recent = RecentChanges()
        self._heard_s = float('-inf')
        self._trouble_s = float('-inf')
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

    def is_reader(self) -> bool:
        """Tell whether this daemon reads the table from the store."""
        return self._reads is None or self._reads()

    @property
    def is_passed_on(self) -> bool:
        """Tell whether few daemons read the table for all."""
        return self._reads is not None

    def news(self, host: str) -> TableUpdate | None:
        """Return what to tell the daemons that don't read the table.

        :returns: ``None`` while the store does not answer here.
        """
        if self._version is None or self._health.is_failing:
            return None
        now_s = self._clock.now_s()
        age_s = now_s - self._trouble_s
        if age_s > _TROUBLE_TOLD_S:
            age_s = -1.0
        return self._recent.news(host, self.table, age_s, now_s)

    def heard(self, news: TableUpdate) -> None:
        """Take what a reader tells."""
        now_s = self._clock.now_s()
        if self._version is None or news.since > self._version:
            return
        self._heard_s = now_s
        if news.failure_age_s >= 0:
            self._listener.heard_of_trouble(now_s - news.failure_age_s)
        changes = find_new_changes(news, self._version)
        if changes is not None:
            self._apply(self._version, changes, now_s)

    async def restart(self) -> None:
        """Drop the call under way and read the whole table again."""
        await self.stop()
        self._version = None
        await self.start()

    async def _run(self) -> None:
        while True:
            if self._is_told():
                await asyncio.sleep(_LOOK_S)
                continue
            now_s = self._clock.now_s()
            wait_s = self._health.wait_s(self.table, now_s)
            if wait_s > 0:
                self._note_trouble('another call failed', now_s)
                await asyncio.sleep(min(wait_s, _LOOK_S))
            elif self._take(await self._read()):
                await asyncio.sleep(self._pause_s())

    async def _read(self) -> TableChanges | HistoryLost | Unavailable:
        if self._version is None:
            return await self._feed.snapshot(self.table)
        is_try = self._health.is_failing or not self.is_reader()
        wait_s = 0.0 if is_try else FEED_WAIT_S
        return await self._feed.changes(self.table, self._version, wait_s)

    def _is_told(self) -> bool:
        """Tell whether others keep this daemon up to date."""
        if self._version is None or self.is_reader():
            return False
        return self._clock.now_s() - self._heard_s < _NEWS_SILENCE_S

    def _pause_s(self) -> float:
        """Return the time in which changes gather before the next call."""
        if self._reads is None or not self.is_reader():
            return gather_s(self._daemons())
        return min(_READER_GATHER_S, gather_s(self._daemons()))

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
            self._recent.listed(read)
            self._listener.listed(read, now_s)
        else:
            self._apply(self._version, read, now_s)
        self._heard_s = now_s
        return True

    def _apply(self, since: int, read: TableChanges, now_s: float) -> None:
        self._version = max(since, read.version)
        self._newest_change = max(self._newest_change, read.newest_change)
        told = self._listener.changed(read, now_s)
        if self.is_passed_on:
            self._recent.read(since, read, told, now_s)

    def _failed(self, reason: str, now_s: float) -> None:
        self._health.failed(self.table, now_s)
        self._failures += 1
        if self._failures == 1:
            self._log.decided('store_lost', table=self.table, reason=reason)
        self._note_trouble(reason, now_s)

    def _note_trouble(self, reason: str, now_s: float) -> None:
        self._trouble_s = now_s
        self._listener.failed(reason, now_s)

    def _answered(self, now_s: float) -> None:
        self._health.answered(self.table)
        if self._failures:
            self._trouble_s = now_s
            self._log.decided(
                'store_regained',
                table=self.table,
                failures=self._failures,
            )
        self._failures = 0
        self._listener.answered(now_s)
