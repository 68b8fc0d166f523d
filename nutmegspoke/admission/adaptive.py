"""In-flight limit of a target that adapts to measured latency."""

from __future__ import annotations

import dataclasses
import math

_WINDOW_SAMPLES = 16
_TOLERANCE = 1.5
_LOWEST_GRADIENT = 0.5
_SMOOTHING = 0.3
_START = 4
_WINDOWS_A_PROBE = 50
_PROBE_SHARE = 0.25
_LEAST_LATENCY_S = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class LimitBounds:
    """Bounds of an adaptive limit.

    :param lowest: smallest limit.
    :param highest: largest limit, from the row of the pool.
    """

    lowest: int
    highest: int


class AdaptiveLimit:
    """Limit that follows the ratio of the base latency to the present one.

    While the mean of a window of samples stays under 1.5 times the base
    latency, the limit grows by its square root if it was in use. Above that
    it shrinks by the ratio. Every fiftieth window runs at a quarter of the
    limit to measure the base latency anew, so that a target that has become
    slower for good is learned.
    """

    def __init__(self, bounds: LimitBounds) -> None:
        """Create a limit that starts low."""
        self._bounds = bounds
        self._limit = float(min(bounds.highest, max(bounds.lowest, _START)))
        self._base_s = math.inf
        self._sum_s = 0.0
        self._count = 0
        self._window = 0
        self._peak_in_flight = 0

    @property
    def max_in_flight(self) -> int:
        """Return the limit."""
        if self._is_probing:
            probe = int(self._limit * _PROBE_SHARE)
            return max(self._bounds.lowest, probe)
        return int(self._limit)

    @property
    def _is_probing(self) -> bool:
        return self._window % _WINDOWS_A_PROBE == _WINDOWS_A_PROBE - 1

    def observe(self, latency_s: float, in_flight: int) -> None:
        """Take a latency of one unit of work, such as a step.

        :param latency_s: latency of the unit.
        :param in_flight: requests in flight on the target at that time.
        """
        self._sum_s += latency_s
        self._count += 1
        self._peak_in_flight = max(self._peak_in_flight, in_flight)
        if self._count >= _WINDOW_SAMPLES:
            self._close_window()

    def _close_window(self) -> None:
        mean_s = self._sum_s / self._count
        if self._is_probing:
            self._base_s = mean_s
        else:
            self._base_s = min(self._base_s, mean_s)
            self._adapt(mean_s)
        self._window += 1
        self._sum_s = 0.0
        self._count = 0
        self._peak_in_flight = 0

    def _adapt(self, mean_s: float) -> None:
        ratio = _TOLERANCE * self._base_s / max(mean_s, _LEAST_LATENCY_S)
        gradient = max(_LOWEST_GRADIENT, min(1.0, ratio))
        wanted = self._limit * gradient
        if gradient >= 1 and self._peak_in_flight * 2 >= self._limit:
            wanted += math.sqrt(self._limit)
        self._limit += _SMOOTHING * (wanted - self._limit)
        self._limit = min(
            max(self._limit, self._bounds.lowest),
            self._bounds.highest,
        )
