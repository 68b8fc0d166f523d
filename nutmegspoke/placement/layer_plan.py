"""Plans which engine holds which layers of a model.

Within an availability zone the quickest engines form a row that holds every
layer once, in shares of their memory; the others hold second copies where
room is shortest. How many engines go into the row is chosen by the drafts a
second that the zone carries, whole and after the loss of an engine: a long
row has more room, and its drafts take longer.
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

# Part of the time in which an engine of a zone is missing: a loss is made good
# in some seconds, and comes several times in a minute of trouble.
_LOSS_WEIGHT = 0.33
# Losses tried for each plan, spread over the zone's engines.
_MAX_LOSSES = 5
# Plans that carry most while whole, which are then tried with losses.
_FINALISTS = 8
# Rows that a zone may have beside its copies.
MAX_ROWS = 4
# Numbers of engines in rows that are tried, besides whole kinds.
_MAX_LENGTHS = 8
# Parts of an engine's memory that second copies may fill.
_COPY_SHARES = (0.6, 0.85)
# A layer that nobody holds counts like one with room for so many tokens.
_GAP_TOKENS = 200.0


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
) -> LayerPlan:
    """Return a plan for engines that hold nothing yet."""
    plan: LayerPlan = {}
    for members in group_by_zone(holders):
        plan.update(run_steps(plan_zone(members, profile)))
    return plan


def plan_value(
    members: Sequence[Holder],
    plan: LayerPlan,
    profile: ModelProfile,
) -> Steps[float]:
    """Find the drafts a second that a zone carries, losses weighed in."""
    whole = drafts_per_s(members, plan, profile)
    if not whole:
        return 0.0
    names = sorted(plan)
    step = max(1, len(names) // _MAX_LOSSES)
    left: list[float] = []
    for name in names[::step]:
        yield
        left.append(drafts_per_s(_without(members, name), plan, profile))
    after_loss = sum(left) / len(left)
    return (1 - _LOSS_WEIGHT) * whole + _LOSS_WEIGHT * after_loss


def sum_layer_capacity(
    held: Iterable[tuple[LayerRange, float]],
    layer_count: int,
) -> list[int]:
    """Return the tokens that fit in each layer.

    Whole tokens are counted: rests of fractions would hide a layer that
    nobody holds.

    :param held: layers of each engine, with the tokens that fit there.
    """
    steps = [0 for _ in range(layer_count + 1)]
    for layers, tokens in held:
        steps[layers.start] += int(tokens)
        steps[layers.stop] -= int(tokens)
    return list(itertools.accumulate(steps[:layer_count]))


def compute_layer_capacity(
    holders: Iterable[Holder],
    profile: ModelProfile,
) -> list[int]:
    """Return the tokens that fit in each layer with the engines given."""
    held = [
        (
            holder.layers,
            profile.room_token_layers(holder.kind, len(holder.layers))
            / len(holder.layers),
        )
        for holder in holders
        if holder.layers is not None
    ]
    return sum_layer_capacity(held, profile.layer_count)


def find_scarcest_window(room: Sequence[float], count: int) -> LayerRange:
    """Return the window of so many layers that needs a holder most.

    :param room: tokens that fit in each layer.
    """
    needs = [1 / (tokens + _GAP_TOKENS) for tokens in room]
    window = sum(needs[:count])
    best_start, best = 0, window
    for start in range(1, len(room) - count + 1):
        window += needs[start + count - 1] - needs[start - 1]
        if window > best * (1 + 1e-9):
            best_start, best = start, window
    return LayerRange(best_start, best_start + count)


def compute_scarcity(room: Sequence[float], layers: LayerRange) -> float:
    """Return how much a window of layers needs a holder."""
    window = room[layers.start : layers.stop]
    return sum(1 / (tokens + _GAP_TOKENS) for tokens in window)


def count_replica_layers(kind: str, profile: ModelProfile, share: float) -> int:
    """Return the layers that fill a share of an engine's memory."""
    return max(1, int(profile.max_layers(kind) * share))


