"""Load of targets, corrected for the lag of their reports, and masks."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from nutmegspoke.routing.choices import NoChain, NoChoiceReason

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from nutmegspoke.routing.choices import ChainQuery, TargetQuery
    from nutmegspoke.targets import Target


def load_of(target: Target) -> int:
    """Return the work in flight, with what was sent since the last report."""
    reported = target.reported_in_flight + target.sent_since_report
    return max(reported, target.own_in_flight)


def limit_of(query: ChainQuery | TargetQuery, name: str) -> int:
    """Return the in-flight limit of a target for a request."""
    for limit in query.limits:
        if limit.target == name:
            return min(limit.max_in_flight, query.max_in_flight)
    return query.max_in_flight


def has_room(query: ChainQuery | TargetQuery, target: Target) -> bool:
    """Tell whether a target may take the request."""
    if target.name in query.avoided:
        return False
    return target.own_in_flight < limit_of(query, target.name)


def chain_capacity(
    targets: Sequence[Target],
    layer_count: int,
    limits: Mapping[str, int],
) -> int:
    """Return how many chains may run at once by the in-flight limits.

    It is the number of free places at the scarcest layer; engines that serve
    two stages of a chain may make the true number smaller.

    :param targets: targets that may get new work.
    :param layer_count: layers of the model.
    :param limits: in-flight limits by target.
    """
    steps = [0 for _ in range(layer_count + 1)]
    for target in targets:
        if target.layers is not None:
            steps[min(target.layers.start, layer_count)] += limits[target.name]
            steps[min(target.layers.stop, layer_count)] -= limits[target.name]
    places = itertools.accumulate(steps[:layer_count])
    return min(places, default=0)


def first_gap(targets: Sequence[Target], layer_count: int) -> int:
    """Return the first layer that no target holds; -1 if there is none."""
    layers = sorted(
        target.layers for target in targets if target.layers is not None
    )
    position = 0
    for held in layers:
        if held.start > position:
            break
        position = max(position, held.stop)
    return -1 if position >= layer_count else position


def explain_no_chain(query: ChainQuery, targets: Sequence[Target]) -> NoChain:
    """Find out why no chain was chosen.

    :param query: the request.
    :param targets: targets that may get new work.
    """
    if not targets:
        return NoChain(NoChoiceReason.NO_TARGET, 0)
    gap = first_gap(targets, query.layer_count)
    if gap >= 0:
        return NoChain(NoChoiceReason.LAYER_GAP, gap)
    allowed = [target for target in targets if target.name not in query.avoided]
    gap = first_gap(allowed, query.layer_count)
    if gap >= 0:
        return NoChain(NoChoiceReason.AVOIDED, gap)
    roomy = [target for target in allowed if has_room(query, target)]
    gap = first_gap(roomy, query.layer_count)
    return NoChain(NoChoiceReason.IN_FLIGHT_LIMIT, gap)
