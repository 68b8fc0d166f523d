"""Arrival patterns of the load tool."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

_BELL_PEAK_SHARE = 0.6
_BELL_STD_DEV_SHARE = 0.05


class Pattern(enum.StrEnum):
    """Distribution of request arrivals over a run."""

    CONSTANT = 'constant'
    POISSON = 'poisson'
    BELL = 'bell'


def arrival_times_s(
    pattern: Pattern,
    rate_per_s: float,
    duration_s: float,
    random_source: random.Random,
) -> list[float]:
    """Return the send times of all requests, in seconds from the start.

    ``bell`` simulates a class that starts when the school bell rings: most
    requests are normally distributed around the middle of the run, the others
    uniformly over the whole run.

    :param pattern: distribution of the arrivals.
    :param rate_per_s: mean request rate over the whole run.
    :param duration_s: length of the run.
    :param random_source: seeded random number generator.
    """
    count = math.floor(rate_per_s * duration_s)
    match pattern:
        case Pattern.CONSTANT:
            return [number / rate_per_s for number in range(count)]
        case Pattern.POISSON:
            return sorted(
                random_source.uniform(0, duration_s) for _ in range(count)
            )
        case Pattern.BELL:
            return sorted(
                _draw_bell_time_s(duration_s, random_source)
                for _ in range(count)
            )


def _draw_bell_time_s(duration_s: float, random_source: random.Random) -> float:
    if random_source.random() >= _BELL_PEAK_SHARE:
        return random_source.uniform(0, duration_s)
    time_s = random_source.gauss(
        duration_s / 2, duration_s * _BELL_STD_DEV_SHARE
    )
    return min(max(time_s, 0), duration_s)
