"""Calls for the changes of a table that can be repeated while they wait."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from nutmegspoke.metadata_store import TableChanges

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.metadata_store import (
        ChangeFeed,
        HistoryLost,
        Unavailable,
    )


class TablePolls:
    """Calls of one follower, one at a time.

    :param table: name of the table.
    :param feed: feed of the store.
    :param clock: clock of the process.
    :ivar called_s: time of the last call.
    """

    def __init__(self, table: str, feed: ChangeFeed, clock: Clock) -> None:
        """Create without a call."""
        self._table = table
        self._feed = feed
        self._clock = clock
        self._call: asyncio.Future[object] | None = None
        self.called_s = clock.now_s()
        self._wait_s = 0.0

    async def read(
        self, since: int | None, wait_s: float
    ) -> TableChanges | HistoryLost | Unavailable | None:
        """Return the changes after a version, or the whole table.

        :param since: the version; ``None`` for the whole table.
        :param wait_s: time to wait if there is no change yet.
        :returns: ``None`` if the call must be repeated.
        """
        self.called_s = self._clock.now_s()
        self._wait_s = 0.0 if since is None else wait_s
        if since is None:
            return await self._feed.snapshot(self._table)
        call = asyncio.create_task(
            self._feed.changes(self._table, since, wait_s)
        )
        self._call = call
        try:
            await asyncio.wait((call,))
        finally:
            call.cancel()
        return None if call.cancelled() else call.result()

    def answered_s(
        self, result: TableChanges | HistoryLost, now_s: float
    ) -> float:
        """Return the earliest time at which the store can have answered.

        An answer may have been on its way for long. One without changes was
        given after the wait.

        :param result: the answer to the last call.
        """
        if isinstance(result, TableChanges) and not (
            result.rows or result.removed
        ):
            return min(now_s, self.called_s + self._wait_s)
        return self.called_s

    def repeat(self, lost_s: float) -> None:
        """End the call in progress if it was made before a time.

        :param lost_s: time before which calls may be lost or of an earlier era.
        """
        if self._call is not None and self.called_s < lost_s:
            self._call.cancel()
