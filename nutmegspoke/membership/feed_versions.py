"""Detect stale feeds of the store from the versions other daemons have read."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    _Reported = collections.deque[tuple[float, 'FeedVersion']]

# Changes reach the feeds of all daemons within a few round trips to the store,
# plus the pause in which a feed collects changes.
BEHIND_LIMIT_S = 0.5
# Minimum time between two versions that are recorded.
_MIN_SPACING_S = 0.1
# Time for a restarted feed to catch up.
_RESTART_PAUSE_S = 1.5


class FeedVersion(NamedTuple):
    """Version of the newest change that a feed has read.

    A version of a later era is newer than all versions of earlier ones.

    :ivar era: era of the store.
    :ivar newest_change: version of the change.
    """

    era: int
    newest_change: int


class FeedVersions:
    """Versions of each table that other daemons have read, with times.

    Tables may change all the time, so that a feed is never fully up to date.
    Each recorded version therefore has its own deadline by which this daemon
    must have read it too.
    """

    def __init__(self) -> None:
        """Start without versions."""
        self._reported: dict[str, _Reported] = {}
        self._restarted_s: dict[str, float] = {}

    def receive(
        self, versions: Mapping[str, FeedVersion], now_s: float
    ) -> None:
        """Record the versions that another daemon has read, by table."""
        for table, version in versions.items():
            known = self._reported.setdefault(table, collections.deque())
            if not known:
                known.append((now_s, version))
                continue
            last_s, last = known[-1]
            if version > last and now_s - last_s >= _MIN_SPACING_S:
                known.append((now_s, version))

    def must_restart(
        self,
        table: str,
        own: FeedVersion | None,
        lag_s: float,
        now_s: float,
    ) -> bool:
        """Return whether this daemon must restart its feed of a table now.

        ``True`` also records the restart, which delays the next one.

        :param own: version that it has read; ``None`` if it has none yet.
        :param lag_s: usual delay of the feed's newest change.
        """
        if own is None:
            return False
        known = self._reported.get(table)
        while known and known[0][1] <= own:
            known.popleft()
        if not known or now_s - known[0][0] < BEHIND_LIMIT_S + lag_s:
            return False
        restarted_s = self._restarted_s.get(table, float('-inf'))
        if now_s - restarted_s < _RESTART_PAUSE_S:
            return False
        self._restarted_s[table] = now_s
        return True
