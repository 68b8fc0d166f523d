"""Groups of engines that are equivalent for a plan."""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from nutmegspoke.layers import LayerRange
    from nutmegspoke.targets import Target

_SPEED_TOLERANCE = 0.15
_BUCKETS_PER_DOUBLING = 4


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class GroupKey:
    """Properties that the engines of a group have in common.

    :param layers: layers that they hold.
    :param availability_zone: their availability zone.
    :param speed_bucket: logarithmic class of ``layer_tokens_per_s``.
    :param link_bucket: logarithmic class of ``link_bytes_per_s``.
    """

    layers: LayerRange
    availability_zone: str
    speed_bucket: int
    link_bucket: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineGroup:
    """Engines with the same key.

    :param key: their common properties.
    :param members: names of the engines, sorted.
    :param layer_tokens_per_s: sum of the speeds of the members.
    :param link_bytes_per_s: sum of the link speeds of the members; infinite if
        unknown.
    """

    key: GroupKey
    members: tuple[str, ...]
    layer_tokens_per_s: float
    link_bytes_per_s: float

    @property
    def layers(self) -> LayerRange:
        """Return the layers that the members hold."""
        return self.key.layers


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedSpeed:
    """Speeds of an engine on which the current plan is based."""

    layer_tokens_per_s: float
    link_bytes_per_s: float


class SpeedHysteresis:
    """Speeds that follow the reports only when these change materially.

    Small changes of the reported speeds do not cause a new plan.
    """

    def __init__(self) -> None:
        """Create an instance without engines."""
        self._planned: dict[str, PlannedSpeed] = {}

    def update(self, targets: Iterable[Target]) -> dict[str, PlannedSpeed]:
        """Return the speeds to plan with.

        :param targets: all present engines; any other engine is removed.
        :returns: speeds by engine name.
        """
        self._planned = {
            target.name: self._planned_speed(target) for target in targets
        }
        return self._planned

    def _planned_speed(self, target: Target) -> PlannedSpeed:
        planned = self._planned.get(target.name)
        if planned is not None and _is_within_tolerance(planned, target):
            return planned
        return PlannedSpeed(target.layer_tokens_per_s, target.link_bytes_per_s)


def group_engines(
    targets: Iterable[Target],
    speeds: dict[str, PlannedSpeed],
) -> tuple[EngineGroup, ...]:
    """Group engines by layers, zone and speed class.

    :param targets: engines; those without layers or speed are ignored.
    :param speeds: speeds to plan with, by engine name.
    :returns: groups, sorted by key.
    """
    members: dict[GroupKey, list[str]] = collections.defaultdict(list)
    for target in targets:
        speed = speeds[target.name]
        if target.layers is not None and speed.layer_tokens_per_s > 0:
            members[_key_of(target, target.layers, speed)].append(target.name)
    return tuple(
        _group(key, sorted(members[key]), speeds) for key in sorted(members)
    )


def _key_of(
    target: Target, layers: LayerRange, speed: PlannedSpeed
) -> GroupKey:
    return GroupKey(
        layers=layers,
        availability_zone=target.availability_zone,
        speed_bucket=_speed_bucket(speed.layer_tokens_per_s),
        link_bucket=_speed_bucket(speed.link_bytes_per_s),
    )


def _group(
    key: GroupKey,
    names: list[str],
    speeds: dict[str, PlannedSpeed],
) -> EngineGroup:
    links = [speeds[name].link_bytes_per_s or math.inf for name in names]
    return EngineGroup(
        key=key,
        members=tuple(names),
        layer_tokens_per_s=sum(
            speeds[name].layer_tokens_per_s for name in names
        ),
        link_bytes_per_s=sum(links),
    )


def _speed_bucket(speed: float) -> int:
    if speed <= 0:
        return -1
    return round(math.log2(speed) * _BUCKETS_PER_DOUBLING)


def _is_within_tolerance(planned: PlannedSpeed, target: Target) -> bool:
    return _is_close(
        planned.layer_tokens_per_s,
        target.layer_tokens_per_s,
    ) and _is_close(planned.link_bytes_per_s, target.link_bytes_per_s)


def _is_close(planned: float, reported: float) -> bool:
    return abs(planned - reported) <= _SPEED_TOLERANCE * planned
