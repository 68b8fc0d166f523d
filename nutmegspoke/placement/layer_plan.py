"""Plans which engine holds which layers of a model.

Within an availability zone engines form rows: each row holds every layer
once, in shares of its engines' memory. More rows outlast more losses, fewer
leave more memory for requests. The number of rows in each zone is chosen by
what is left after losses, up to the load that is expected.
"""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

from nutmegspoke.layers import LayerRange

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from nutmegspoke.entry_host import ModelProfile

LayerPlan = dict[str, LayerRange]

MAX_ROWS = 4
# Every so many engines lost at once: about those that one rolling change,
# scaling in and a crash take together.
_LOSS_STRIDE = 6
# Expected load before any is seen, as a share of all engines' memory.
DEFAULT_LOAD_SHARE = 0.16
# Weights of no loss, any single loss and a broad loss.
_WEIGHTS = (0.4, 0.3, 0.3)


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """An engine that may hold layers.

    :param name: name of the target.
    :param availability_zone: where it is.
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
    load_tokens: float | None = None,
) -> LayerPlan:
    """Return the best plan for engines that hold nothing yet.

    :param load_tokens: tokens that requests hold at the same time; ``None``
        if no load was seen yet.
    """
    if load_tokens is None:
        load_tokens = default_load(holders, profile)
    by_zone = _by_zone(holders)
    options = [_zone_options(members, profile) for members in by_zone.values()]
    best: LayerPlan = {}
    best_score = -1.0
    for combination in itertools.product(*options):
        plan = {
            name: held for part in combination for name, held in part.items()
        }
        score = plan_score(holders, plan, profile, load_tokens)
        if score > best_score:
            best, best_score = plan, score
    return best


def default_load(holders: Sequence[Holder], profile: ModelProfile) -> float:
    """Return the tokens to expect in work before any load was seen."""
    memory = sum(profile.room_token_layers(one.kind, 0) for one in holders)
    return DEFAULT_LOAD_SHARE * memory / profile.layer_count


def plan_score(
    holders: Sequence[Holder],
    plan: Mapping[str, LayerRange],
    profile: ModelProfile,
    load_tokens: float,
) -> float:
    """Return the part of the load that a plan carries, losses included."""
    rooms = _rooms(holders, plan, profile)
    whole = _carried(rooms, profile, load_tokens)
    names = sorted(plan)
    singles = [
        _carried(_without(rooms, {name}), profile, load_tokens)
        for name in names
    ]
    broad = [
        _carried(
            _without(rooms, set(names[first::_LOSS_STRIDE])),
            profile,
            load_tokens,
        )
        for first in range(min(_LOSS_STRIDE, len(names)))
    ]
    parts = (whole, _mean(singles), _mean(broad))
    return sum(
        weight * part for weight, part in zip(_WEIGHTS, parts, strict=True)
    )


def zone_room(
    held: Iterable[tuple[LayerRange, float]],
    layer_count: int,
) -> list[float]:
    """Return the tokens that fit in each layer.

    :param held: layers of each engine, with the tokens that fit there.
    """
    steps = [0.0] * (layer_count + 1)
    for layers, tokens in held:
        steps[layers.start] += tokens
        steps[layers.stop] -= tokens
    return list(itertools.accumulate(steps[:layer_count]))


@dataclasses.dataclass(frozen=True, slots=True)
class _Room:
    name: str
    zone: str
    layers: LayerRange
    tokens: float


def _rooms(
    holders: Sequence[Holder],
    plan: Mapping[str, LayerRange],
    profile: ModelProfile,
) -> list[_Room]:
    rooms = []
    for holder in holders:
        layers = plan.get(holder.name)
        if layers is None:
            continue
        held = len(layers)
        tokens = profile.room_token_layers(holder.kind, held) / held
        rooms.append(
            _Room(holder.name, holder.availability_zone, layers, tokens),
        )
    return rooms


def _without(rooms: list[_Room], lost: set[str]) -> list[_Room]:
    return [room for room in rooms if room.name not in lost]


def _carried(
    rooms: list[_Room],
    profile: ModelProfile,
    load_tokens: float,
) -> float:
    """Return the part of the load for which whole chains have room."""
    by_zone: dict[str, list[tuple[LayerRange, float]]] = {}
    for room in rooms:
        by_zone.setdefault(room.zone, []).append((room.layers, room.tokens))
    fitting = sum(
        min(zone_room(held, profile.layer_count)) for held in by_zone.values()
    )
    return min(1.0, fitting / max(1.0, load_tokens))


def _mean(numbers: list[float]) -> float:
    return sum(numbers) / len(numbers) if numbers else 0.0


def _by_zone(holders: Iterable[Holder]) -> dict[str, list[Holder]]:
    by_zone: dict[str, list[Holder]] = {}
    for holder in sorted(holders, key=lambda one: one.name):
        by_zone.setdefault(holder.availability_zone, []).append(holder)
    return by_zone


def _zone_options(
    members: list[Holder],
    profile: ModelProfile,
) -> list[LayerPlan]:
    options: list[LayerPlan] = [{}]
    for rows in range(1, MAX_ROWS + 1):
        plan = _zone_plan(members, rows, profile)
        if plan is None:
            break
        options.append(plan)
    return options


def _zone_plan(
    members: list[Holder],
    row_count: int,
    profile: ModelProfile,
) -> LayerPlan | None:
    """Return a plan of so many rows; ``None`` if they don't fit."""
    rows: list[list[Holder]] = [[] for _ in range(row_count)]
    weights = [0.0] * row_count
    for holder in sorted(members, key=lambda one: -_memory(one, profile)):
        lightest = weights.index(min(weights))
        rows[lightest].append(holder)
        weights[lightest] += _memory(holder, profile)
    plan: LayerPlan = {}
    for row in rows:
        part = _row_plan(row, profile)
        if part is None:
            return None
        plan.update(part)
    return plan


def _row_plan(row: list[Holder], profile: ModelProfile) -> LayerPlan | None:
    counts = share_layers(
        [_memory(holder, profile) for holder in row],
        [profile.max_layers(holder.kind) for holder in row],
        profile.layer_count,
    )
    if counts is None:
        return None
    plan: LayerPlan = {}
    start = 0
    for holder, count in zip(row, counts, strict=True):
        if count:
            plan[holder.name] = LayerRange(start, start + count)
            start += count
    return plan


def share_layers(
    weights: list[float],
    limits: list[int],
    layer_count: int,
) -> list[int] | None:
    """Share layers out by weight, none above its limit.

    :returns: layers for each weight; ``None`` if the limits don't allow it.
    """
    if sum(limits) < layer_count:
        return None
    total = sum(weights)
    exact = [layer_count * weight / total for weight in weights]
    counts = [
        min(limit, int(part)) for limit, part in zip(limits, exact, strict=True)
    ]
    while sum(counts) < layer_count:
        open_places = [
            place for place, limit in enumerate(limits) if counts[place] < limit
        ]
        place = max(open_places, key=lambda at: exact[at] - counts[at])
        counts[place] += 1
    return counts


def _memory(holder: Holder, profile: ModelProfile) -> float:
    return profile.room_token_layers(holder.kind, 0)
