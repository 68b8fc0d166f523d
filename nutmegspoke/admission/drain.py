"""Measure how fast a pool finishes work."""

from __future__ import annotations

import math

_DECAY_TIME_S = 10.0
_SERVICE_GAIN = 0.1
_MIN_SERVICE_S = 1e-6
_MIN_PRIOR_S = 1.0


class DrainMeter:
    """Meter of the rate of finished work and of the service time.

    Time in which the pool has free capacity is not counted, as it gives no
    information about the rate.

    :ivar is_busy: all capacity is in use since the last call of
        :meth:`advance`.
    """

    def __init__(self, expected_service_s: float) -> None:
        """Create a meter without measurements.

        :param expected_service_s: service time for a cost of 1 until a request
            has finished, in seconds.
        """
        self.is_busy = False
        self._service_s_per_cost = expected_service_s
        self._has_finished = False
        self._finished_cost = 0.0
        self._busy_s = 0.0
        self._advanced_to_s = 0.0

    def advance(self, now_s: float) -> None:
        """Count the time since the last call as busy or idle.

        :param now_s: current time, in seconds.
        """
        if self.is_busy:
            elapsed_s = max(0.0, now_s - self._advanced_to_s)
            decay = math.exp(-elapsed_s / _DECAY_TIME_S)
            self._finished_cost *= decay
            self._busy_s = self._busy_s * decay + elapsed_s
        self._advanced_to_s = now_s

    def finish(self, cost: float, service_s: float) -> None:
        """Add a finished request; call :meth:`advance` first.

        :param cost: work of the request.
        :param service_s: time from its start to its end, in seconds.
        """
        if self.is_busy:
            self._finished_cost += cost
        gain = _SERVICE_GAIN if self._has_finished else 1.0
        self._has_finished = True
        change = service_s / cost - self._service_s_per_cost
        self._service_s_per_cost += gain * change

    def service_s(self, cost: float) -> float:
        """Return the expected service time for a cost, in seconds."""
        return self._service_s_per_cost * cost

    def cost_per_s(self, now_s: float, capacity: int) -> float:
        """Return the rate at which work is finished, in cost per second.

        :param now_s: current time, in seconds.
        :param capacity: requests that may run at once.
        """
        service_s = max(self._service_s_per_cost, _MIN_SERVICE_S)
        ideal_cost_per_s = max(capacity, 1) / service_s
        elapsed_busy_s = now_s - self._advanced_to_s if self.is_busy else 0.0
        # The ideal rate is included with the weight of one service time, for
        # the time before there are enough measurements.
        prior_s = max(service_s, _MIN_PRIOR_S)
        finished_cost = self._finished_cost + ideal_cost_per_s * prior_s
        return finished_cost / (self._busy_s + elapsed_busy_s + prior_s)
