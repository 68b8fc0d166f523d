"""Followers of tables in the store, and the interface of their listeners.

A table with frequent changes is read by a few daemons only, its readers, which
forward changes to the others.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import math
from typing import TYPE_CHECKING, Protocol

from nutmegspoke.edge.call_results import CallResults
from nutmegspoke.edge.table_polls import TablePolls
from nutmegspoke.membership import table_delays
from nutmegspoke.membership.feed_versions import FeedVersion
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

# Pause after an unexpected error, which may occur again with each read.
_ERROR_PAUSE_S = 1.0


class TableListener(Protocol):
    """Receiver of the changes that a follower reads."""

    def listed(self, table: TableChanges, now_s: float) -> None:
        """Replace all rows by those of the table."""

    def changed(self, changes: TableChanges, now_s: float) -> frozenset[str]:
        """Apply the changes since the last call.

        :returns: names of the rows whose changes other daemons need.
        """

    def failed_elsewhere(self, failed_s: float) -> None:
        """Record that the store failed for another daemon.

        :param failed_s: time of that failure, by the clock of this process.
        """

    def failed(self, reason: str, now_s: float) -> None:
        """Record that a call to the store failed."""

    def answered(self, answered_s: float, now_s: float) -> None:
        """Record that a call to the store succeeded, here or elsewhere.

        :param answered_s: when it did.
        """

    def confirmed(self, confirmed_s: float) -> None:
        """Record that the rows are those that the store had at a time."""


def _unlimited_s() -> float:
    return math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class TableSharing:
    """How daemons share the reads of a table.

    :param is_used: returns whether a few daemons, the readers, read the table
        for the others now; otherwise each reads it for itself.
    :param is_reader: returns whether this daemon is one of them.
    :param is_busy: whether the table always changes.
    :param allowed_s: returns the time that a change is allowed to take until it
        is applied; infinity for a table that is not urgent.
    :param forwards_rows: whether readers forward changed rows. If not, as they
        are too large, the others read them when they hear of a change.
    """

    is_used: Callable[[], bool]
    is_reader: Callable[[], bool]
    is_busy: bool = False
    allowed_s: Callable[[], float] = _unlimited_s
    forwards_rows: bool = True

    def reads_store(self) -> bool:
        """Return whether this daemon reads the table from the store."""
        return not self.is_used() or self.is_reader()

    def has_receivers(self) -> bool:
        """Return whether other daemons rely on this one for the table."""
        return self.is_used() and self.is_reader()

    def role(self) -> table_delays.ReadRole:
        """Return how this daemon reads the table."""
        is_used = self.is_used()
        reads_store = not is_used or self.is_reader()
        return table_delays.ReadRole(
            allowed_s=self.allowed_s(),
            is_busy=self.is_busy,
            reads_store=reads_store,
            has_receivers=is_used and reads_store,
        )


class TableFollower:
    """Follower that keeps a listener up to date with one table.

    A daemon that is not a reader of the table receives its changes in updates
    from the readers, and reads the store itself if no update arrives.

    :param table: name of the table.
    :param feed: feed of the store.
    :param listener: receives the changes.
    :param count_daemons: returns the number of other daemons that follow
        tables.
    :param log: log of decisions.
    :param clock: clock of the process.
    :param health: state of the store, shared by all followers of this daemon.
    :param sharing: how daemons share the reads of the table.
    :ivar results: what calls and readers have shown of the store.
    :ivar era: era of the store in which the versions hold; 0 before the first
        answer.
    """

    def __init__(
        self,
        table: str,
        feed: ChangeFeed,
        listener: TableListener,
        count_daemons: Callable[[], int],
        log: DecisionLog,
        clock: Clock,
        health: StoreHealth,
        sharing: TableSharing,
    ) -> None:
        """Create a follower that is not started yet."""
        self._health = health
        self._count_daemons = count_daemons
        self.sharing = sharing
        self._recent_changes = RecentChanges()
        self._heard_s = float('-inf')
        self.table = table
        self._listener = listener
        self._log = log
        self.results = CallResults(table, listener, log, health)
        self._clock = clock
        # Version up to which the table is known, by calls or by updates.
        self._version: int | None = None
        # Version of the last answer; unlike the one above, it is kept when the
        # whole table is read again.
        self._last_version = 0
        self.era = 0
        # Version of the newest change read, insignificant ones included.
        self._newest_change = 0
        # Whether an update told of changes that must be read from the store.
        self._is_behind = False
        self._task: asyncio.Task[None] | None = None
        self._polls = TablePolls(table, feed, clock)
        health.subscribe(self._polls.repeat)

    @property
    def newest_change(self) -> int | None:
        """Return the version of the newest change that was read.

        :returns: ``None`` until the whole table has been read.
        """
        return None if self._version is None else self._newest_change

    @property
    def feed_version(self) -> FeedVersion | None:
        """Return the version to compare with those of other daemons.

        :returns: ``None`` until the whole table has been read.
        """
        newest_change = self.newest_change
        if newest_change is None:
            return None
        return FeedVersion(self.era, newest_change)

    async def start(self) -> None:
        """Start the task that follows the table."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Cancel the task and wait for its end."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    def is_reader(self) -> bool:
        """Return whether this daemon reads the table from the store."""
        return self.sharing.reads_store()

    def new_update(self, host: str) -> TableUpdate | None:
        """Return the update for the daemons that don't read the table.

        :param host: name of this host, the sender.
        :returns: ``None`` until the table is read and while the store fails.
        """
        if self._version is None or self._health.is_failing:
            return None
        now_s = self._clock.now_s()
        age_s = self.results.reported_age_s(now_s)
        return self._recent_changes.build_update(
            host, self.table, age_s, self.results.confirmed_s, now_s
        )

    def receive_update(self, update: TableUpdate) -> None:
        """Apply an update from a reader.

        An update that starts after the version known here is ignored, as
        changes in between would be missed. So is one of another era, whose
        versions are not comparable.
        """
        now_s = self._clock.now_s()
        if self._version is None or update.era != self.era:
            return
        if self.sharing.forwards_rows:
            if update.since > self._version:
                return
        elif update.newest_change_version > self._newest_change:
            self._is_behind = True
            return
        self._heard_s = now_s
        answered_s = self.results.hear(update, now_s)
        changes = find_new_changes(update, self._version)
        if changes is not None:
            try:
                self._apply(self._version, changes, now_s)
            except Exception as error:  # noqa: BLE001 -- the table is read anew
                self._discard_table(error)
                return
        if update.version >= self._version:
            self.results.confirm(answered_s)

    async def restart(self) -> None:
        """Cancel the pending call and read the whole table again."""
        await self.stop()
        self._version = None
        await self.start()

    async def _run(self) -> None:
        while True:
            try:
                await self._run_once()
            except Exception as error:  # noqa: BLE001 -- the table is read anew
                self._discard_table(error)
                await asyncio.sleep(_ERROR_PAUSE_S)

    async def _run_once(self) -> None:
        if self._is_kept_current():
            self._health.release(self.table)
            await asyncio.sleep(table_delays.CHECK_INTERVAL_S)
            return
        now_s = self._clock.now_s()
        wait_s = self._health.wait_s(self.table, now_s)
        if wait_s > 0:
            # The store fails for another follower of this daemon. That
            # counts as a failure here, too, although no call is made.
            self.results.failed_elsewhere('another call failed', now_s)
            await asyncio.sleep(min(wait_s, table_delays.CHECK_INTERVAL_S))
            return
        if 0 < self.era < self._health.era:
            self._version = None
        since = self._version
        result = await self._polls.read(since, self._wait_s(now_s))
        if result is not None and self._handle_read(since, result):
            role = self.sharing.role()
            await asyncio.sleep(role.pause_s(self._count_daemons()))

    def _discard_table(self, error: Exception) -> None:
        """Log an unexpected error and read the whole table again.

        The changes may have been applied in part.
        """
        logger.error('followers: table %s', self.table, exc_info=error)
        self._log.decided(
            'follower_failed', table=self.table, reason=repr(error)
        )
        self._version = None

    def _wait_s(self, now_s: float) -> float:
        """Return how long a call waits if there is no change yet."""
        if self._health.is_failing or not self.is_reader():
            return 0.0
        confirmed_age_s = now_s - self.results.confirmed_s
        return self.sharing.role().wait_s(confirmed_age_s)

    def _is_kept_current(self) -> bool:
        """Return whether updates from readers keep this daemon current."""
        if self._version is None or self._is_behind or self.is_reader():
            return False
        now_s = self._clock.now_s()
        if now_s - self._heard_s >= table_delays.UPDATE_TIMEOUT_S:
            return False
        confirmed_age_s = now_s - self.results.confirmed_s
        return confirmed_age_s < table_delays.confirmed_limit_s(
            self.sharing.allowed_s()
        )

    def _handle_read(
        self,
        since: int | None,
        result: TableChanges | HistoryLost | Unavailable,
    ) -> bool:
        """Process the result of a call.

        :param since: version after which changes were requested; ``None`` if
            the whole table was.
        :returns: whether to pause before the next call.
        """
        now_s = self._clock.now_s()
        if isinstance(result, Unavailable):
            took_s = now_s - self._polls.called_s
            self.results.failed(result, took_s, now_s)
            return False
        is_new_era = self._enter_era(result, now_s)
        confirmed_s = self._polls.answered_s(result, now_s)
        self.results.answered(confirmed_s, now_s)
        if is_new_era and since is not None:
            return False
        if isinstance(result, TableChanges):
            if result.version < self._last_version:
                self._log.decided(
                    'store_went_back',
                    table=self.table,
                    known_version=self._last_version,
                    read_version=result.version,
                )
            self._last_version = result.version
            self._newest_change = max(self._newest_change, result.newest_change)
        if isinstance(result, HistoryLost):
            self._log.decided('history_lost', table=self.table)
            self._version = None
        elif since is None:
            self._version = result.version
            self._recent_changes.reset(result)
            self._listener.listed(result, now_s)
        elif self._version is not None:
            self._apply(self._version, result, now_s)
        self._heard_s = now_s
        self.results.confirm(confirmed_s)
        self._is_behind = False
        return True

    def _enter_era(
        self, result: TableChanges | HistoryLost, now_s: float
    ) -> bool:
        """Discard all versions if the store came back from an older copy.

        :returns: whether it did; then the whole table must be read.
        """
        if isinstance(result, HistoryLost) or result.era <= self.era:
            return False
        is_first = self.era == 0
        self.era = result.era
        self._health.enter_era(result.era, now_s)
        if is_first:
            return False
        self._log.decided(
            'store_went_back',
            table=self.table,
            known_version=self._last_version,
            read_version=result.version,
            era=self.era,
        )
        self._version = None
        self._last_version = 0
        self._newest_change = 0
        # Entries that the copy lacks are written again, as after an outage.
        self.results.failed_elsewhere('store went back', now_s)
        return True

    def _apply(self, since: int, result: TableChanges, now_s: float) -> None:
        self._version = max(since, result.version)
        self._newest_change = max(self._newest_change, result.newest_change)
        changed_names = self._listener.changed(result, now_s)
        self._recent_changes.add_answer(since, result, changed_names, now_s)
