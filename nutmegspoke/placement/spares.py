"""Find layers that no live engine holds, and spare engines to load them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.layers import LayerRange
from nutmegspoke.targets import Target, TargetState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from nutmegspoke.tables.rows import PoolRow

# Time for which suspect engines still count as holding their layers.
SUSPECT_GRACE_S = 3.0
_ENDED = frozenset((TargetState.GONE, TargetState.LEAVING))


@dataclasses.dataclass(frozen=True, slots=True)
class Replacement:
    """An order to be sent: a spare engine and the layers it loads.

    :param layers: the layers to load.
    :param spare: the engine that loads them.
    """

    layers: LayerRange
    spare: Target


@dataclasses.dataclass(slots=True)
class SpareFinder:
    """Finds the lost layers of one pool and the engines to load them.

    Layers whose engines are gone or leaving are lost at once. Layers whose
    engines are suspect, or that no engine has reported yet, are lost after a
    grace period, because a report may only be late.

    A spare is a live engine without layers or, failing that, a replica: an
    engine whose layers are all held by others too. A replica is used only
    after the grace period because loading other layers discards its caches,
    and a reset connection marks an engine as gone until its next report.

    :param suspect_grace_s: seconds for which suspect engines still count as
        holding their layers.
    """

    suspect_grace_s: float = SUSPECT_GRACE_S
    _lost_since_s: float | None = None

    def find(
        self,
        row: PoolRow,
        members: Sequence[Target],
        pending: Iterable[Replacement],
        now_s: float,
    ) -> tuple[Replacement, ...]:
        """Return the replacements to order now, one spare each.

        :param row: row of the pool.
        :param members: all targets of the pool, in any state.
        :param pending: replacements already ordered.
        """
        engines = [target for target in members if _holds_model(row, target)]
        ordered = tuple(pending)
        lost = self._find_lost_layers(row, engines, ordered, now_s)
        used_addresses = {replacement.spare.address for replacement in ordered}
        found: list[Replacement] = []
        for layers in lost:
            spare = _choose_spare(
                row,
                members,
                used_addresses,
                is_in_grace=self._is_in_grace(now_s),
            )
            if spare is not None:
                used_addresses.add(spare.address)
                found.append(Replacement(layers, spare))
        return tuple(found)

    def _is_in_grace(self, now_s: float) -> bool:
        if self._lost_since_s is None:
            return False
        return now_s - self._lost_since_s < self.suspect_grace_s

    def _find_lost_layers(
        self,
        row: PoolRow,
        engines: list[Target],
        ordered: tuple[Replacement, ...],
        now_s: float,
    ) -> list[LayerRange]:
        ordered_layers = [replacement.layers for replacement in ordered]
        live = [*_held_ranges(engines, {TargetState.LIVE}), *ordered_layers]
        gaps = _find_gaps(live, row.layer_count)
        if not gaps:
            self._lost_since_s = None
            return []
        if self._lost_since_s is None:
            self._lost_since_s = now_s
        suspect = list(_held_ranges(engines, {TargetState.SUSPECT}))
        former_holders = list(_held_ranges(engines, _ENDED))
        is_in_grace = self._is_in_grace(now_s)
        if is_in_grace:
            gaps = _find_gaps([*live, *suspect], row.layer_count)
        else:
            former_holders.extend(suspect)
        return [
            layers
            for gap in gaps
            for layers, is_known in _split_by_former_holders(
                gap, former_holders
            )
            if is_known or not is_in_grace
        ]


def _holds_model(row: PoolRow, target: Target) -> bool:
    has_pool_version = row.version in {'', target.version}
    return (
        bool(target.layers) and target.model == row.model and has_pool_version
    )


def _held_ranges(
    engines: Iterable[Target],
    states: frozenset[TargetState] | set[TargetState],
) -> Iterator[LayerRange]:
    for engine in engines:
        if engine.state in states and engine.layers is not None:
            yield engine.layers


def _find_gaps(
    ranges: Iterable[LayerRange], layer_count: int
) -> list[LayerRange]:
    """Return the layers not covered by any range, as sorted ranges."""
    gaps: list[LayerRange] = []
    position = 0
    for layers in sorted(ranges):
        if layers.start > position:
            gaps.append(LayerRange(position, min(layers.start, layer_count)))
        position = max(position, layers.stop)
    if position < layer_count:
        gaps.append(LayerRange(position, layer_count))
    return gaps


def _split_by_former_holders(
    gap: LayerRange,
    former_holders: Sequence[LayerRange],
) -> Iterator[tuple[LayerRange, bool]]:
    """Split a gap at the bounds of the engines that used to hold its layers.

    A spare can load no more layers than one engine of the pool held, so that
    each part goes to a spare of its own.

    :returns: the parts, each with whether an engine used to hold it.
    """
    position = gap.start
    while position < gap.stop:
        stops = [
            min(layers.stop, gap.stop)
            for layers in former_holders
            if layers.start <= position < layers.stop
        ]
        starts = [
            layers.start
            for layers in former_holders
            if position < layers.start < gap.stop
        ]
        stop = max(stops or [min(starts, default=gap.stop)])
        yield LayerRange(position, stop), bool(stops)
        position = stop


def _choose_spare(
    row: PoolRow,
    members: Sequence[Target],
    used_addresses: set[str],
    *,
    is_in_grace: bool,
) -> Target | None:
    live = [
        target
        for target in members
        if target.state == TargetState.LIVE
        and target.address not in used_addresses
    ]
    empty = [target for target in live if target.layers is None]
    redundant = [
        target
        for target in live
        if not is_in_grace and _is_redundant(row, target, live)
    ]
    return min(empty or redundant, key=_spare_sort_key, default=None)


def _is_redundant(
    row: PoolRow,
    target: Target,
    live: Sequence[Target],
) -> bool:
    if not _holds_model(row, target) or target.layers is None:
        return False
    others = [
        other
        for other in live
        if other.address != target.address and _holds_model(row, other)
    ]
    held = list(_held_ranges(others, {TargetState.LIVE}))
    missing = _find_gaps(held, row.layer_count)
    return not any(_overlaps(gap, target.layers) for gap in missing)


def _overlaps(first: LayerRange, second: LayerRange) -> bool:
    return first.start < second.stop and second.start < first.stop


def _spare_sort_key(target: Target) -> tuple[int, float, str]:
    """Return the sort key of a spare: the least busy first, then the fastest.

    An engine with few requests in flight is the cheapest to reassign.
    """
    in_flight = target.reported_in_flight + target.own_in_flight
    return in_flight, -target.layer_tokens_per_s, target.name
