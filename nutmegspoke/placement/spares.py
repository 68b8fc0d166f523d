"""Finds layers that no engine holds any more, and a spare to load them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.layers import LayerRange
from nutmegspoke.targets import Target, TargetState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from nutmegspoke.tables.rows import PoolRow

SUSPECT_GRACE_S = 3.0
_ENDED = frozenset((TargetState.GONE, TargetState.LEAVING))


@dataclasses.dataclass(frozen=True, slots=True)
class Replacement:
    """A spare engine that is to load layers.

    :param layers: the layers.
    :param spare: the engine.
    """

    layers: LayerRange
    spare: Target


@dataclasses.dataclass(slots=True)
class SpareFinder:
    """Decides for one pool which layers are lost and which engine loads them.

    Layers whose engines are gone or leaving are lost at once. Those whose
    engines are merely suspect, or that no engine has reported yet, are lost
    after a grace, because a report may just be late. A spare is a live engine that holds nothing, or else one
    whose layers others hold as well; that one, which loses its caches, only
    after the grace: a connection that was reset makes an engine gone until its
    next report.

    :param suspect_grace_s: time for which suspect engines count as holding.
    """

    suspect_grace_s: float = SUSPECT_GRACE_S
    _lost_since_s: float | None = None

    def find(
        self,
        row: PoolRow,
        members: Sequence[Target],
        under_way: Iterable[Replacement],
        now_s: float,
    ) -> tuple[Replacement, ...]:
        """Return the replacements to order now.

        :param row: row of the pool.
        :param members: all targets of the pool, whatever their state.
        :param under_way: replacements already ordered.
        """
        engines = [target for target in members if _holds_model(row, target)]
        ordered = tuple(under_way)
        lost = self._lost(row, engines, ordered, now_s)
        taken = {replacement.spare.address for replacement in ordered}
        found: list[Replacement] = []
        for layers in lost:
            spare = _choose(
                row,
                members,
                taken,
                is_in_grace=self._is_waiting(now_s),
            )
            if spare is not None:
                taken.add(spare.address)
                found.append(Replacement(layers, spare))
        return tuple(found)

    def _is_waiting(self, now_s: float) -> bool:
        if self._lost_since_s is None:
            return False
        return now_s - self._lost_since_s < self.suspect_grace_s

    def _lost(
        self,
        row: PoolRow,
        engines: list[Target],
        ordered: tuple[Replacement, ...],
        now_s: float,
    ) -> list[LayerRange]:
        coming = [replacement.layers for replacement in ordered]
        live = [*_ranges(engines, {TargetState.LIVE}), *coming]
        gaps = _gaps(live, row.layer_count)
        if not gaps:
            self._lost_since_s = None
            return []
        if self._lost_since_s is None:
            self._lost_since_s = now_s
        suspect = list(_ranges(engines, {TargetState.SUSPECT}))
        former = list(_ranges(engines, _ENDED))
        is_in_grace = self._is_waiting(now_s)
        if is_in_grace:
            gaps = _gaps([*live, *suspect], row.layer_count)
        else:
            former.extend(suspect)
        return [
            layers
            for gap in gaps
            for layers, is_known in _split(gap, former)
            if is_known or not is_in_grace
        ]


def _holds_model(row: PoolRow, target: Target) -> bool:
    is_version = row.version in {'', target.version}
    return bool(target.layers) and target.model == row.model and is_version


def _ranges(
    engines: Iterable[Target],
    states: frozenset[TargetState] | set[TargetState],
) -> Iterator[LayerRange]:
    for engine in engines:
        if engine.state in states and engine.layers is not None:
            yield engine.layers


def _gaps(ranges: Iterable[LayerRange], layer_count: int) -> list[LayerRange]:
    """Return the layers that no range holds, as ranges in order."""
    gaps: list[LayerRange] = []
    position = 0
    for layers in sorted(ranges):
        if layers.start > position:
            gaps.append(LayerRange(position, min(layers.start, layer_count)))
        position = max(position, layers.stop)
    if position < layer_count:
        gaps.append(LayerRange(position, layer_count))
    return gaps


def _split(
    gap: LayerRange,
    former: Sequence[LayerRange],
) -> Iterator[tuple[LayerRange, bool]]:
    """Return the parts of a gap, and whether an engine used to hold each.

    An engine has no room for more layers than engines of its pool hold.
    """
    position = gap.start
    while position < gap.stop:
        stops = [
            min(layers.stop, gap.stop)
            for layers in former
            if layers.start <= position < layers.stop
        ]
        starts = [
            layers.start
            for layers in former
            if position < layers.start < gap.stop
        ]
        stop = max(stops or [min(starts, default=gap.stop)])
        yield LayerRange(position, stop), bool(stops)
        position = stop


def _choose(
    row: PoolRow,
    members: Sequence[Target],
    taken: set[str],
    *,
    is_in_grace: bool,
) -> Target | None:
    live = [
        target
        for target in members
        if target.state == TargetState.LIVE and target.address not in taken
    ]
    empty = [target for target in live if target.layers is None]
    redundant = [
        target
        for target in live
        if not is_in_grace and _is_redundant(row, target, live)
    ]
    return min(empty or redundant, key=_preference, default=None)


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
    held = list(_ranges(others, {TargetState.LIVE}))
    missing = _gaps(held, row.layer_count)
    return not any(_overlaps(gap, target.layers) for gap in missing)


def _overlaps(one: LayerRange, other: LayerRange) -> bool:
    return one.start < other.stop and other.start < one.stop


def _preference(target: Target) -> tuple[int, float, str]:
    """Return what makes a spare cheap to take: idle, then fast."""
    in_flight = target.reported_in_flight + target.own_in_flight
    return in_flight, -target.layer_tokens_per_s, target.name
