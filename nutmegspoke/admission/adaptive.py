"""In-flight limit of a target that adapts to the measured latency."""

from __future__ import annotations

import dataclasses
import math

_WINDOW_SAMPLES = 16
_LATENCY_TOLERANCE = 1.5
_MIN_GRADIENT = 0.5
_SMOOTHING = 0.3
_START_LIMIT = 4
_WINDOWS_PER_PROBE = 50
_PROBE_SHARE = 0.25
_MIN_LATENCY_S = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class LimitBounds:
    """Bounds of an adaptive limit.

    :param lowest: lower bound of the limit.
    :param highest: upper bound of the limit, from the row of the pool.
    """

    lowest: int
    highest: int


class AdaptiveLimit:
    """Limit that follows the ratio of the base latency to the present latency.

    While the mean latency of a window of samples is below 1.5 times the base
    latency, the limit grows by its square root if at least half of it was in
    use. Above that, it shrinks by the ratio. Every fiftieth window uses a
    quarter of the limit to measure the base latency again, so that the limit
    adapts to a target that has become permanently slower.
    """

    def __init__(self, bounds: LimitBounds) -> None:
        """Create a limit with a low start value.

        :param bounds: bounds of the limit.
        """
        self._bounds = bounds
        self._limit = float(
            min(bounds.highest, max(bounds.lowest, _START_LIMIT))
        )
        self._base_latency_s = math.inf
        self._latency_sum_s = 0.0
        self._sample_count = 0
        self._window_number = 0
        self._peak_in_flight = 0

    @property
    def max_in_flight(self) -> int:
        """Return the limit; it is lower while the base latency is measured."""
        if self._is_probing:
            probe_limit = int(self._limit * _PROBE_SHARE)
            return max(self._bounds.lowest, probe_limit)
        return int(self._limit)

    @property
    def _is_probing(self) -> bool:
        return (
            self._window_number % _WINDOWS_PER_PROBE == _WINDOWS_PER_PROBE - 1
        )

    def observe(self, latency_s: float, in_flight: int) -> None:
        """Add the latency of one unit of work, such as a step.

        :param latency_s: latency of the unit, in seconds.
        :param in_flight: requests in flight on the target at that time.
        """
        self._latency_sum_s += latency_s
        self._sample_count += 1
        self._peak_in_flight = max(self._peak_in_flight, in_flight)
        if self._sample_count >= _WINDOW_SAMPLES:
            self._close_window()

    def _close_window(self) -> None:
        mean_s = self._latency_sum_s / self._sample_count
        if self._is_probing:
            self._base_latency_s = mean_s
        else:
            self._base_latency_s = min(self._base_latency_s, mean_s)
            self._adapt(mean_s)
        self._window_number += 1
        self._latency_sum_s = 0.0
        self._sample_count = 0
        self._peak_in_flight = 0

    def _adapt(self, mean_s: float) -> None:
        ratio = (
            _LATENCY_TOLERANCE
            * self._base_latency_s
            / max(mean_s, _MIN_LATENCY_S)
        )
        gradient = max(_MIN_GRADIENT, min(1.0, ratio))
        new_limit = self._limit * gradient
        if gradient >= 1 and self._peak_in_flight * 2 >= self._limit:
            new_limit += math.sqrt(self._limit)
        self._limit += _SMOOTHING * (new_limit - self._limit)
        self._limit = min(
            max(self._limit, self._bounds.lowest),
            self._bounds.highest,
        )
