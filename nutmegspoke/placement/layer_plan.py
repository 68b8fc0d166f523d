"""Plan which engine holds which layers of a model.

Within an availability zone the fastest engines form one or more chains, at most
``MAX_CHAINS_PER_ZONE``. Each chain holds every layer once, in proportion to the
memory of its engines. The other engines hold replicas of the layers with the
lowest capacity, in one of two shares of their memory. The number of engines in
chains, the number of chains and the share are chosen by the drafts per second
that the zone sustains, both with all engines and after the loss of one: a long
chain has more memory, but each draft takes longer.
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

# Layers of each engine, by the engine's name.
LayerPlan = dict[str, LayerRange]

# Share of the time in which one engine of a zone is missing. This is an
# estimate: replacing a lost engine takes some seconds, and at times several are
# lost within a minute.
_LOSS_WEIGHT = 0.33
# Approximate number of losses simulated for each plan, spread over the zone's
# engines.
_LOSS_SAMPLES = 5
# Plans with the highest throughput without losses, which are then evaluated
# with losses.
_FINALIST_COUNT = 8
# Chains that a zone may have in addition to its replicas.
MAX_CHAINS_PER_ZONE = 4
# How many numbers of engines in chains are tried, approximately, in addition to
# those that take all engines of a kind.
_ENGINE_COUNT_SAMPLES = 8
# Shares of an engine's memory that are tried for the layers of replicas. The
# rest of the memory is for the caches of requests.
_REPLICA_SHARES = (0.6, 0.85)
# Added to the capacity of each layer, so that the scarcity of a layer that no
# engine holds is finite.
_SCARCITY_OFFSET_TOKENS = 200.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedEngine:
    """An engine of the plan, with or without layers.

    :param name: name of the target.
    :param availability_zone: availability zone of its host.
    :param kind: kind of accelerator.
    :param layers: layers that it holds or was ordered to hold; ``None`` if it
        is empty.
    """

    name: str
    availability_zone: str
    kind: str
    layers: LayerRange | None = None


def plan_layers(
    engines: Sequence[PlacedEngine],
    profile: ModelProfile,
) -> LayerPlan:
    """Return a plan for engines that hold no layers yet, zone by zone."""
    plan: LayerPlan = {}
    for zone_engines in group_by_zone(engines):
        plan.update(run_steps(plan_zone(zone_engines, profile)))
    return plan


def plan_value(
    zone_engines: Sequence[PlacedEngine],
    plan: LayerPlan,
    profile: ModelProfile,
) -> Steps[float]:
    """Estimate the drafts per second, taking losses of engines into account.

    The result is the weighted mean of the zone's throughput with all engines
    and the mean throughput after the loss of one.

    Like each function that returns ``Steps``, this is a generator that yields
    between short computations.
    """
    whole = drafts_per_s(zone_engines, plan, profile)
    if not whole:
        return 0.0
    names = sorted(plan)
    step = max(1, len(names) // _LOSS_SAMPLES)
    after_loss_values: list[float] = []
    for name in names[::step]:
        yield
        after_loss_values.append(
            drafts_per_s(_without(zone_engines, name), plan, profile)
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

    :param held: for each engine its layers, and the number of tokens that fit
        in each of these layers.
    """
    deltas = [0 for _ in range(layer_count + 1)]
    for layers, tokens in held:
        deltas[layers.start] += int(tokens)
        deltas[layers.stop] -= int(tokens)
    return list(itertools.accumulate(deltas[:layer_count]))


def compute_layer_capacity(
    engines: Iterable[PlacedEngine],
    profile: ModelProfile,
) -> list[int]:
    """Return the tokens that fit in each layer on the given engines."""
    held = [
        (
            engine.layers,
            profile.capacity_token_layers(engine.kind, len(engine.layers))
            / len(engine.layers),
        )
        for engine in engines
        if engine.layers is not None
    ]
    return sum_layer_capacity(held, profile.layer_count)


def find_scarcest_window(capacity: Sequence[float], count: int) -> LayerRange:
    """Return the range of layers with the highest scarcity.

    :func:`compute_scarcity` defines the scarcity of a range.

    :param capacity: tokens that fit in each layer.
    :param count: length of the range, in layers.
    """
    scarcities = [1 / (tokens + _SCARCITY_OFFSET_TOKENS) for tokens in capacity]
    scarcity = sum(scarcities[:count])
    best_start, best = 0, scarcity
    for start in range(1, len(capacity) - count + 1):
        scarcity += scarcities[start + count - 1] - scarcities[start - 1]
        # The factor keeps rounding errors of the running sum from deciding
        # between ranges of equal scarcity: the first one is returned.
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
    zone_engines: Sequence[PlacedEngine],
    profile: ModelProfile,
) -> Steps[LayerPlan]:
    """Search for the best plan for the engines of one availability zone.

    If no chain is complete, the engines are assigned the layers with the lowest
    capacity, up to the largest of ``_REPLICA_SHARES`` of their memory.
    """
    options: list[tuple[float, LayerPlan]] = []
    for plan in _zone_options(zone_engines, profile):
        options.append((drafts_per_s(zone_engines, plan, profile), plan))
        yield
    if not options:
        return _add_replicas(zone_engines, {}, profile, max(_REPLICA_SHARES))
    options.sort(key=lambda option: option[0])
    best: LayerPlan = {}
    best_value = -1.0
    for _, finalist in options[-_FINALIST_COUNT:]:
        value = yield from plan_value(zone_engines, finalist, profile)
        if value > best_value:
            best, best_value = finalist, value
    return best


