"""Plan which engine holds which layers of a model.

Within an availability zone the fastest engines form a chain that holds every
layer once, in proportion to their memory. The other engines hold replicas of
the layers with the lowest capacity. The number of engines in the chain is
chosen by the drafts per second that the zone sustains, both with all engines
and after the loss of one: a long chain has more memory, but each draft takes
longer.
"""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

from nutmegspoke.layers import LayerRange
from nutmegspoke.placement.chain_capacity import drafts_per_s
from nutmegspoke.placement.steps import run_steps

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from nutmegspoke.entry_host import ModelProfile
    from nutmegspoke.placement.steps import Steps

LayerPlan = dict[str, LayerRange]

# Share of the time in which an engine of a zone is missing. Replacing a lost
# engine takes some seconds, and several may be lost within a bad minute.
_LOSS_WEIGHT = 0.33
# Losses simulated for each plan, spread over the zone's engines.
_MAX_LOSSES = 5
# Plans with the highest throughput without losses, which are then evaluated
# with losses.
_FINALIST_COUNT = 8
# Chains that a zone may have in addition to its replicas.
MAX_CHAINS = 4
# Numbers of engines in chains that are tried, in addition to those that take
# all engines of a kind.
_MAX_CHAIN_LENGTHS = 8
# Shares of an engine's memory that are tried for replicas.
_REPLICA_SHARES = (0.6, 0.85)
# Added to the capacity of each layer, so that the scarcity of a layer that no
# engine holds is finite.
_SCARCITY_OFFSET_TOKENS = 200.0


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """An engine that may hold layers.

    :param name: name of the target.
    :param availability_zone: availability zone of its host.
    :param kind: kind of accelerator.
    :param layers: layers that it holds or was ordered to hold.
    """

    name: str
    availability_zone: str
    kind: str
    layers: LayerRange | None = None


def plan_layers(
    holders: Sequence[Holder],
    profile: ModelProfile,
) -> LayerPlan:
    """Return a plan for engines that hold no layers yet, zone by zone."""
    plan: LayerPlan = {}
    for members in group_by_zone(holders):
        plan.update(run_steps(plan_zone(members, profile)))
    return plan


