"""Limit on copies of slow requests, as a share of the requests for a pool.

All daemons share it: each tells the others how many it has sent lately.
"""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PoolCopies:
    """Requests for a pool, and copies of them, in the last window.

    :param requests: requests of callers at all daemons that are heard.
    :param copied_elsewhere: copies that the other daemons have sent.
    """

    requests: int
    copied_elsewhere: int = 0


class CopyShares:
    """Copies that this daemon has sent, by pool.

    :param window_s: length of the window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        """Start without copies."""
        self._window_s = window_s
        self._sent_s: dict[str, collections.deque[float]] = {}

    def set_window(self, window_s: float) -> None:
        """Change the window, in seconds."""
        self._window_s = window_s

    def sent(self, pool: str, now_s: float) -> None:
        """Count a copy of a request for a pool."""
        self._sent_s.setdefault(pool, collections.deque()).append(now_s)

    def is_left(
        self, pool: str, known: PoolCopies, max_share: float, now_s: float
    ) -> bool:
        """Return whether one more copy is within the limit.

        :param max_share: limit as a share of the requests for the pool.
        :param now_s: current time, in seconds.
        """
        copied = self._count(pool, now_s) + known.copied_elsewhere
        return copied + 1 <= max_share * known.requests

    def share(self, pool: str, known: PoolCopies, now_s: float) -> float:
        """Return the copies in the window as a share of the requests."""
        copied = self._count(pool, now_s) + known.copied_elsewhere
        return copied / max(1, known.requests)

    def outgoing(self, now_s: float) -> dict[str, int]:
        """Return the copies of this daemon in the window, by pool."""
        counts = {pool: self._count(pool, now_s) for pool in self._sent_s}
        return {pool: count for pool, count in counts.items() if count}

    def _count(self, pool: str, now_s: float) -> int:
        sent_s = self._sent_s.get(pool)
        if sent_s is None:
            return 0
        while sent_s and sent_s[0] <= now_s - self._window_s:
            sent_s.popleft()
        return len(sent_s)
