"""Choose a target for a plain request by the load that targets report."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from nutmegspoke.entry_host import TargetEntry

# Weight added to a target in another zone, as a share of its slots.
_REMOTE_ZONE_WEIGHT = 0.25
# Age from which a reported load is ignored and only own requests count.
_REPORT_TIMEOUT_S = 1.0
# Weight of each recent error of a target, as a share of its slots.
_ERROR_WEIGHT = 1.0
_ERROR_HALF_LIFE_S = 4.0


@dataclasses.dataclass(slots=True)
class _TargetLoad:
    own_running: int = 0
    reported_running: int = 0
    reported_at_s: float = float('-inf')
    errors: float = 0.0
    errors_at_s: float = 0.0

    def running(self, now_s: float) -> int:
        is_recent = now_s - self.reported_at_s < _REPORT_TIMEOUT_S
        return max(self.own_running, self.reported_running if is_recent else 0)

    def error_weight(self, now_s: float) -> float:
        age_s = now_s - self.errors_at_s
        return self.errors * 0.5 ** (age_s / _ERROR_HALF_LIFE_S)


class LeastLoaded:
    """Loads and errors of the targets of all plain pools.

    :param home_zone: availability zone of this daemon.
    """

    def __init__(self, home_zone: str) -> None:
        """Create an instance without loads."""
        self._home_zone = home_zone
        self._loads: dict[str, _TargetLoad] = {}

    def sent(self, target: str) -> None:
        """Count a request that is sent to a target."""
        self._loads.setdefault(target, _TargetLoad()).own_running += 1

    def ended(self, target: str) -> None:
        """Count a request that has ended, with or without success."""
        load = self._loads.setdefault(target, _TargetLoad())
        load.own_running = max(0, load.own_running - 1)

    def reported(self, target: str, running: int, now_s: float) -> None:
        """Store the load that a target reported in an answer.

        :param running: number of requests that run or wait at the target.
        :param now_s: current time, in seconds.
        """
        load = self._loads.setdefault(target, _TargetLoad())
        load.reported_running = running
        load.reported_at_s = now_s

    def failed(self, target: str, now_s: float) -> None:
        """Count an error answer or a missing answer of a target."""
        load = self._loads.setdefault(target, _TargetLoad())
        load.errors = load.error_weight(now_s) + 1
        load.errors_at_s = now_s

    def busy_share(self, entry: TargetEntry, now_s: float) -> float:
        """Return the requests at a target as a share of its slots.

        Those of other daemons are as the target last reported.
        """
        load = self._loads.get(entry.name)
        return 0.0 if load is None else load.running(now_s) / entry.slots

    def choose(
        self,
        entries: Iterable[TargetEntry],
        avoided: Collection[str],
        now_s: float,
    ) -> TargetEntry | None:
        """Return the least loaded target.

        :param entries: targets to choose from.
        :param avoided: names of targets that must not be used.
        :param now_s: current time, in seconds.
        :returns: ``None`` if all targets are avoided.
        """
        usable = [entry for entry in entries if entry.name not in avoided]
        return min(
            usable,
            key=lambda entry: (self._weight(entry, now_s), entry.name),
            default=None,
        )

    def _weight(self, entry: TargetEntry, now_s: float) -> float:
        load = self._loads.get(entry.name)
        is_home = entry.availability_zone == self._home_zone
        weight = 0.0 if is_home else _REMOTE_ZONE_WEIGHT
        if load is None:
            return weight
        weight += load.running(now_s) / entry.slots
        return weight + _ERROR_WEIGHT * load.error_weight(now_s)