def _zone_options(
    zone_engines: Sequence[PlacedEngine],
    profile: ModelProfile,
) -> Iterator[LayerPlan]:
    by_speed = sorted(
        zone_engines,
        key=lambda engine: (
            profile.kinds[engine.kind].step_factor,
            engine.name,
        ),
    )
    for engine_count in _chain_engine_counts(by_speed):
        for chain_count in range(1, MAX_CHAINS_PER_ZONE + 1):
            chains = _plan_chains(by_speed[:engine_count], chain_count, profile)
            if chains is None:
                break
            for share in _REPLICA_SHARES:
                yield _add_replicas(
                    by_speed[engine_count:],
                    chains,
                    profile,
                    share,
                    zone_engines,
                )


def _chain_engine_counts(by_speed: Sequence[PlacedEngine]) -> Iterator[int]:
    """Yield the numbers of engines, fastest first, to try in chains."""
    step = max(1, len(by_speed) // _ENGINE_COUNT_SAMPLES)
    for engine_count in range(1, len(by_speed) + 1):
        is_last_of_kind = (
            engine_count == len(by_speed)
            or by_speed[engine_count - 1].kind != by_speed[engine_count].kind
        )
        if is_last_of_kind or not engine_count % step:
            yield engine_count


def _plan_chains(
    engines: Sequence[PlacedEngine],
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
    engines: Sequence[PlacedEngine],
    chain_count: int,
    profile: ModelProfile,
) -> list[list[PlacedEngine]]:
    chains: list[list[PlacedEngine]] = [[] for _ in range(chain_count)]
    chain_memory = [0.0 for _ in chains]
    by_memory = sorted(
        engines,
        key=lambda engine: _memory_token_layers(engine, profile),
        reverse=True,
    )
    for engine in by_memory:
        smallest = chain_memory.index(min(chain_memory))
        chains[smallest].append(engine)
        chain_memory[smallest] += _memory_token_layers(engine, profile)
    return chains


def _add_replicas(
    replica_engines: Sequence[PlacedEngine],
    chains_plan: LayerPlan,
    profile: ModelProfile,
    share: float,
    zone_engines: Sequence[PlacedEngine] = (),
) -> LayerPlan:
    """Add replicas on the engines that are in no chain.

    :param replica_engines: engines in no chain.
    :param chains_plan: layers of the engines in all chains.
    :param share: share of an engine's memory to fill with layers.
    :param zone_engines: all engines of the zone.
    """
    plan = dict(chains_plan)
    placed = [
        dataclasses.replace(engine, layers=chains_plan[engine.name])
        for engine in zone_engines
        if engine.name in chains_plan
    ]
    for engine in replica_engines:
        count = count_replica_layers(engine.kind, profile, share)
        layers = find_scarcest_window(
            compute_layer_capacity(placed, profile), count
        )
        plan[engine.name] = layers
        placed.append(dataclasses.replace(engine, layers=layers))
    return plan


def _plan_chain(
    chain: Sequence[PlacedEngine],
    profile: ModelProfile,
) -> LayerPlan | None:
    """Plan one chain; ``None`` if its engines can't hold all layers."""
    counts = share_layers(
        [_memory_token_layers(engine, profile) for engine in chain],
        [profile.max_layers(engine.kind) for engine in chain],
        profile.layer_count,
    )
    if counts is None:
        return None
    stops = list(itertools.accumulate(counts))
    return {
        engine.name: LayerRange(stop - count, stop)
        for engine, count, stop in zip(chain, counts, stops, strict=True)
        if count
    }


def share_layers(
    proportions: list[float],
    limits: list[int],
    layer_count: int,
) -> list[int] | None:
    """Apportion layers by the largest remainder method, within limits.

    Each engine first gets its exact share rounded down. The layers left go one
    by one to the engine furthest below its exact share. No engine gets more
    layers than its limit.

    :param proportions: number for each engine, to which its share of the layers
        is proportional.
    :param limits: maximum number of layers of each engine.
    :param layer_count: layers to apportion.
    :returns: number of layers of each engine; ``None`` if the limits add up
        to fewer layers.
    """
    if sum(limits) < layer_count:
        return None
    total = sum(proportions)
    exact_shares = [
        layer_count * proportion / total for proportion in proportions
    ]
    counts = [
        min(limit, int(exact_share))
        for limit, exact_share in zip(limits, exact_shares, strict=True)
    ]
    while sum(counts) < layer_count:
        shortfalls = [
            (exact_share - count, index)
            for index, (exact_share, count) in enumerate(
                zip(exact_shares, counts, strict=True),
            )
            if count < limits[index]
        ]
        counts[max(shortfalls)[1]] += 1
    return counts


def _memory_token_layers(engine: PlacedEngine, profile: ModelProfile) -> float:
    return profile.capacity_token_layers(engine.kind, 0)


def _without(
    zone_engines: Sequence[PlacedEngine], name: str
) -> list[PlacedEngine]:
    return [engine for engine in zone_engines if engine.name != name]


def group_by_zone(engines: Iterable[PlacedEngine]) -> list[list[PlacedEngine]]:
    """Return the engines of each availability zone, sorted by name."""
    zones: dict[str, list[PlacedEngine]] = {}
    for engine in sorted(engines, key=lambda engine: engine.name):
        zones.setdefault(engine.availability_zone, []).append(engine)
    return list(zones.values())