def plan_zone(
    members: Sequence[Holder],
    profile: ModelProfile,
) -> Steps[LayerPlan]:
    """Find a plan for the engines of one availability zone."""
    options: list[tuple[float, LayerPlan]] = []
    for plan in _zone_options(members, profile):
        options.append((drafts_per_s(members, plan, profile), plan))
        yield
    if not options:
        return _copies(members, {}, profile, max(_COPY_SHARES))
    options.sort(key=lambda option: option[0])
    best: LayerPlan = {}
    best_value = -1.0
    for _, finalist in options[-_FINALISTS:]:
        value = yield from plan_value(members, finalist, profile)
        if value > best_value:
            best, best_value = finalist, value
    return best


def _zone_options(
    members: Sequence[Holder],
    profile: ModelProfile,
) -> Iterator[LayerPlan]:
    by_pace = sorted(
        members,
        key=lambda one: (profile.kinds[one.kind].step_factor, one.name),
    )
    for length in _row_lengths(by_pace):
        for row_count in range(1, MAX_ROWS + 1):
            rows = _rows(by_pace[:length], row_count, profile)
            if rows is None:
                break
            for share in _COPY_SHARES:
                yield _copies(by_pace[length:], rows, profile, share, members)


def _row_lengths(by_pace: Sequence[Holder]) -> Iterator[int]:
    """Return how many engines may go into rows, the quickest first."""
    step = max(1, len(by_pace) // _MAX_LENGTHS)
    for length in range(1, len(by_pace) + 1):
        is_last_of_kind = (
            length == len(by_pace)
            or by_pace[length - 1].kind != by_pace[length].kind
        )
        if is_last_of_kind or not length % step:
            yield length


def _rows(
    engines: Sequence[Holder],
    row_count: int,
    profile: ModelProfile,
) -> LayerPlan | None:
    """Return so many rows of like memory; ``None`` if they don't fit."""
    plan: LayerPlan = {}
    for row in _split_evenly(engines, row_count, profile):
        part = _row_plan(row, profile)
        if part is None:
            return None
        plan.update(part)
    return plan


def _split_evenly(
    engines: Sequence[Holder],
    row_count: int,
    profile: ModelProfile,
) -> list[list[Holder]]:
    rows: list[list[Holder]] = [[] for _ in range(row_count)]
    weights = [0.0 for _ in rows]
    by_memory = sorted(
        engines,
        key=lambda one: _memory(one, profile),
        reverse=True,
    )
    for holder in by_memory:
        lightest = weights.index(min(weights))
        rows[lightest].append(holder)
        weights[lightest] += _memory(holder, profile)
    return rows


def _copies(
    spare: Sequence[Holder],
    row: LayerPlan,
    profile: ModelProfile,
    share: float,
    members: Sequence[Holder] = (),
) -> LayerPlan:
    """Add second copies by the engines that are not in the row."""
    plan = dict(row)
    placed = [
        dataclasses.replace(one, layers=row[one.name])
        for one in members
        if one.name in row
    ]
    for holder in spare:
        count = count_replica_layers(holder.kind, profile, share)
        layers = find_scarcest_window(
            compute_layer_capacity(placed, profile), count
        )
        plan[holder.name] = layers
        placed.append(dataclasses.replace(holder, layers=layers))
    return plan


def _row_plan(
    row: Sequence[Holder],
    profile: ModelProfile,
) -> LayerPlan | None:
    """Return a plan for one row; ``None`` if it can't hold all layers."""
    counts = share_layers(
        [_memory(holder, profile) for holder in row],
        [profile.max_layers(holder.kind) for holder in row],
        profile.layer_count,
    )
    if counts is None:
        return None
    stops = list(itertools.accumulate(counts))
    return {
        holder.name: LayerRange(stop - count, stop)
        for holder, count, stop in zip(row, counts, stops, strict=True)
        if count
    }


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
        short = [
            (part - count, place)
            for place, (part, count) in enumerate(
                zip(exact, counts, strict=True),
            )
            if count < limits[place]
        ]
        counts[max(short)[1]] += 1
    return counts


def _memory(holder: Holder, profile: ModelProfile) -> float:
    return profile.room_token_layers(holder.kind, 0)


def _without(members: Sequence[Holder], name: str) -> list[Holder]:
    return [holder for holder in members if holder.name != name]


def group_by_zone(holders: Iterable[Holder]) -> list[list[Holder]]:
    """Return the engines of each availability zone, in order of names."""
    zones: dict[str, list[Holder]] = {}
    for holder in sorted(holders, key=lambda one: one.name):
        zones.setdefault(holder.availability_zone, []).append(holder)
    return list(zones.values())
