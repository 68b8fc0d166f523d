"""Notices by other daemons' news that a feed of the store has gone silent."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Feeds tell a change to all daemons within a few round trips of the store;
# the pause in which a feed gathers changes comes on top.
BEHIND_LIMIT_S = 0.5
# Versions heard of within so short a time need not be told apart.
_STEP_S = 0.1
# A feed that was begun anew gets so long to catch up.
_RESTART_PAUSE_S = 1.5


class FeedVersions:
    """Compares the versions that daemons have read of each table.

    Tables may change all the time, so that no feed is ever quite up to date:
    each version heard of has its own time in which it must be read here too.
    """

    def __init__(self) -> None:
        """Start without news."""
        self._heard: dict[str, collections.deque[tuple[float, int]]] = {}
        self._restarted_s: dict[str, float] = {}

    def heard(self, versions: Mapping[str, int], now_s: float) -> None:
        """Take the versions that another daemon has read, by table."""
        for table, version in versions.items():
            known = self._heard.setdefault(table, collections.deque())
            if not known:
                known.append((now_s, version))
                continue
            last_s, last = known[-1]
            if version > last and now_s - last_s >= _STEP_S:
                known.append((now_s, version))

    def must_restart(
        self,
        table: str,
        own: int | None,
        gather_s: float,
        now_s: float,
    ) -> bool:
        """Tell whether this daemon's feed of a table must be begun anew.

        :param own: version that it has read; ``None`` if it has none yet.
        :param gather_s: pause between two calls of the feed.
        """
        if own is None:
            return False
        known = self._heard.get(table)
        while known and known[0][1] <= own:
            known.popleft()
        if not known or now_s - known[0][0] < BEHIND_LIMIT_S + gather_s:
            return False
        restarted_s = self._restarted_s.get(table, float('-inf'))
        if now_s - restarted_s < _RESTART_PAUSE_S:
            return False
        self._restarted_s[table] = now_s
        return True
