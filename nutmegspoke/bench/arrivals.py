"""Arrival patterns of the load tool."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

_BELL_SHARE = 0.6
_BELL_WIDTH_SHARE = 0.05


class Pattern(enum.StrEnum):
    """How requests arrive over the time of a run."""

    CONSTANT = 'constant'
    POISSON = 'poisson'
    BELL = 'bell'


def arrival_times_s(
    pattern: Pattern,
    rate_per_s: float,
    duration_s: float,
    source: random.Random,
) -> list[float]:
    """Return when requests are sent, from the start of the run.

    ``bell`` sends most requests within a short time in the middle of the run,
    as a class does after the bell, and the rest evenly.

    :param pattern: the pattern.
    :param rate_per_s: mean rate over the whole run.
    :param duration_s: length of the run.
    :param source: seeded source of random numbers.
    """
    count = math.floor(rate_per_s * duration_s)
    match pattern:
        case Pattern.CONSTANT:
            return [number / rate_per_s for number in range(count)]
        case Pattern.POISSON:
            return sorted(source.uniform(0, duration_s) for _ in range(count))
        case Pattern.BELL:
            return sorted(
                _bell_time_s(duration_s, source) for _ in range(count)
            )


def _bell_time_s(duration_s: float, source: random.Random) -> float:
    if source.random() >= _BELL_SHARE:
        return source.uniform(0, duration_s)
    time_s = source.gauss(duration_s / 2, duration_s * _BELL_WIDTH_SHARE)
    return min(max(time_s, 0), duration_s)
