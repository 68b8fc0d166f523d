"""Policies for single targets of plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from nutmegspoke.routing import room
from nutmegspoke.routing.choices import (
    NoChoiceReason,
    NoTarget,
    TargetChoice,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.routing.choices import RandomSource, TargetQuery
    from nutmegspoke.targets import Target


class _Rule(Protocol):
    """Picks one of several targets with room."""

    def __call__(self, roomy: Sequence[Target]) -> Target:
        """Return one of the targets, of which there is at least one."""


class LeastWaitTargets:
    """Picks the least loaded target of the daemon's zone, else of any."""

    def choose(
        self,
        query: TargetQuery,
        targets: Sequence[Target],
        now_s: float,
    ) -> TargetChoice | NoTarget:
        """Choose a target; see :class:`TargetPolicy`."""
        zone = query.availability_zone
        near = [each for each in targets if each.availability_zone == zone]
        choice = _choose(query, near, _least_loaded, 'zone_least_in_flight')
        if isinstance(choice, TargetChoice):
            return choice
        return _choose(query, targets, _least_loaded, 'least_in_flight')


class LeastInFlightTargets:
    """Picks the least loaded target."""

    def choose(
        self,
        query: TargetQuery,
        targets: Sequence[Target],
        now_s: float,
    ) -> TargetChoice | NoTarget:
        """Choose a target; see :class:`TargetPolicy`."""
        return _choose(query, targets, _least_loaded, 'least_in_flight')


class RandomTargets:
    """Picks a target at random."""

    def __init__(self, source: RandomSource) -> None:
        """Create a policy.

        :param source: seeded source of random numbers.
        """
        self._source = source

    def choose(
        self,
        query: TargetQuery,
        targets: Sequence[Target],
        now_s: float,
    ) -> TargetChoice | NoTarget:
        """Choose a target; see :class:`TargetPolicy`."""
        return _choose(query, targets, self._pick, 'random')

    def _pick(self, roomy: Sequence[Target]) -> Target:
        return roomy[int(self._source.random() * len(roomy))]


class RoundRobinTargets:
    """Picks the targets in turn."""

    def __init__(self) -> None:
        """Create a policy that has picked nothing yet."""
        self._last_turns: dict[str, int] = {}
        self._turn = 0

    def choose(
        self,
        query: TargetQuery,
        targets: Sequence[Target],
        now_s: float,
    ) -> TargetChoice | NoTarget:
        """Choose a target; see :class:`TargetPolicy`."""
        return _choose(query, targets, self._pick, 'round_robin')

    def _pick(self, roomy: Sequence[Target]) -> Target:
        picked = min(roomy, key=self._turn_of)
        self._turn += 1
        self._last_turns[picked.name] = self._turn
        return picked

    def _turn_of(self, target: Target) -> tuple[int, str]:
        return self._last_turns.get(target.name, 0), target.name


def _least_loaded(roomy: Sequence[Target]) -> Target:
    return min(roomy, key=_load_and_name)


def _load_and_name(target: Target) -> tuple[int, str]:
    return room.load_of(target), target.name


def _choose(
    query: TargetQuery,
    targets: Sequence[Target],
    rule: _Rule,
    reason: str,
) -> TargetChoice | NoTarget:
    if not targets:
        return NoTarget(NoChoiceReason.NO_TARGET)
    allowed = [each for each in targets if each.name not in query.avoided]
    if not allowed:
        return NoTarget(NoChoiceReason.AVOIDED)
    roomy = [each for each in allowed if room.has_room(query, each)]
    if not roomy:
        return NoTarget(NoChoiceReason.IN_FLIGHT_LIMIT)
    return TargetChoice(rule(roomy), reason)
