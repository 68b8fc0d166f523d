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
    from nutmegspoke.placement.layer_plan import PlacedEngine
    from nutmegspoke.placement.steps import Steps

# Shares of an engine's memory that are tried for layers. The rest of the memory
# is for the caches of requests.
_LAYER_MEMORY_SHARES = (0.5, 0.7, 0.9)
# Factors by which the throughput of a zone must grow before a running engine
# is reassigned: in a zone with a gap, and in one without. With a gap the value
# of the zone is negative, and the first factor has no effect: any improvement
# is enough.
_MIN_GAP_GAIN = 1.1
_MIN_THROUGHPUT_GAIN = 1.5
# Time that an engine needs to release layers: running drafts finish on them
# before it drops them.
_LAYER_RELEASE_S = 2.0
# A change must pay off within this time, as engines come and go every few
# seconds.
_PAYOFF_S = 10.0
# Maximum number of engines not next to a gap for which changes are tried, in
# addition to those next to it.
_MAX_NON_ADJACENT_CANDIDATES = 6
# Cost of each layer that no engine holds. It makes closing the first of two
# gaps an improvement, although no chain is complete before the second closes.
_GAP_COST_DRAFTS_PER_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class LayerChange:
    """An engine, by name, and the layers that it is to hold from now on."""

    target: str
    layers: LayerRange


def find_next_change(
    engines: Sequence[PlacedEngine],
    profile: ModelProfile,
    *,
    reassignable_zones: Container[str] | None = None,
) -> Steps[LayerChange | None]:
    """Find the next change of the placement.

    Empty engines, which hold no layers, are filled first, whether or not the
    throughput of their zone grows. In a zone without a gap, an engine that
    holds layers is reassigned only if the throughput grows by a minimum factor;
    in a zone with a gap, any improvement of the zone's value is enough.

    :param engines: live engines, with the layers held or ordered.
    :param profile: speeds and memory sizes of the model's engines.
    :param reassignable_zones: zones whose running engines may be reassigned;
        ``None`` for all.
    :returns: the best change of the first zone that has one; ``None`` if no
        engine is empty and no reassignment pays off.
    """
    zones = group_by_zone(engines)
    for zone_engines in zones:
        change = yield from _find_fill(zone_engines, profile)
        if change is not None:
            return change
    for zone_engines in zones:
        zone = zone_engines[0].availability_zone
        if reassignable_zones is not None and zone not in reassignable_zones:
            continue
        change = yield from _find_reassignment(zone_engines, profile)
        if change is not None:
            return change
    return None


def find_zones_with_gaps(
    engines: Sequence[PlacedEngine],
    profile: ModelProfile,
) -> set[str]:
    """Return the zones in which at least one layer is held by no engine."""
    return {
        zone_engines[0].availability_zone
        for zone_engines in group_by_zone(engines)
        if _first_gap(compute_layer_capacity(zone_engines, profile)) is not None
    }


def _find_fill(
    zone_engines: list[PlacedEngine],
    profile: ModelProfile,
) -> Steps[LayerChange | None]:
    """Find the best layers for the empty engine that can hold the most layers.

    The best layers are those with the highest value after the change, even if
    it is not higher than before.

    :returns: ``None`` if no engine is empty.
    """
    empty = [engine for engine in zone_engines if engine.layers is None]
    if not empty:
        return None
    engine = max(
        empty, key=lambda candidate: profile.max_layers(candidate.kind)
    )
    others = [
        candidate for candidate in zone_engines if candidate is not engine
    ]
    capacity = compute_layer_capacity(others, profile)
    best: tuple[float, float, LayerRange] | None = None
    for layers in _candidate_windows(engine, others, profile):
        value = _change_value(engine, others, layers, profile)
        option = (value, compute_scarcity(capacity, layers), layers)
        best = option if best is None else max(best, option)
        yield
    return None if best is None else LayerChange(engine.name, best[2])


