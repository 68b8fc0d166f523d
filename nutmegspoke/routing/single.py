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
    """Rule that picks one of several available targets."""

    def __call__(self, available: Sequence[Target]) -> Target:
        """Return one of the targets, of which there is at least one."""


class LeastWaitTargets:
    """Policy that picks the least loaded target, first in the daemon's zone."""

    def choose(
        self,
        query: TargetQuery,
        targets: Sequence[Target],
        now_s: float,
    ) -> TargetChoice | NoTarget:
        """Choose a target; see :class:`TargetPolicy`."""
        zone = query.availability_zone
        nearby = [each for each in targets if each.availability_zone == zone]
        choice = _choose(query, nearby, _least_loaded, 'zone_least_in_flight')
        if isinstance(choice, TargetChoice):
            return choice
        return _choose(query, targets, _least_loaded, 'least_in_flight')


class LeastInFlightTargets:
    """Policy that picks the least loaded target of any zone."""

    def choose(
        self,
        query: TargetQuery,
        targets: Sequence[Target],
        now_s: float,
    ) -> TargetChoice | NoTarget:
        """Choose a target; see :class:`TargetPolicy`."""
        return _choose(query, targets, _least_loaded, 'least_in_flight')


class RandomTargets:
    """Policy that picks a target at random."""

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

    def _pick(self, available: Sequence[Target]) -> Target:
        return available[int(self._source.random() * len(available))]


class RoundRobinTargets:
    """Policy that picks the targets in turn."""

    def __init__(self) -> None:
        """Create a policy without earlier choices."""
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

    def _pick(self, available: Sequence[Target]) -> Target:
        picked = min(available, key=self._turn_of)
        self._turn += 1
        self._last_turns[picked.name] = self._turn
        return picked

    def _turn_of(self, target: Target) -> tuple[int, str]:
        return self._last_turns.get(target.name, 0), target.name


def _least_loaded(available: Sequence[Target]) -> Target:
    return min(available, key=_load_and_name)


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
    available = [each for each in allowed if room.has_capacity(query, each)]
    if not available:
        return NoTarget(NoChoiceReason.IN_FLIGHT_LIMIT)
    return TargetChoice(rule(available), reason)
