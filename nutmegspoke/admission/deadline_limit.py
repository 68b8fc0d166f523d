"""Limit of the running requests of a pool that adapts to their deadlines."""

from __future__ import annotations

_START_LIMIT = 16.0
_MIN_LIMIT = 2.0
_LOW_USED_SHARE = 0.5
_HIGH_USED_SHARE = 0.75
_LOW_USE_INCREASE = 1.0
_DECREASE = 0.85
_IN_USE_SHARE = 0.9
_RATE_GAIN = 0.05
_LARGEST_COST_DECAY = 0.998


class DeadlineLimit:
    """Limit with additive increase and multiplicative decrease.

    The throughput of engines that batch rises with the number of running
    requests, and so does the time of each request. From the time per unit of
    work of each ended request, the time of the largest recent request is
    projected, so that short requests predict early how long a large one takes.
    The limit grows while the projected time is well below the time allowed. It
    shrinks when the projected time comes close to it, at most once per as many
    ended requests as the limit allows. It does not grow while it is not in use.
    """

    def __init__(self) -> None:
        """Create a limit with a low start value."""
        self._limit = _START_LIMIT
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
        """Add a request that has ended or exceeded its deadline.

        :param service_s: time from its start to its end, in seconds.
        :param cost: work of the request.
        :param allowed_s: time from its start to its deadline, in seconds.
        :param running: number of running requests, including this one.
        """
        change = service_s / max(cost, 1.0) - self._s_per_cost
        gain = _RATE_GAIN if self._s_per_cost else 1.0
        self._s_per_cost += gain * change
        self._largest_cost = max(cost, self._largest_cost * _LARGEST_COST_DECAY)
        self._ended_since_decrease += 1
        projected_s = self._s_per_cost * self._largest_cost
        self._adapt(projected_s / max(allowed_s, 1e-3), running)

    def _adapt(self, used_share: float, running: int) -> None:
        if used_share > _HIGH_USED_SHARE:
            if self._ended_since_decrease >= self._limit:
                self._limit = max(_MIN_LIMIT, self._limit * _DECREASE)
                self._ended_since_decrease = 0
        elif running >= int(self._limit * _IN_USE_SHARE):
            is_low = used_share < _LOW_USED_SHARE
            self._limit += _LOW_USE_INCREASE if is_low else 1 / self._limit
