"""Bounds the repeats of all daemons together in a sliding window."""

from __future__ import annotations

import collections
import dataclasses

# The part of the bound that is used: requests spread unevenly in time, and what
# others have repeated is known with a delay.
_SAFETY = 0.8
# Equal shares of what others leave unused that a daemon may borrow. Losses hit
# some daemons more than others, and rarely all at the same moment.
_BORROWED_SHARES = 4.0


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


@dataclasses.dataclass(frozen=True, slots=True)
class PoolUse:
    """What some daemons did in the last window, for one pool.

    :param daemons: how many they are.
    """

    requests: int = 0
    repeats: int = 0
    daemons: int = 0


NO_USE = PoolUse()


class WindowBudget:
    """Repeats of this daemon to one pool.

    A daemon may repeat its share of its own requests, and an equal part of
    the slack of all. Beyond that it may borrow some of what others, as far as
    they are heard, leave unused.
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

    def used(self, now_s: float) -> tuple[int, int]:
        """Return the requests and the repeats in the window."""
        self._forget(now_s)
        return len(self._requests), len(self._repeats)

    def take(
        self,
        daemon_count: int,
        now_s: float,
        others: PoolUse = NO_USE,
    ) -> bool:
        """Take one repeat; ``False`` if the window has no more.

        :param daemon_count: daemons that share the slack, this one included.
        :param others: what the daemons that are heard did.
        """
        if self.left(daemon_count, now_s, others) < 1:
            return False
        self._repeats.append(now_s)
        return True

    def left(
        self,
        daemon_count: int,
        now_s: float,
        others: PoolUse = NO_USE,
    ) -> float:
        """Return how many repeats may still be made in this window."""
        requests, repeats = self.used(now_s)
        slack = self._settings.slack / max(1, daemon_count)
        own_part = self._allowed(requests, slack)
        together = self._allowed(
            requests + others.requests,
            slack * (others.daemons + 1),
        )
        unused = together - others.repeats - own_part
        borrowed_part = max(0.0, unused) * min(
            1.0,
            _BORROWED_SHARES / max(1, daemon_count),
        )
        return own_part + borrowed_part - repeats

    def _allowed(self, requests: int, slack: float) -> float:
        return _SAFETY * (self._settings.share * requests + slack)

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self._settings.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] <= oldest_s:
                times.popleft()
