"""Notices by other daemons' news that a feed of the store has gone silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Feeds tell a change to all daemons within a few round trips of the store.
BEHIND_LIMIT_S = 0.5
# A feed that was begun anew gets so long to catch up.
_RESTART_PAUSE_S = 1.5


class FeedVersions:
    """Compares the versions that daemons have read of each table."""

    def __init__(self) -> None:
        """Start without news."""
        self._newest: dict[str, int] = {}
        self._behind_s: dict[str, float] = {}
        self._restarted_s: dict[str, float] = {}

    def heard(self, versions: Mapping[str, int]) -> None:
        """Take the versions that another daemon has read, by table."""
        for table, version in versions.items():
            known = self._newest.get(table, 0)
            self._newest[table] = max(known, version)

    def must_restart(self, table: str, own: int | None, now_s: float) -> bool:
        """Tell whether this daemon's feed of a table must be begun anew.

        :param own: version that it has read; ``None`` if it has none yet.
        """
        if own is None or own >= self._newest.get(table, 0):
            self._behind_s.pop(table, None)
            return False
        since_s = self._behind_s.setdefault(table, now_s)
        restarted_s = self._restarted_s.get(table, float('-inf'))
        if now_s - since_s < BEHIND_LIMIT_S:
            return False
        if now_s - restarted_s < _RESTART_PAUSE_S:
            return False
        self._restarted_s[table] = now_s
        return True
