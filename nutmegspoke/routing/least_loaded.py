"""Chooses a target for a plain request by the load that targets tell."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from nutmegspoke.entry_host import TargetEntry

# Load that another zone's target must be lighter by, in shares of its slots.
_ZONE_BONUS = 0.25
# A told load is believed for so long; then only own requests count.
_TOLD_LIMIT_S = 1.0
# Errors of a target weigh like this share of its slots, each.
_ERROR_WEIGHT = 1.0
_ERROR_HALF_LIFE_S = 4.0


@dataclasses.dataclass(slots=True)
class _Seen:
    own: int = 0
    reported_running: int = 0
    reported_at_s: float = float('-inf')
    errors: float = 0.0
    errors_s: float = 0.0

    def error_weight(self, now_s: float) -> float:
        age_s = now_s - self.errors_s
        return self.errors * 0.5 ** (age_s / _ERROR_HALF_LIFE_S)


class LeastLoaded:
    """Loads of the targets of all plain pools.

    :param home_zone: availability zone of this daemon.
    """

    def __init__(self, home_zone: str) -> None:
        """Start without loads."""
        self._home_zone = home_zone
        self._seen: dict[str, _Seen] = {}

    def sent(self, target: str) -> None:
        """Count a request that leaves."""
        self._seen.setdefault(target, _Seen()).own += 1

    def ended(self, target: str) -> None:
        """Count a request that has ended, however it did."""
        seen = self._seen.setdefault(target, _Seen())
        seen.own = max(0, seen.own - 1)

    def reported(self, target: str, running: int, now_s: float) -> None:
        """Take the load that an answer told.

        :param running: requests that run or wait there.
        """
        seen = self._seen.setdefault(target, _Seen())
        seen.reported_running = running
        seen.reported_at_s = now_s

    def failed(self, target: str, now_s: float) -> None:
        """Count an answer that was an error, or none."""
        seen = self._seen.setdefault(target, _Seen())
        seen.errors = seen.error_weight(now_s) + 1
        seen.errors_s = now_s

    def choose(
        self,
        entries: Iterable[TargetEntry],
        avoided: Collection[str],
        now_s: float,
    ) -> TargetEntry | None:
        """Return the target that is loaded least; ``None`` without one.

        :param avoided: names of targets that are not to be used.
        """
        usable = [entry for entry in entries if entry.name not in avoided]
        return min(
            usable,
            key=lambda entry: (self._weight(entry, now_s), entry.name),
            default=None,
        )

    def _weight(self, entry: TargetEntry, now_s: float) -> float:
        seen = self._seen.get(entry.name)
        is_home = entry.availability_zone == self._home_zone
        weight = 0.0 if is_home else _ZONE_BONUS
        if seen is None:
            return weight
        is_told = now_s - seen.reported_at_s < _TOLD_LIMIT_S
        running = max(seen.own, seen.reported_running if is_told else 0)
        weight += running / entry.slots
        return weight + _ERROR_WEIGHT * seen.error_weight(now_s)