def plan_value(
    members: Sequence[Holder],
    plan: LayerPlan,
    profile: ModelProfile,
) -> Steps[float]:
    """Estimate the drafts per second of a zone, weighted with losses.

    The result is the weighted mean of the throughput with all engines and the
    mean throughput after the loss of one.
    """
    whole = drafts_per_s(members, plan, profile)
    if not whole:
        return 0.0
    names = sorted(plan)
    step = max(1, len(names) // _MAX_LOSSES)
    after_loss_values: list[float] = []
    for name in names[::step]:
        yield
        after_loss_values.append(
            drafts_per_s(_without(members, name), plan, profile)
        )
    after_loss = sum(after_loss_values) / len(after_loss_values)
    return (1 - _LOSS_WEIGHT) * whole + _LOSS_WEIGHT * after_loss


def sum_layer_capacity(
    held: Iterable[tuple[LayerRange, float]],
    layer_count: int,
) -> list[int]:
    """Return the tokens that fit in each layer.

    Counts are rounded down to whole tokens: with fractions, rounding errors
    would make the capacity of a layer that no engine holds differ from 0.

    :param held: layers of each engine, with the tokens that fit in each.
    """
    deltas = [0 for _ in range(layer_count + 1)]
    for layers, tokens in held:
        deltas[layers.start] += int(tokens)
        deltas[layers.stop] -= int(tokens)
    return list(itertools.accumulate(deltas[:layer_count]))


def compute_layer_capacity(
    holders: Iterable[Holder],
    profile: ModelProfile,
) -> list[int]:
    """Return the tokens that fit in each layer on the given engines."""
    held = [
        (
            holder.layers,
            profile.capacity_token_layers(holder.kind, len(holder.layers))
            / len(holder.layers),
        )
        for holder in holders
        if holder.layers is not None
    ]
    return sum_layer_capacity(held, profile.layer_count)


def find_scarcest_window(capacity: Sequence[float], count: int) -> LayerRange:
    """Return the range of layers with the highest scarcity.

    :param capacity: tokens that fit in each layer.
    :param count: length of the range, in layers.
    """
    scarcities = [1 / (tokens + _SCARCITY_OFFSET_TOKENS) for tokens in capacity]
    scarcity = sum(scarcities[:count])
    best_start, best = 0, scarcity
    for start in range(1, len(capacity) - count + 1):
        scarcity += scarcities[start + count - 1] - scarcities[start - 1]
        if scarcity > best * (1 + 1e-9):
            best_start, best = start, scarcity
    return LayerRange(best_start, best_start + count)


def compute_scarcity(capacity: Sequence[float], layers: LayerRange) -> float:
    """Return the scarcity of a range of layers.

    It is the sum of the reciprocals of the layers' capacities, and so is
    dominated by the layers with the lowest capacity.

    :param capacity: tokens that fit in each layer.
    """
    window = capacity[layers.start : layers.stop]
    return sum(1 / (tokens + _SCARCITY_OFFSET_TOKENS) for tokens in window)


def count_replica_layers(kind: str, profile: ModelProfile, share: float) -> int:
    """Return how many layers fill a share of an engine's memory, at least 1."""
    return max(1, int(profile.max_layers(kind) * share))


def plan_zone(
    members: Sequence[Holder],
    profile: ModelProfile,
) -> Steps[LayerPlan]:
    """Search for the best plan for the engines of one availability zone.

    If no chain is complete, the engines hold as many layers as they can.
    """
    options: list[tuple[float, LayerPlan]] = []
    for plan in _zone_options(members, profile):
        options.append((drafts_per_s(members, plan, profile), plan))
        yield
    if not options:
        return _add_replicas(members, {}, profile, max(_REPLICA_SHARES))
    options.sort(key=lambda option: option[0])
    best: LayerPlan = {}
    best_value = -1.0
    for _, finalist in options[-_FINALIST_COUNT:]:
        value = yield from plan_value(members, finalist, profile)
        if value > best_value:
            best, best_value = finalist, value
    return best


def _zone_options(
    members: Sequence[Holder],
    profile: ModelProfile,
) -> Iterator[LayerPlan]:
    by_speed = sorted(
        members,
        key=lambda holder: (
            profile.kinds[holder.kind].step_factor,
            holder.name,
        ),
    )
    for length in _chain_engine_counts(by_speed):
        for chain_count in range(1, MAX_CHAINS + 1):
            chains = _plan_chains(by_speed[:length], chain_count, profile)
            if chains is None:
                break
            for share in _REPLICA_SHARES:
                yield _add_replicas(
                    by_speed[length:], chains, profile, share, members
                )


def _chain_engine_counts(by_speed: Sequence[Holder]) -> Iterator[int]:
    """Yield the numbers of engines, fastest first, to try in chains."""
    step = max(1, len(by_speed) // _MAX_CHAIN_LENGTHS)
    for length in range(1, len(by_speed) + 1):
        is_last_of_kind = (
            length == len(by_speed)
            or by_speed[length - 1].kind != by_speed[length].kind
        )
        if is_last_of_kind or not length % step:
            yield length


def _plan_chains(
    engines: Sequence[Holder],
    chain_count: int,
    profile: ModelProfile,
) -> LayerPlan | None:
    """Plan chains of similar memory; ``None`` if the layers don't fit."""
    plan: LayerPlan = {}
    for chain in _split_evenly(engines, chain_count, profile):
        part = _plan_chain(chain, profile)
        if part is None:
            return None
        plan.update(part)
    return plan


def _split_evenly(
    engines: Sequence[Holder],
    chain_count: int,
    profile: ModelProfile,
) -> list[list[Holder]]:
    chains: list[list[Holder]] = [[] for _ in range(chain_count)]
    weights = [0.0 for _ in chains]
    by_memory = sorted(
        engines,
        key=lambda holder: _memory_token_layers(holder, profile),
        reverse=True,
    )
    for holder in by_memory:
        lightest = weights.index(min(weights))
        chains[lightest].append(holder)
        weights[lightest] += _memory_token_layers(holder, profile)
    return chains


def _add_replicas(
    remaining: Sequence[Holder],
    chain: LayerPlan,
    profile: ModelProfile,
    share: float,
    members: Sequence[Holder] = (),
) -> LayerPlan:
    """Add replicas on the engines that are in no chain.

    :param remaining: engines in no chain.
    :param chain: layers of the engines in chains.
    :param share: share of an engine's memory to fill.
    :param members: all engines of the zone.
    """
    plan = dict(chain)
    placed = [
        dataclasses.replace(member, layers=chain[member.name])
        for member in members
        if member.name in chain
    ]
    for holder in remaining:
        count = count_replica_layers(holder.kind, profile, share)
        layers = find_scarcest_window(
            compute_layer_capacity(placed, profile), count
        )
        plan[holder.name] = layers
        placed.append(dataclasses.replace(holder, layers=layers))
    return plan


def _plan_chain(
    chain: Sequence[Holder],
    profile: ModelProfile,
) -> LayerPlan | None:
    """Plan one chain; ``None`` if its engines can't hold all layers."""
    counts = share_layers(
        [_memory_token_layers(holder, profile) for holder in chain],
        [profile.max_layers(holder.kind) for holder in chain],
        profile.layer_count,
    )
    if counts is None:
        return None
    stops = list(itertools.accumulate(counts))
    return {
        holder.name: LayerRange(stop - count, stop)
        for holder, count, stop in zip(chain, counts, stops, strict=True)
        if count
    }


def share_layers(
    weights: list[float],
    limits: list[int],
    layer_count: int,
) -> list[int] | None:
    """Apportion layers by weight, none above its limit.

    :param weights: weight of each engine.
    :param limits: maximum number of layers of each engine.
    :param layer_count: layers to apportion.
    :returns: number of layers of each engine; ``None`` if the limits add up
        to fewer layers.
    """
    if sum(limits) < layer_count:
        return None
    total = sum(weights)
    exact = [layer_count * weight / total for weight in weights]
    counts = [
        min(limit, int(part)) for limit, part in zip(limits, exact, strict=True)
    ]
    while sum(counts) < layer_count:
        shortfalls = [
            (part - count, index)
            for index, (part, count) in enumerate(
                zip(exact, counts, strict=True),
            )
            if count < limits[index]
        ]
        counts[max(shortfalls)[1]] += 1
    return counts


def _memory_token_layers(holder: Holder, profile: ModelProfile) -> float:
    return profile.capacity_token_layers(holder.kind, 0)


def _without(members: Sequence[Holder], name: str) -> list[Holder]:
    return [holder for holder in members if holder.name != name]


def group_by_zone(holders: Iterable[Holder]) -> list[list[Holder]]:
    """Return the engines of each availability zone, sorted by name."""
    zones: dict[str, list[Holder]] = {}
    for holder in sorted(holders, key=lambda holder: holder.name):
        zones.setdefault(holder.availability_zone, []).append(holder)
    return list(zones.values())
