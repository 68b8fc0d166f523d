"""Limit on the retries of all daemons together in a sliding window.

Each daemon has a share of its own and may borrow from a part that all daemons
share. Daemons exchange their usage, see :class:`PoolUsage`.
"""

from __future__ import annotations

import collections
import dataclasses

# Part of the limit that is divided among the daemons, and part that daemons
# can borrow when their own share is used up. The rest is a safety margin:
# requests are spread unevenly over time, and the usage of other daemons is
# known with a delay.
_OWN_PART = 0.5
_BORROWABLE_PART = 0.3
# The remaining borrowable part is divided among the daemons again each second.
# Updates of what other daemons borrowed are no older than that, so that all
# daemons together stay within the part.
_BORROW_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class WindowSettings:
    """Limit on retries to one pool.

    :param share: retries as a share of the requests in the window.
    :param slack: retries permitted beyond that share, for all daemons
        together.
    :param window_s: length of the window in seconds.
    """

    share: float
    slack: float
    window_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PoolUsage:
    """Usage of one pool by a group of daemons in the last window.

    :param requests: number of requests of callers.
    :param borrowed: number of retries beyond the daemons' own shares.
    :param daemons: number of daemons in the group.
    """

    requests: int = 0
    borrowed: int = 0
    daemons: int = 0


NO_USAGE = PoolUsage()


class WindowBudget:
    """Budget of this daemon for retries to one pool.

    A daemon's own share is a share of its own requests, plus an equal part of
    the slack of all daemons. Failures affect some daemons more than others, so
    a daemon may borrow retries beyond its own share, as far as the other
    daemons whose updates are not expired have not borrowed them.
    """

    def __init__(self, settings: WindowSettings) -> None:
        """Create a budget with an empty window."""
        self._settings = settings
        self._requests: collections.deque[float] = collections.deque()
        self._own: collections.deque[float] = collections.deque()
        self._borrowed: collections.deque[float] = collections.deque()

    def update_settings(self, settings: WindowSettings) -> None:
        """Apply new settings; the counts in the window are kept."""
        self._settings = settings

    def count_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._drop_expired(now_s)
        self._requests.append(now_s)

    def usage(self, now_s: float) -> tuple[int, int]:
        """Return the number of requests and of borrowed retries in the window."""
        self._drop_expired(now_s)
        return len(self._requests), len(self._borrowed)

    def try_acquire(
        self,
        daemon_count: int,
        now_s: float,
        others: PoolUsage = NO_USAGE,
    ) -> bool:
        """Use one retry; return ``False`` if none is available.

        :param daemon_count: number of daemons that share the slack, including
            this one.
        :param now_s: current time, in seconds.
        :param others: usage of the other daemons whose updates are not expired.
        """
        if self._own_available(daemon_count, now_s) >= 1:
            self._own.append(now_s)
            return True
        if self._borrowable(daemon_count, now_s, others) >= 1:
            self._borrowed.append(now_s)
            return True
        return False

    def available(
        self,
        daemon_count: int,
        now_s: float,
        others: PoolUsage = NO_USAGE,
    ) -> float:
        """Return the number of retries that may be made now."""
        own_available = max(0.0, self._own_available(daemon_count, now_s))
        return own_available + max(
            0.0, self._borrowable(daemon_count, now_s, others)
        )

    def _own_available(self, daemon_count: int, now_s: float) -> float:
        self._drop_expired(now_s)
        slack = self._settings.slack / max(1, daemon_count)
        allowed = self._settings.share * len(self._requests) + slack
        return _OWN_PART * allowed - len(self._own)

    def _borrowable(
        self,
        daemon_count: int,
        now_s: float,
        others: PoolUsage,
    ) -> float:
        """Return the retries that may be borrowed in the current second."""
        requests, borrowed = self.usage(now_s)
        daemons = others.daemons + 1
        slack = self._settings.slack * daemons / max(1, daemon_count)
        allowed = self._settings.share * (requests + others.requests) + slack
        recently_borrowed = sum(
            now_s - time_s < _BORROW_INTERVAL_S for time_s in self._borrowed
        )
        available = (
            _BORROWABLE_PART * allowed
            - others.borrowed
            - (borrowed - recently_borrowed)
        )
        return max(0.0, available) / max(1, daemon_count) - recently_borrowed

    def _drop_expired(self, now_s: float) -> None:
        window_start_s = now_s - self._settings.window_s
        for times in (self._requests, self._own, self._borrowed):
            while times and times[0] <= window_start_s:
                times.popleft()
