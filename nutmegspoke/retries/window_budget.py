"""Bounds the repeats of all daemons together in a sliding window."""

from __future__ import annotations

import collections
import dataclasses

# Each daemon keeps below its part, as requests spread unevenly in time.
_SAFETY = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class WindowSettings:
    """Bound on repeats to one pool.

    :param share: repeats as a share of the requests in the window.
    :param slack: repeats allowed beyond that share, all daemons together.
    :param window_s: length of the window.
    """

    share: float
    slack: float
    window_s: float


class WindowBudget:
    """Repeats of this daemon to one pool.

    A daemon may repeat its share of its own requests, and an equal part of
    the slack of all.
    """

    def __init__(self, settings: WindowSettings) -> None:
        """Start with an empty window."""
        self._settings = settings
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def use(self, settings: WindowSettings) -> None:
        """Bound repeats by other settings from now on."""
        self._settings = settings

    def request_came(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._forget(now_s)
        self._requests.append(now_s)

    def take(self, daemon_count: int, now_s: float) -> bool:
        """Take one repeat; ``False`` if the window has no more.

        :param daemon_count: daemons that share the slack, this one included.
        """
        if self.left(daemon_count, now_s) < 1:
            return False
        self._repeats.append(now_s)
        return True

    def left(self, daemon_count: int, now_s: float) -> float:
        """Return how many repeats may still be made in this window."""
        self._forget(now_s)
        settings = self._settings
        slack = settings.slack / max(1, daemon_count)
        allowed = _SAFETY * (settings.share * len(self._requests) + slack)
        return allowed - len(self._repeats)

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self._settings.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] <= oldest_s:
                times.popleft()
