"""Change a running placement: fill empty engines and close gaps.

A gap is a range of layers that no engine of a zone holds.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.layers import LayerRange, common_layers
from nutmegspoke.placement.chain_capacity import drafts_per_s
from nutmegspoke.placement.layer_plan import (
    compute_layer_capacity,
    compute_scarcity,
    count_replica_layers,
    find_scarcest_window,
    group_by_zone,
)

if TYPE_CHECKING:
    from collections.abc import Container, Iterator, Sequence

    from nutmegspoke.entry_host import ModelProfile
    from nutmegspoke.placement.layer_plan import Holder
    from nutmegspoke.placement.steps import Steps

# Shares of an engine's memory that are tried for layers.
_FILL_SHARES = (0.5, 0.7, 0.9)
# Factors by which the throughput of a zone must grow before a running engine
# is reassigned: in a zone with a gap, and in one without.
_MIN_GAP_GAIN = 1.1
_MIN_BALANCE_GAIN = 1.5
# Time for running drafts to finish on the layers that an engine drops.
_DRAIN_S = 2.0
# A change must pay off within this time, as engines come and go every few
# seconds.
_PAYOFF_S = 10.0
# Engines for which changes are tried, in addition to those next to a gap.
_MAX_REASSIGNABLE = 6
# Cost of each layer that no engine holds. It makes closing the first of two
# gaps an improvement, although no chain is complete before the second closes.
_GAP_COST_DRAFTS_PER_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class LayerChange:
    """An engine, by name, and the layers that it is to hold from now on."""

    target: str
    layers: LayerRange


def find_next_change(
    holders: Sequence[Holder],
    profile: ModelProfile,
    *,
    reassignable_zones: Container[str] | None = None,
) -> Steps[LayerChange | None]:
    """Find the next change of the placement.

    Empty engines, which hold no layers, are filled first. An engine that holds
    layers is reassigned only if the throughput of its zone grows by a minimum
    factor.

    :param holders: live engines, with the layers held or ordered.
    :param profile: speeds and memory sizes of the model's engines.
    :param reassignable_zones: zones whose running engines may be reassigned;
        ``None`` for all.
    :returns: the best change of the first zone that has one; ``None`` if no
        change pays off.
    """
    zones = group_by_zone(holders)
    for members in zones:
        change = yield from _find_fill(members, profile)
        if change is not None:
            return change
    for members in zones:
        zone = members[0].availability_zone
        if reassignable_zones is not None and zone not in reassignable_zones:
            continue
        change = yield from _find_reassignment(members, profile)
        if change is not None:
            return change
    return None


def find_zones_with_gaps(
    holders: Sequence[Holder],
    profile: ModelProfile,
) -> set[str]:
    """Return the availability zones in which no engine holds some layer."""
    return {
        members[0].availability_zone
        for members in group_by_zone(holders)
        if _first_gap(compute_layer_capacity(members, profile)) is not None
    }


def _find_fill(
    members: list[Holder],
    profile: ModelProfile,
) -> Steps[LayerChange | None]:
    """Find the layers for the largest empty engine that help its zone most."""
    empty = [holder for holder in members if holder.layers is None]
    if not empty:
        return None
    holder = max(
        empty, key=lambda candidate: profile.max_layers(candidate.kind)
    )
    others = [candidate for candidate in members if candidate is not holder]
    capacity = compute_layer_capacity(others, profile)
    best: tuple[float, float, LayerRange] | None = None
    for layers in _candidate_windows(holder, others, profile):
        value = _change_value(holder, others, layers, profile)
        option = (value, compute_scarcity(capacity, layers), layers)
        best = option if best is None else max(best, option)
        yield
    return None if best is None else LayerChange(holder.name, best[2])


def _find_reassignment(
    members: list[Holder],
    profile: ModelProfile,
) -> Steps[LayerChange | None]:
    """Find the best reassignment of a running engine, if one pays off.

    A minimum gain is required because an engine that drops layers serves no
    requests for them for seconds.
    """
    capacity = compute_layer_capacity(members, profile)
    current_value = _zone_value(members, profile)
    min_gain = (
        _MIN_BALANCE_GAIN if _first_gap(capacity) is None else _MIN_GAP_GAIN
    )
    best: LayerChange | None = None
    best_value = max(current_value, current_value * min_gain)
    for holder in _find_reassignable(members, capacity):
        others = [candidate for candidate in members if candidate is not holder]
        for layers in sorted(set(_candidate_windows(holder, others, profile))):
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
    """Return the mean throughput of a zone in the seconds after a change.

    While an engine loads layers, it runs only the layers that it holds both
    before and after the change.

    :param holder: engine to change.
    :param others: the other engines of the zone.
    :param layers: layers that the engine is to hold.
    """
    kept = common_layers(holder.layers, layers)
    holders_while_loading = (
        others if kept is None else [*others, _with_layers(holder, kept)]
    )
    holders_after = [*others, _with_layers(holder, layers)]
    kept_count = 0 if kept is None else len(kept)
    load_s = profile.load_s * (len(layers) - kept_count) / profile.layer_count
    if holder.layers is not None and kept != holder.layers:
        load_s += _DRAIN_S
    load_share = min(1.0, load_s / _PAYOFF_S)
    value_while_loading = load_share * _zone_value(
        holders_while_loading, profile
    )
    return value_while_loading + (1 - load_share) * _zone_value(
        holders_after, profile
    )


def _find_reassignable(
    members: list[Holder], capacity: Sequence[float]
) -> list[Holder]:
    """Return the engines next to a gap and those with the least scarce layers.

    :param capacity: tokens that fit in each layer.
    """
    gap = _first_gap(capacity)
    adjacent: list[Holder] = []
    if gap is not None:
        adjacent = [
            holder
            for holder in members
            if holder.layers is not None
            and (
                holder.layers.stop == gap.start
                or holder.layers.start == gap.stop
            )
        ]
    held = [candidate for candidate in members if candidate.layers is not None]
    by_scarcity = sorted(
        held,
        key=lambda candidate: (
            compute_scarcity(capacity, candidate.layers) / len(candidate.layers)
        ),
    )
    return adjacent + [
        candidate
        for candidate in by_scarcity[:_MAX_REASSIGNABLE]
        if candidate not in adjacent
    ]


def _candidate_windows(
    holder: Holder,
    others: list[Holder],
    profile: ModelProfile,
) -> Iterator[LayerRange]:
    """Yield the layer ranges worth trying for an engine.

    They are the ranges where capacity is lowest, and the first gap with and
    without the layers that the engine holds.
    """
    capacity = compute_layer_capacity(others, profile)
    for share in _FILL_SHARES:
        yield find_scarcest_window(
            capacity, count_replica_layers(holder.kind, profile, share)
        )
    gap = _first_gap(capacity)
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


def _first_gap(capacity: Sequence[float]) -> LayerRange | None:
    """Return the first range of layers without capacity, ``None`` if none."""
    start = next(
        (layer for layer, tokens in enumerate(capacity) if not tokens), None
    )
    if start is None:
        return None
    held_after = (
        layer for layer in range(start, len(capacity)) if capacity[layer]
    )
    return LayerRange(start, next(held_after, len(capacity)))


def _zone_value(members: list[Holder], profile: ModelProfile) -> float:
    """Return the drafts per second of a zone, negative if it has gaps."""
    missing = sum(
        1 for tokens in compute_layer_capacity(members, profile) if not tokens
    )
    if missing:
        return -_GAP_COST_DRAFTS_PER_S * missing
    plan = {
        holder.name: holder.layers
        for holder in members
        if holder.layers is not None
    }
    return drafts_per_s(members, plan, profile)


def _with_layers(holder: Holder, layers: LayerRange) -> Holder:
    return dataclasses.replace(holder, layers=layers)
