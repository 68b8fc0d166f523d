"""Latencies of answers by route and target, in aged histograms."""

from __future__ import annotations

import collections
import math
import statistics

# Buckets grow by this factor, so that a quantile is known to within it.
_GROWTH = 1.1
_LOG_GROWTH = math.log(_GROWTH)
# Latencies below are counted as this long.
_MIN_S = 0.001
# Latencies above are counted as this long.
_MAX_S = 600.0
# A histogram counts the answers of one to two such times.
_WINDOW_S = 30.0
# Answers from which a quantile is known.
_MIN_COUNT = 20
# Targets with a known quantile from which the typical target is known.
_MIN_TARGETS = 3
# Histograms that are kept; the oldest are dropped first.
_MAX_HISTOGRAMS = 512
_ALL = ''
# Time for which a quantile is used again.
_CACHE_S = 0.5


class AgedHistogram:
    """Histogram of the latencies of the last time, in logarithmic buckets."""

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._current: collections.Counter[int] = collections.Counter()
        self._previous: collections.Counter[int] = collections.Counter()
        self._began_s = float('-inf')

    def add(self, latency_s: float, now_s: float) -> None:
        """Count a latency.

        :param latency_s: time from a request to its answer, in seconds.
        :param now_s: current time, in seconds.
        """
        self._age(now_s)
        bounded_s = min(max(latency_s, _MIN_S), _MAX_S)
        bucket = math.ceil(math.log(bounded_s / _MIN_S) / _LOG_GROWTH)
        self._current[bucket] += 1

    def quantile_s(self, quantile: float, now_s: float) -> float | None:
        """Return a quantile in seconds; ``None`` with few answers.

        :param quantile: from 0 to 1.
        :param now_s: current time, in seconds.
        """
        self._age(now_s)
        total = self._current.total() + self._previous.total()
        if total < _MIN_COUNT:
            return None
        rank = quantile * total
        counted = 0
        counts = self._current + self._previous
        for bucket in sorted(counts):
            counted += counts[bucket]
            if counted >= rank:
                break
        return _MIN_S * _GROWTH**bucket

    def _age(self, now_s: float) -> None:
        age_s = now_s - self._began_s
        if age_s < _WINDOW_S:
            return
        is_recent = age_s < 2 * _WINDOW_S
        self._previous = self._current if is_recent else collections.Counter()
        self._current = collections.Counter()
        self._began_s = self._began_s + _WINDOW_S if is_recent else now_s


class Latencies:
    """Histograms of each route, over all targets and by target."""

    def __init__(self) -> None:
        """Start without answers."""
        # Those over all targets have no name of a target.
        self._histograms: dict[tuple[str, str], AgedHistogram] = {}
        self._cached: dict[tuple[str, float], tuple[float, float | None]] = {}

    def add(
        self, route: str, target: str, latency_s: float, now_s: float
    ) -> None:
        """Count the latency of a target's answer to a request of a route."""
        for name in (target, _ALL):
            self._find(route, name).add(latency_s, now_s)

    def typical_s(
        self, route: str, quantile: float, now_s: float
    ) -> float | None:
        """Return a quantile of the latency at a typical target.

        This is the median of the quantiles of the targets, which a few slow
        ones do not raise. Until enough targets have one, it is the quantile
        of the route.

        :returns: seconds; ``None`` with few answers.
        """
        key = (route, quantile)
        computed_s, cached = self._cached.get(key, (float('-inf'), None))
        if now_s - computed_s < _CACHE_S:
            return cached
        typical_s = self._compute_typical_s(route, quantile, now_s)
        if len(self._cached) >= _MAX_HISTOGRAMS:
            self._cached.clear()
        self._cached[key] = (now_s, typical_s)
        return typical_s

    def _compute_typical_s(
        self, route: str, quantile: float, now_s: float
    ) -> float | None:
        quantiles_s = [
            histogram.quantile_s(quantile, now_s)
            for (of_route, target), histogram in self._histograms.items()
            if of_route == route and target != _ALL
        ]
        known_s = [known for known in quantiles_s if known is not None]
        if len(known_s) >= _MIN_TARGETS:
            return statistics.median(known_s)
        return self._find(route, _ALL).quantile_s(quantile, now_s)

    def _find(self, route: str, target: str) -> AgedHistogram:
        """Return a histogram, which becomes the newest; create it if needed."""
        key = (route, target)
        histogram = self._histograms.pop(key, None)
        if histogram is None:
            histogram = AgedHistogram()
            if len(self._histograms) >= _MAX_HISTOGRAMS:
                self._histograms.pop(next(iter(self._histograms)))
        self._histograms[key] = histogram
        return histogram