def _find_reassignment(
    zone_engines: list[PlacedEngine],
    profile: ModelProfile,
) -> Steps[LayerChange | None]:
    """Find the best reassignment of a running engine, if one pays off.

    A minimum gain is required in a zone without a gap, because an engine that
    drops layers serves no requests for them for seconds.
    """
    capacity = compute_layer_capacity(zone_engines, profile)
    current_value = _zone_value(zone_engines, profile)
    min_gain = (
        _MIN_THROUGHPUT_GAIN if _first_gap(capacity) is None else _MIN_GAP_GAIN
    )
    best: LayerChange | None = None
    best_value = max(current_value, current_value * min_gain)
    for engine in _find_reassignable(zone_engines, capacity):
        others = [
            candidate for candidate in zone_engines if candidate is not engine
        ]
        for layers in sorted(set(_candidate_windows(engine, others, profile))):
            yield
            value = _change_value(engine, others, layers, profile)
            if value > best_value:
                best, best_value = LayerChange(engine.name, layers), value
    return best


def _change_value(
    engine: PlacedEngine,
    others: list[PlacedEngine],
    layers: LayerRange,
    profile: ModelProfile,
) -> float:
    """Return the mean value of a zone in the seconds after a change.

    The value is the throughput, or a negative cost while the zone has gaps.
    While an engine loads layers, it runs only the layers that it holds both
    before and after the change.

    :param engine: engine to change.
    :param others: the other engines of the zone.
    :param layers: layers that the engine is to hold.
    """
    kept = common_layers(engine.layers, layers)
    engines_while_loading = (
        others if kept is None else [*others, _with_layers(engine, kept)]
    )
    engines_after = [*others, _with_layers(engine, layers)]
    kept_count = 0 if kept is None else len(kept)
    loading_s = (
        profile.load_s * (len(layers) - kept_count) / profile.layer_count
    )
    if engine.layers is not None and kept != engine.layers:
        loading_s += _LAYER_RELEASE_S
    loading_share = min(1.0, loading_s / _PAYOFF_S)
    value_while_loading = loading_share * _zone_value(
        engines_while_loading, profile
    )
    return value_while_loading + (1 - loading_share) * _zone_value(
        engines_after, profile
    )


def _find_reassignable(
    zone_engines: list[PlacedEngine], capacity: Sequence[float]
) -> list[PlacedEngine]:
    """Return the engines next to a gap and those with the least scarce layers.

    :param capacity: tokens that fit in each layer.
    """
    gap = _first_gap(capacity)
    adjacent: list[PlacedEngine] = []
    if gap is not None:
        adjacent = [
            engine
            for engine in zone_engines
            if engine.layers is not None
            and (
                engine.layers.stop == gap.start
                or engine.layers.start == gap.stop
            )
        ]
    held = [
        candidate for candidate in zone_engines if candidate.layers is not None
    ]
    by_scarcity = sorted(
        held,
        key=lambda candidate: (
            compute_scarcity(capacity, candidate.layers) / len(candidate.layers)
        ),
    )
    return adjacent + [
        candidate
        for candidate in by_scarcity[:_MAX_NON_ADJACENT_CANDIDATES]
        if candidate not in adjacent
    ]


def _candidate_windows(
    engine: PlacedEngine,
    others: list[PlacedEngine],
    profile: ModelProfile,
) -> Iterator[LayerRange]:
    """Yield the layer ranges worth trying for an engine.

    They are the ranges where capacity is lowest, and the first gap: alone, and
    extended up to and including the layers that the engine holds. Capacity and
    gap are those that are left without this engine.
    """
    capacity = compute_layer_capacity(others, profile)
    for share in _LAYER_MEMORY_SHARES:
        yield find_scarcest_window(
            capacity, count_replica_layers(engine.kind, profile, share)
        )
    gap = _first_gap(capacity)
    if gap is None:
        return
    spanned = gap
    if engine.layers is not None:
        spanned = LayerRange(
            min(gap.start, engine.layers.start),
            max(gap.stop, engine.layers.stop),
        )
    for layers in (gap, spanned):
        if len(layers) <= profile.max_layers(engine.kind):
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


def _zone_value(
    zone_engines: list[PlacedEngine], profile: ModelProfile
) -> float:
    """Return the drafts per second of a zone, a negative cost if it has gaps."""
    missing = sum(
        1
        for tokens in compute_layer_capacity(zone_engines, profile)
        if not tokens
    )
    if missing:
        return -_GAP_COST_DRAFTS_PER_S * missing
    plan = {
        engine.name: engine.layers
        for engine in zone_engines
        if engine.layers is not None
    }
    return drafts_per_s(zone_engines, plan, profile)


def _with_layers(engine: PlacedEngine, layers: LayerRange) -> PlacedEngine:
    return dataclasses.replace(engine, layers=layers)
