"""Changes a placement in work: fills empty engines and closes gaps."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.layers import LayerRange
from nutmegspoke.placement.layer_plan import zone_room

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.entry_host import ModelProfile
    from nutmegspoke.placement.layer_plan import Holder

# A layer that nobody holds counts like one with room for this many tokens.
_GAP_TOKENS = 200.0
# Rows that a zone's memory is shared out for when an engine is filled.
_ROWS_TO_FILL = 2
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
    room = _room(members, profile)
    if empty:
        holder = max(empty, key=lambda one: _memory(one, profile))
        layers = _neediest(room, _layer_count(holder, members, profile))
        return _need(room, layers), LayerChange(holder.name, layers)
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
        without = _room(others, profile)
        layers = _neediest(without, _layer_count(holder, members, profile))
        gained = _need(without, layers)
        lost = _need(without, holder.layers)
        if layers == holder.layers or gained < _CHANGE_FACTOR * lost:
            continue
        if best is None or gained - lost > best[0]:
            best = gained - lost, LayerChange(holder.name, layers)
    return best


def _room(members: list[Holder], profile: ModelProfile) -> list[float]:
    held = [
        (
            holder.layers,
            profile.room_token_layers(holder.kind, len(holder.layers))
            / len(holder.layers),
        )
        for holder in members
        if holder.layers is not None
    ]
    return zone_room(held, profile.layer_count)


def _layer_count(
    holder: Holder,
    members: list[Holder],
    profile: ModelProfile,
) -> int:
    total = sum(_memory(one, profile) for one in members)
    share = _memory(holder, profile) / max(1.0, total)
    rows = _ROWS_TO_FILL
    wanted = round(share * rows * profile.layer_count)
    return max(1, min(wanted, profile.max_layers(holder.kind)))


def _neediest(room: list[float], count: int) -> LayerRange:
    """Return the window of so many layers that needs a holder most."""
    needs = [1 / (tokens + _GAP_TOKENS) for tokens in room]
    window = sum(needs[:count])
    best_start, best = 0, window
    for start in range(1, len(room) - count + 1):
        window += needs[start + count - 1] - needs[start - 1]
        if window > best * (1 + 1e-9):
            best_start, best = start, window
    return LayerRange(best_start, best_start + count)


def _need(room: list[float], layers: LayerRange) -> float:
    return sum(
        1 / (tokens + _GAP_TOKENS)
        for tokens in room[layers.start : layers.stop]
    )


def _memory(holder: Holder, profile: ModelProfile) -> float:
    return profile.room_token_layers(holder.kind, 0)
