"""Measures how fast a pool finishes work."""

from __future__ import annotations

import math

_MEMORY_S = 10.0
_SERVICE_GAIN = 0.1
_LEAST_SERVICE_S = 1e-6
_LEAST_PRIOR_S = 1.0


class DrainMeter:
    """Rate of finished work while requests wait, and time of service.

    Idle time says nothing of the rate and is left out.

    :ivar is_busy: all capacity is in use from the last ``advance`` on.
    """

    def __init__(self, expected_service_s: float) -> None:
        """Create a meter that has seen nothing.

        :param expected_service_s: time of service for a cost of 1, until
            some request has finished.
        """
        self.is_busy = False
        self._service_s_per_cost = expected_service_s
        self._has_finished = False
        self._finished_cost = 0.0
        self._busy_s = 0.0
        self._advanced_to_s = 0.0

    def advance(self, now_s: float) -> None:
        """Count the time until now as busy or idle."""
        if self.is_busy:
            elapsed_s = max(0.0, now_s - self._advanced_to_s)
            decay = math.exp(-elapsed_s / _MEMORY_S)
            self._finished_cost *= decay
            self._busy_s = self._busy_s * decay + elapsed_s
        self._advanced_to_s = now_s

    def finish(self, cost: float, service_s: float) -> None:
        """Note a finished request; call ``advance`` first.

        :param cost: its work.
        :param service_s: time from its start to its end.
        """
        if self.is_busy:
            self._finished_cost += cost
        gain = _SERVICE_GAIN if self._has_finished else 1.0
        self._has_finished = True
        change = service_s / cost - self._service_s_per_cost
        self._service_s_per_cost += gain * change

    def service_s(self, cost: float) -> float:
        """Return the expected time of service."""
        return self._service_s_per_cost * cost

    def cost_per_s(self, now_s: float, capacity: int) -> float:
        """Return the rate at which waiting work is drained.

        :param now_s: present time.
        :param capacity: requests that may run at once.
        """
        service_s = max(self._service_s_per_cost, _LEAST_SERVICE_S)
        ideal = max(capacity, 1) / service_s
        waited_s = now_s - self._advanced_to_s if self.is_busy else 0.0
        # Until a service time has passed, the ideal rate counts as seen.
        prior_s = max(service_s, _LEAST_PRIOR_S)
        finished_cost = self._finished_cost + ideal * prior_s
        return finished_cost / (self._busy_s + waited_s + prior_s)
