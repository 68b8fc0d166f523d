"""Changes a placement in work: fills empty engines and closes gaps."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.placement.layer_plan import (
    copy_layers,
    held_room,
    need_of,
    neediest,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.entry_host import ModelProfile
    from nutmegspoke.layers import LayerRange
    from nutmegspoke.placement.layer_plan import Holder

# Part of an engine's memory that is filled with layers.
_COPY_SHARE = 0.7
# An engine in work is changed only for a gain of so many times what it loses.
_CHANGE_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class LayerChange:
    """An engine and the layers that it is to hold from now on."""

    target: str
    layers: LayerRange


def next_change(
    holders: Sequence[Holder],
    profile: ModelProfile,
) -> LayerChange | None:
    """Return the change that helps most; ``None`` if none is worth it.

    Empty engines are filled first. An engine in work is changed only if some
    layer has no holder in its zone.

    :param holders: live engines, with the layers held or ordered.
    """
    by_zone: dict[str, list[Holder]] = {}
    for holder in holders:
        by_zone.setdefault(holder.availability_zone, []).append(holder)
    changes = [
        change
        for members in by_zone.values()
        if (change := _zone_change(members, profile)) is not None
    ]
    if not changes:
        return None
    return max(changes, key=lambda pair: pair[0])[1]


def _zone_change(
    members: list[Holder],
    profile: ModelProfile,
) -> tuple[float, LayerChange] | None:
    empty = [holder for holder in members if holder.layers is None]
    room = held_room(members, profile)
    if empty:
        holder = max(empty, key=lambda one: profile.max_layers(one.kind))
        layers = neediest(room, copy_layers(holder.kind, profile, _COPY_SHARE))
        return need_of(room, layers), LayerChange(holder.name, layers)
    if min(room, default=0.0) > 0:
        return None
    return _close_gap(members, profile, room)


def _close_gap(
    members: list[Holder],
    profile: ModelProfile,
    room: list[float],
) -> tuple[float, LayerChange] | None:
    """Move the engine that is missed least to the gap."""
    best: tuple[float, LayerChange] | None = None
    for holder in members:
        if holder.layers is None:
            continue
        others = [one for one in members if one is not holder]
        without = held_room(others, profile)
        layers = neediest(
            without, copy_layers(holder.kind, profile, _COPY_SHARE)
        )
        gained = need_of(without, layers)
        lost = need_of(without, holder.layers)
        if layers == holder.layers or gained < _CHANGE_FACTOR * lost:
            continue
        if best is None or gained - lost > best[0]:
            best = gained - lost, LayerChange(holder.name, layers)
    return best
