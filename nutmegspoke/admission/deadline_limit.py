"""Limit of a pool's running requests that keeps answers within deadlines."""

from __future__ import annotations

_START = 16.0
_LOWEST = 2.0
_EASY_SHARE = 0.5
_TIGHT_SHARE = 0.75
_EASY_INCREASE = 1.0
_DECREASE = 0.85
_IN_USE_SHARE = 0.9
_RATE_GAIN = 0.05
_LARGEST_DECAY = 0.998


class DeadlineLimit:
    """Additive increase, multiplicative decrease by the time that is used.

    Engines that batch give more throughput the more requests they run, and
    each request takes longer. The time of each ended request for a unit of
    work is projected on the largest request seen lately, so that a short one
    tells early how a long one will fare. The limit grows while the projection
    lies well within the time that a request has, and shrinks, at most once
    for as many ended requests as may run, when it comes close to its end. It
    does not grow while it is not in use.
    """

    def __init__(self) -> None:
        """Create a limit that starts low."""
        self._limit = _START
        self._s_per_cost = 0.0
        self._largest_cost = 0.0
        self._ended_since_decrease = 0

    @property
    def max_running(self) -> int:
        """Return how many requests may run at once."""
        return int(self._limit)

    def observe(
        self,
        service_s: float,
        cost: float,
        allowed_s: float,
        running: int,
    ) -> None:
        """Take a request that has ended, or that ran out of time.

        :param service_s: time from its start to its end.
        :param cost: its work.
        :param allowed_s: time from its start to its deadline.
        :param running: requests that ran then, this one among them.
        """
        change = service_s / max(cost, 1.0) - self._s_per_cost
        gain = _RATE_GAIN if self._s_per_cost else 1.0
        self._s_per_cost += gain * change
        self._largest_cost = max(cost, self._largest_cost * _LARGEST_DECAY)
        self._ended_since_decrease += 1
        projected_s = self._s_per_cost * self._largest_cost
        self._adapt(projected_s / max(allowed_s, 1e-3), running)

    def _adapt(self, used_share: float, running: int) -> None:
        if used_share > _TIGHT_SHARE:
            if self._ended_since_decrease >= self._limit:
                self._limit = max(_LOWEST, self._limit * _DECREASE)
                self._ended_since_decrease = 0
        elif running >= int(self._limit * _IN_USE_SHARE):
            is_easy = used_share < _EASY_SHARE
            self._limit += _EASY_INCREASE if is_easy else 1 / self._limit
