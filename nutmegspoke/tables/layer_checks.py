"""Checks that the targets of a pool together hold all layers of a model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.layers import LayerRange
from nutmegspoke.tables.faults import TableFault
from nutmegspoke.tables.text import section_title

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from nutmegspoke.tables.rows import PoolRow

_ALLOWED_COVER = 'targets that hold every layer of the model'
_ALLOWED_CHAIN = 'ranges that begin where others end, from 0 to layer_count'


def check_layers(
    pool: PoolRow,
    held: Mapping[str, LayerRange],
    source: str,
) -> tuple[TableFault, ...]:
    """Find gaps (layers that no target holds) and targets in no chain.

    :param pool: a pool of engines.
    :param held: layers that each known target holds, by target name.
    :param source: file name to report in faults.
    :returns: the faults; empty if the targets form complete chains.
    """
    section = section_title(pool)
    return tuple(
        TableFault(source, section, 'layer_count', problem, allowed)
        for problem, allowed in _find_problems(pool.layer_count, held)
    )


def _find_problems(
    layer_count: int,
    held: Mapping[str, LayerRange],
) -> Iterator[tuple[str, str]]:
    gaps = tuple(_find_gaps(layer_count, held.values()))
    for gap in gaps:
        yield f'has a gap: no target holds the layers {gap}', _ALLOWED_COVER
    for name, layers in sorted(held.items()):
        if layers.stop > layer_count:
            yield (
                f'is {layer_count}, but {name} holds {layers}',
                _ALLOWED_CHAIN,
            )
    if gaps:
        return
    for name in sorted(_find_unusable_targets(layer_count, held)):
        yield (
            f'has an overlap: {name} holds {held[name]}, which fits no chain',
            _ALLOWED_CHAIN,
        )


def _find_gaps(
    layer_count: int,
    ranges: Iterable[LayerRange],
) -> Iterator[LayerRange]:
    position = 0
    for layers in (*sorted(ranges), LayerRange(layer_count, layer_count)):
        stop = min(layers.start, layer_count)
        if stop > position:
            yield LayerRange(position, stop)
        position = max(position, layers.stop)


def _find_unusable_targets(
    layer_count: int,
    held: Mapping[str, LayerRange],
) -> set[str]:
    ranges = sorted(set(held.values()))
    boundaries_from_start = {0}
    for layers in ranges:
        if layers.start in boundaries_from_start:
            boundaries_from_start.add(layers.stop)
    boundaries_to_end = {layer_count}
    for layers in sorted(ranges, key=_get_stop, reverse=True):
        if layers.stop in boundaries_to_end:
            boundaries_to_end.add(layers.start)
    return {
        name
        for name, layers in held.items()
        if layers.start not in boundaries_from_start
        or layers.stop not in boundaries_to_end
    }


def _get_stop(layers: LayerRange) -> int:
    return layers.stop
