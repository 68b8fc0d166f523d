"""Changes a placement in work: fills empty engines and closes gaps."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.layers import LayerRange, common_layers
from nutmegspoke.placement.chain_capacity import drafts_per_s
from nutmegspoke.placement.layer_plan import (
    group_by_zone,
    count_replica_layers,
    compute_layer_capacity,
    compute_scarcity,
    find_scarcest_window,
)

if TYPE_CHECKING:
    from collections.abc import Container, Iterator, Sequence

    from nutmegspoke.entry_host import ModelProfile
    from nutmegspoke.placement.layer_plan import Holder
    from nutmegspoke.placement.steps import Steps

# Parts of an engine's memory that may be filled with layers.
_FILL_SHARES = (0.5, 0.7, 0.9)
# An engine in work is changed only if its zone then carries so many times
# more: with a layer that nobody holds, and with some that few hold.
_GAP_GAIN = 1.1
_BALANCE_GAIN = 1.5
# Drafts that pass through layers given up are waited for.
_DRAIN_S = 2.0
# Time over which a change must pay: engines come and go every few seconds.
_HORIZON_S = 10.0
# Engines beside those next to a gap for which changes are tried.
_MAX_MOVABLE = 6
# Drafts a second that a layer without holder is taken to cost, so that of two
# gaps one can be closed first.
_GAP_COST = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class LayerChange:
    """An engine and the layers that it is to hold from now on."""

    target: str
    layers: LayerRange


def find_next_change(
    holders: Sequence[Holder],
    profile: ModelProfile,
    *,
    reassignable_zones: Container[str] | None = None,
) -> Steps[LayerChange | None]:
    """Find the change that helps most; ``None`` if none is worth it.

    Empty engines are filled first. An engine in work is changed only if its
    zone then carries clearly more.

    :param holders: live engines, with the layers held or ordered.
    :param reassignable_zones: zones whose engines in work may be changed; ``None``
        for all.
    """
    zones = group_by_zone(holders)
    for members in zones:
        change = yield from _fill(members, profile)
        if change is not None:
            return change
    for members in zones:
        zone = members[0].availability_zone
        if reassignable_zones is not None and zone not in reassignable_zones:
            continue
        change = yield from _move(members, profile)
        if change is not None:
            return change
    return None


def find_zones_with_gaps(
    holders: Sequence[Holder],
    profile: ModelProfile,
) -> set[str]:
    """Return the availability zones in which nobody holds some layer."""
    return {
        members[0].availability_zone
        for members in group_by_zone(holders)
        if _first_gap(compute_layer_capacity(members, profile)) is not None
    }


def _fill(
    members: list[Holder],
    profile: ModelProfile,
) -> Steps[LayerChange | None]:
    """Fill the largest empty engine where the zone gains most."""
    empty = [holder for holder in members if holder.layers is None]
    if not empty:
        return None
    holder = max(empty, key=lambda one: profile.max_layers(one.kind))
    others = [one for one in members if one is not holder]
    room = compute_layer_capacity(others, profile)
    best: tuple[float, float, LayerRange] | None = None
    for layers in _windows(holder, others, profile):
        value = _change_value(holder, others, layers, profile)
        option = (value, compute_scarcity(room, layers), layers)
        best = option if best is None else max(best, option)
        yield
    return None if best is None else LayerChange(holder.name, best[2])


def _move(
    members: list[Holder],
    profile: ModelProfile,
) -> Steps[LayerChange | None]:
    """Change an engine in work, if its zone carries clearly more.

    An engine that gives layers up is out of work for seconds.
    """
    room = compute_layer_capacity(members, profile)
    present = _value(members, profile)
    gain = _BALANCE_GAIN if _first_gap(room) is None else _GAP_GAIN
    best: LayerChange | None = None
    best_value = max(present, present * gain)
    for holder in _movable(members, room):
        others = [one for one in members if one is not holder]
        for layers in sorted(set(_windows(holder, others, profile))):
            yield
            value = _change_value(holder, others, layers, profile)
            if value > best_value:
                best, best_value = LayerChange(holder.name, layers), value
    return best


def _change_value(
    holder: Holder,
    others: list[Holder],
    layers: LayerRange,
    profile: ModelProfile,
) -> float:
    """Return what a zone carries over the next seconds after a change.

    While layers load, an engine runs only what it holds before and after.
    """
    kept = common_layers(holder.layers, layers)
    during = others if kept is None else [*others, _holding(holder, kept)]
    after = [*others, _holding(holder, layers)]
    kept_count = 0 if kept is None else len(kept)
    load_s = profile.load_s * (len(layers) - kept_count) / profile.layer_count
    if holder.layers is not None and kept != holder.layers:
        load_s += _DRAIN_S
    part = min(1.0, load_s / _HORIZON_S)
    lost = part * _value(during, profile)
    return lost + (1 - part) * _value(after, profile)


def _movable(members: list[Holder], room: Sequence[float]) -> list[Holder]:
    """Return the engines next to a gap, and those that are missed least."""
    gap = _first_gap(room)
    near: list[Holder] = []
    if gap is not None:
        near = [
            holder
            for holder in members
            if holder.layers is not None
            and (
                holder.layers.stop == gap.start
                or holder.layers.start == gap.stop
            )
        ]
    held = [one for one in members if one.layers is not None]
    by_need = sorted(
        held,
        key=lambda one: compute_scarcity(room, one.layers) / len(one.layers),
    )
    return near + [one for one in by_need[:_MAX_MOVABLE] if one not in near]


def _windows(
    holder: Holder,
    others: list[Holder],
    profile: ModelProfile,
) -> Iterator[LayerRange]:
    """Return the windows that an engine may usefully hold."""
    room = compute_layer_capacity(others, profile)
    for share in _FILL_SHARES:
        yield find_scarcest_window(
            room, count_replica_layers(holder.kind, profile, share)
        )
    gap = _first_gap(room)
    if gap is None:
        return
    spanned = gap
    if holder.layers is not None:
        spanned = LayerRange(
            min(gap.start, holder.layers.start),
            max(gap.stop, holder.layers.stop),
        )
    for layers in (gap, spanned):
        if len(layers) <= profile.max_layers(holder.kind):
            yield layers


def _first_gap(room: Sequence[float]) -> LayerRange | None:
    """Return the first run of layers that nobody holds."""
    start = next((at for at, tokens in enumerate(room) if not tokens), None)
    if start is None:
        return None
    after = (at for at in range(start, len(room)) if room[at])
    return LayerRange(start, next(after, len(room)))


def _value(members: list[Holder], profile: ModelProfile) -> float:
    """Return what a zone carries; below zero by the layers that it lacks."""
    missing = sum(
        1 for tokens in compute_layer_capacity(members, profile) if not tokens
    )
    if missing:
        return -_GAP_COST * missing
    plan = {
        holder.name: holder.layers
        for holder in members
        if holder.layers is not None
    }
    return drafts_per_s(members, plan, profile)


def _holding(holder: Holder, layers: LayerRange) -> Holder:
    return dataclasses.replace(holder, layers=layers)
