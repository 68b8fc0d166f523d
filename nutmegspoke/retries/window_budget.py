"""Bounds the repeats of all daemons together in a sliding window."""

from __future__ import annotations

import collections
import dataclasses

# Part of the bound that each daemon has an equal share of, and part that is
# lent to those that need more. The rest is kept back: requests spread unevenly
# in time, and what others have borrowed is known with a delay.
_OWN_PART = 0.5
_LENT_PART = 0.3
# What is left of the lent part is shared out anew each second: news of what
# others have borrowed are no older, so that all together borrow no more.
_BORROW_S = 1.0


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
class PoolUsage:
    """What some daemons did in the last window, for one pool.

    :param requests: requests of callers.
    :param borrowed: repeats beyond their own shares.
    :param daemons: how many daemons they are.
    """

    requests: int = 0
    borrowed: int = 0
    daemons: int = 0


NO_USAGE = PoolUsage()


class WindowBudget:
    """Repeats of this daemon to one pool.

    A daemon may repeat its share of its own requests, and an equal part of
    the slack of all. Losses hit some daemons more than others: beyond that it
    may borrow, as long as the others that are heard have not.
    """

    def __init__(self, settings: WindowSettings) -> None:
        """Start with an empty window."""
        self._settings = settings
        self._requests: collections.deque[float] = collections.deque()
        self._own: collections.deque[float] = collections.deque()
        self._borrowed: collections.deque[float] = collections.deque()

    def update_settings(self, settings: WindowSettings) -> None:
        """Bound repeats by other settings from now on."""
        self._settings = settings

    def count_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._forget(now_s)
        self._requests.append(now_s)

    def used(self, now_s: float) -> tuple[int, int]:
        """Return the requests and the borrowed repeats in the window."""
        self._forget(now_s)
        return len(self._requests), len(self._borrowed)

    def try_acquire(
        self,
        daemon_count: int,
        now_s: float,
        others: PoolUsage = NO_USAGE,
    ) -> bool:
        """Take one repeat; ``False`` if the window has no more.

        :param daemon_count: daemons that share the slack, this one included.
        :param others: what the daemons that are heard did.
        """
        if self._own_left(daemon_count, now_s) >= 1:
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
        """Return how many repeats may be made now."""
        own_left = max(0.0, self._own_left(daemon_count, now_s))
        return own_left + max(
            0.0, self._borrowable(daemon_count, now_s, others)
        )

    def _own_left(self, daemon_count: int, now_s: float) -> float:
        self._forget(now_s)
        slack = self._settings.slack / max(1, daemon_count)
        allowed = self._settings.share * len(self._requests) + slack
        return _OWN_PART * allowed - len(self._own)

    def _borrowable(
        self,
        daemon_count: int,
        now_s: float,
        others: PoolUsage,
    ) -> float:
        """Return what may still be borrowed in this second."""
        requests, borrowed = self.used(now_s)
        daemons = others.daemons + 1
        slack = self._settings.slack * daemons / max(1, daemon_count)
        allowed = self._settings.share * (requests + others.requests) + slack
        recently_borrowed = sum(now_s - at < _BORROW_S for at in self._borrowed)
        available = (
            _LENT_PART * allowed
            - others.borrowed
            - (borrowed - recently_borrowed)
        )
        return max(0.0, available) / max(1, daemon_count) - recently_borrowed

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self._settings.window_s
        for times in (self._requests, self._own, self._borrowed):
            while times and times[0] <= oldest_s:
                times.popleft()
