"""Load and free capacity of targets, corrected for the lag of their reports."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from nutmegspoke.routing.choices import NoChain, NoChoiceReason

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from nutmegspoke.routing.choices import ChainQuery, TargetQuery
    from nutmegspoke.targets import Target


def load_of(target: Target) -> int:
    """Return the requests in flight on a target.

    Requests sent since the last report are included.
    """
    reported = target.reported_in_flight + target.sent_since_report
    return max(reported, target.own_in_flight)


def limit_of(query: ChainQuery | TargetQuery, name: str) -> int:
    """Return the in-flight limit of a target for a request.

    :param name: name of the target.
    """
    for limit in query.limits:
        if limit.target == name:
            return min(limit.max_in_flight, query.max_in_flight)
    return query.max_in_flight


def has_capacity(query: ChainQuery | TargetQuery, target: Target) -> bool:
    """Return whether a target is allowed and below its in-flight limit."""
    if target.name in query.avoided:
        return False
    return target.own_in_flight < limit_of(query, target.name)


def chain_capacity(
    targets: Sequence[Target],
    layer_count: int,
    limits: Mapping[str, int],
) -> int:
    """Return how many chains may run at once under the in-flight limits.

    This is the sum of the limits at the layer where it is lowest. The true
    number is lower if one engine runs two stages of a chain.

    :param targets: targets that accept new work.
    :param layer_count: layers of the model.
    :param limits: in-flight limits by target.
    """
    changes = [0 for _ in range(layer_count + 1)]
    for target in targets:
        if target.layers is not None:
            changes[min(target.layers.start, layer_count)] += limits[
                target.name
            ]
            changes[min(target.layers.stop, layer_count)] -= limits[target.name]
    limit_sums = itertools.accumulate(changes[:layer_count])
    return min(limit_sums, default=0)


def find_first_gap(targets: Sequence[Target], layer_count: int) -> int:
    """Return the start of the first gap: layers that no engine holds.

    :returns: index of the layer; -1 if there is no gap.
    """
    layers = sorted(
        target.layers for target in targets if target.layers is not None
    )
    position = 0
    for layer_range in layers:
        if layer_range.start > position:
            break
        position = max(position, layer_range.stop)
    return -1 if position >= layer_count else position


def explain_no_chain(query: ChainQuery, targets: Sequence[Target]) -> NoChain:
    """Return the reason why no chain was chosen.

    :param query: the request.
    :param targets: targets that accept new work.
    """
    if not targets:
        return NoChain(NoChoiceReason.NO_TARGET, 0)
    gap = find_first_gap(targets, query.layer_count)
    if gap >= 0:
        return NoChain(NoChoiceReason.LAYER_GAP, gap)
    allowed = [target for target in targets if target.name not in query.avoided]
    gap = find_first_gap(allowed, query.layer_count)
    if gap >= 0:
        return NoChain(NoChoiceReason.AVOIDED, gap)
    below_limit = [target for target in allowed if has_capacity(query, target)]
    gap = find_first_gap(below_limit, query.layer_count)
    return NoChain(NoChoiceReason.IN_FLIGHT_LIMIT, gap)
