"""Groups of engines that a plan need not tell apart."""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from nutmegspoke.layers import LayerRange
    from nutmegspoke.targets import Target

_SPEED_CHANGE = 0.15
_BUCKETS_PER_DOUBLING = 4


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class GroupKey:
    """What the engines of a group share.

    :param layers: layers that they hold.
    :param availability_zone: where they are.
    :param speed_bucket: logarithmic class of ``layer_tokens_per_s``.
    :param link_bucket: logarithmic class of ``link_bytes_per_s``.
    """

    layers: LayerRange
    availability_zone: str
    speed_bucket: int
    link_bucket: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineGroup:
    """Engines of one key.

    :param key: what they share.
    :param members: their names, sorted.
    :param layer_tokens_per_s: sum over the members.
    :param link_bytes_per_s: sum over the members; infinite if not known.
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
class HeldSpeed:
    """Speeds of an engine as the plan in force takes them."""

    layer_tokens_per_s: float
    link_bytes_per_s: float


class SpeedMemory:
    """Holds speeds until they change materially, so that plans keep still."""

    def __init__(self) -> None:
        """Create a memory without engines."""
        self._held: dict[str, HeldSpeed] = {}

    def update(self, targets: Iterable[Target]) -> dict[str, HeldSpeed]:
        """Return the speeds to plan with.

        :param targets: all engines there are now; others are forgotten.
        :returns: speeds by name of the engine.
        """
        self._held = {
            target.name: self._held_speed(target) for target in targets
        }
        return self._held

    def _held_speed(self, target: Target) -> HeldSpeed:
        held = self._held.get(target.name)
        if held is not None and _is_near(held, target):
            return held
        return HeldSpeed(target.layer_tokens_per_s, target.link_bytes_per_s)


def group_engines(
    targets: Iterable[Target],
    speeds: dict[str, HeldSpeed],
) -> tuple[EngineGroup, ...]:
    """Group engines by layers, zone and class of speed.

    :param targets: engines; those without layers or speed are left out.
    :param speeds: speeds to plan with, by name.
    :returns: groups in the order of their keys.
    """
    members: dict[GroupKey, list[str]] = collections.defaultdict(list)
    for target in targets:
        speed = speeds[target.name]
        if target.layers is not None and speed.layer_tokens_per_s > 0:
            members[_key_of(target, target.layers, speed)].append(target.name)
    return tuple(
        _group(key, sorted(members[key]), speeds) for key in sorted(members)
    )


def _key_of(target: Target, layers: LayerRange, speed: HeldSpeed) -> GroupKey:
    return GroupKey(
        layers=layers,
        availability_zone=target.availability_zone,
        speed_bucket=_bucket(speed.layer_tokens_per_s),
        link_bucket=_bucket(speed.link_bytes_per_s),
    )


def _group(
    key: GroupKey,
    names: list[str],
    speeds: dict[str, HeldSpeed],
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


def _bucket(speed: float) -> int:
    if speed <= 0:
        return -1
    return round(math.log2(speed) * _BUCKETS_PER_DOUBLING)


def _is_near(held: HeldSpeed, target: Target) -> bool:
    return _is_close(
        held.layer_tokens_per_s,
        target.layer_tokens_per_s,
    ) and _is_close(held.link_bytes_per_s, target.link_bytes_per_s)


def _is_close(held: float, reported: float) -> bool:
    return abs(held - reported) <= _SPEED_CHANGE * held
