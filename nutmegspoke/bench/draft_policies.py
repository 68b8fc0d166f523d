"""Placement and admission of drafts against simpler rules, without network."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING

from nutmegspoke.bench.results import Result, Section
from nutmegspoke.entry_host import AcceleratorKind, ModelProfile
from nutmegspoke.layers import LayerRange
from nutmegspoke.placement.chain_capacity import drafts_per_s
from nutmegspoke.placement.layer_plan import (
    Holder,
    plan_layers,
    plan_value,
    share_layers,
)
from nutmegspoke.placement.steps import run_steps

if TYPE_CHECKING:
    from collections.abc import Iterator

    from nutmegspoke.placement.layer_plan import LayerPlan

# Quick, middle and slow accelerators of today's deployments.
_KINDS = (
    AcceleratorKind('quick', 72e9, 2.4, 3.2),
    AcceleratorKind('middle', 43.2e9, 5.6, 2.7),
    AcceleratorKind('slow', 21.6e9, 16.0, 8.2),
)
_LAYERS = 80
_SMALL_LAYERS = 24
_SMALL_STEP = 4
_SMALL_CASES = ((1, 2, 0), (2, 1, 0), (0, 3, 0), (1, 1, 1))
# Engines of each kind in a zone of today's deployments.
_ZONES = ((1, 6, 5), (2, 2, 5), (1, 3, 8))
# A plan of three engines is to carry most of what the best of all plans does.
_LEAST_SHARE_OF_BEST = 0.7
# A plan is to be worth more, losses weighed in, than a row with spares that
# stand by.
_LEAST_GAIN = 1.0
_ROOM_TOKENS = 100_000.0
_DRAFT_TOKENS = 970.0
_DRAFT_S = 2.0
_OVERLOAD = 1.5
_SIMULATED_S = 300.0
_QUICK_SIMULATED_S = 60.0


def profile(layer_count: int = _LAYERS) -> ModelProfile:
    """Return the model of today's deployments.

    :param layer_count: layers of the model.
    """
    return ModelProfile(
        model='m',
        layer_count=layer_count,
        layer_bytes=1.75e9,
        token_layer_bytes=11_475.0,
        activation_bytes=45_900.0,
        zone_link_bytes_per_s=2.25e9,
        step_s=0.00102,
        step_per_request_s=7.14e-6,
        step_per_context_token_s=9.56e-9,
        read_tokens_per_s=105_000.0,
        read_per_pair_s=3.09e-10,
        tokens_per_event=3,
        first_slots=96,
        load_s=14.0,
        usual_prompt_tokens=770.0,
        usual_answer_tokens=200.0,
        kinds={kind.name: kind for kind in _KINDS},
    )


def zone(counts: tuple[int, ...], name: str = 'a') -> list[Holder]:
    """Return so many engines of each kind in one zone."""
    return [
        Holder(f'{name}-{kind.name}-{number}', name, kind.name)
        for kind, count in zip(_KINDS, counts, strict=True)
        for number in range(count)
    ]


def share_of_best(counts: tuple[int, ...]) -> float:
    """Return what the planner reaches of the best of all plans."""
    small = profile(_SMALL_LAYERS)
    holders = zone(counts)
    found = run_steps(plan_value(holders, plan_layers(holders, small), small))
    best = max(
        run_steps(plan_value(holders, plan, small))
        for plan in _all_plans(holders, small)
    )
    return found / best


def _all_plans(
    holders: list[Holder],
    small: ModelProfile,
) -> Iterator[LayerPlan]:
    names = [holder.name for holder in holders]
    ranges = [
        [
            LayerRange(start, stop)
            for start in range(0, _SMALL_LAYERS, _SMALL_STEP)
            for stop in range(start + _SMALL_STEP, _SMALL_LAYERS + 1, 4)
            if stop - start <= small.max_layers(holder.kind)
        ]
        for holder in holders
    ]
    for chosen in itertools.product(*ranges):
        yield dict(zip(names, chosen, strict=True))


def spares_plan(holders: list[Holder], model: ModelProfile) -> LayerPlan:
    """Return one row over the quicker engines; slow ones stand by, empty."""
    row = [holder for holder in holders if holder.kind != 'slow']
    counts = share_layers(
        [model.capacity_token_layers(holder.kind, 0) for holder in row],
        [model.max_layers(holder.kind) for holder in row],
        model.layer_count,
    )
    if counts is None:
        return {}
    stops = list(itertools.accumulate(counts))
    return {
        holder.name: LayerRange(stop - count, stop)
        for holder, count, stop in zip(row, counts, stops, strict=True)
    }


def after_losses(
    holders: list[Holder],
    plan: LayerPlan,
    model: ModelProfile,
) -> float:
    """Return the drafts a second after the loss of any one engine, mean."""
    carried = [
        drafts_per_s([one for one in holders if one is not lost], plan, model)
        for lost in holders
    ]
    return sum(carried) / len(carried)


class _Engine:
    """An engine whose memory drafts fill until they end."""

    def __init__(self) -> None:
        """Start empty."""
        self.on_time = 0
        self._ends: list[tuple[float, int]] = []
        self._tokens: dict[int, float] = {}
        self._late: set[int] = set()

    def end_until(self, now_s: float) -> None:
        """End the drafts that are due."""
        while self._ends and self._ends[0][0] <= now_s:
            _, draft = heapq.heappop(self._ends)
            if self._tokens.pop(draft, None) is not None:
                self.on_time += draft not in self._late

    def has_room(self, tokens: float) -> bool:
        """Tell whether so many tokens fit beside the running drafts."""
        return sum(self._tokens.values()) + tokens <= _ROOM_TOKENS

    def begin(self, draft: int, tokens: float, now_s: float) -> None:
        """Run a draft; without room the newest one begins anew."""
        if not self.has_room(tokens):
            newest = max(self._tokens)
            self._late.update((newest, draft))
            heapq.heappush(self._ends, (now_s + 2 * _DRAFT_S, newest))
        self._tokens[draft] = tokens
        heapq.heappush(self._ends, (now_s + _DRAFT_S, draft))


def on_time_share(*, promises: bool, seed: int, length_s: float) -> float:
    """Return the share of drafts that end on time in an overload.

    :param promises: take a draft only if there is room to its end.
    """
    source = random.Random(seed)  # noqa: S311 -- a simulation
    rate_per_s = _OVERLOAD * _ROOM_TOKENS / _DRAFT_TOKENS / _DRAFT_S
    engine = _Engine()
    now_s, count = 0.0, 0
    while now_s < length_s:
        now_s += source.expovariate(rate_per_s)
        count += 1
        engine.end_until(now_s)
        tokens = _DRAFT_TOKENS * source.uniform(0.5, 1.5)
        if not promises or engine.has_room(tokens):
            engine.begin(count, tokens, now_s)
    return engine.on_time / count


def measure(*, is_quick: bool) -> Section:
    """Measure the planner and the promise of room."""
    model = profile()
    shares = [share_of_best(counts) for counts in _SMALL_CASES]
    values, losses = [], []
    for counts in _ZONES:
        holders = zone(counts)
        planned, spares = (
            plan_layers(holders, model),
            spares_plan(holders, model),
        )
        values.append(
            run_steps(plan_value(holders, planned, model))
            / run_steps(plan_value(holders, spares, model)),
        )
        losses.append(
            after_losses(holders, planned, model)
            / after_losses(holders, spares, model),
        )
    length_s = _QUICK_SIMULATED_S if is_quick else _SIMULATED_S
    promised = on_time_share(promises=True, seed=1, length_s=length_s)
    taken = on_time_share(promises=False, seed=1, length_s=length_s)
    return Section(
        'draft_policies',
        [
            Result.at_least(
                'planner_share_of_best_min',
                min(shares),
                _LEAST_SHARE_OF_BEST,
            ),
            Result.at_least(
                'planner_to_spares_value_min',
                min(values),
                _LEAST_GAIN,
            ),
            Result('planner_to_spares_after_loss_min', min(losses)),
            Result('planner_to_spares_after_loss_max', max(losses)),
            Result('on_time_share_with_promises', promised),
            Result('on_time_share_taking_all', taken),
        ],
        {'overload': _OVERLOAD, 'simulated_s': length_s},
    )
