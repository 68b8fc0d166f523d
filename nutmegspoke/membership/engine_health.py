"""What the engines' reports say of their pace, and for how long it counts."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Reports come about each second; after some missed ones a pace is forgotten.
_BELIEVED_S = 4.0
# Smaller deviations from the usual pace are not told to others.
_LEAST_SLOWNESS = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class _Pace:
    slowness: float
    read_s: float


class EnginePaces:
    """How many times slower than usual engines are."""

    def __init__(self) -> None:
        """Start with the usual pace everywhere."""
        self._paces: dict[str, _Pace] = {}

    def reported(self, target: str, slowness: float, now_s: float) -> None:
        """Take an engine's own report."""
        self._paces[target] = _Pace(slowness, now_s)

    def heard(self, slowness: Mapping[str, float], now_s: float) -> None:
        """Take what another daemon has read in reports."""
        for target, factor in slowness.items():
            self._paces[target] = _Pace(factor, now_s)

    def of(self, target: str, now_s: float) -> float:
        """Return how many times slower than usual an engine is."""
        pace = self._paces.get(target)
        if pace is None or now_s - pace.read_s > _BELIEVED_S:
            return 1.0
        return max(1.0, pace.slowness)

    def slow(self, now_s: float) -> dict[str, float]:
        """Return the engines that are clearly slow."""
        return {
            target: round(pace.slowness, 2)
            for target, pace in self._paces.items()
            if pace.slowness >= _LEAST_SLOWNESS
            and now_s - pace.read_s <= _BELIEVED_S
        }
