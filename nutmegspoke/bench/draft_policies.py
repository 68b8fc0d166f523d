"""Compare layer placement and draft admission with simpler policies.

The comparison is computed and simulated in memory, without a network.
"""

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
    PlacedEngine,
    plan_layers,
    plan_value,
    share_layers,
)
from nutmegspoke.placement.steps import run_steps

if TYPE_CHECKING:
    from collections.abc import Iterator

    from nutmegspoke.placement.layer_plan import LayerPlan

# Fast, medium and slow accelerators of current deployments.
_KINDS = (
    AcceleratorKind('quick', 72e9, 2.4, 3.2),
    AcceleratorKind('middle', 43.2e9, 5.6, 2.7),
    AcceleratorKind('slow', 21.6e9, 16.0, 8.2),
)
_LAYER_COUNT = 80
_SMALL_LAYER_COUNT = 24
_SMALL_STEP = 4
_SMALL_ENGINE_COUNTS = ((1, 2, 0), (2, 1, 0), (0, 3, 0), (1, 1, 1))
# Number of engines of each kind in the zones of current deployments.
_ZONE_ENGINE_COUNTS = ((1, 6, 5), (2, 2, 5), (1, 3, 8))
# Required value of a plan for three engines, as a share of the value of the
# best plan found by exhaustive search.
_MIN_SHARE_OF_BEST = 0.7
# Required ratio of the value of a plan, with losses of engines weighted in, to
# that of a single chain with idle spare engines.
_MIN_GAIN = 1.0
_MEMORY_TOKENS = 100_000.0
_DRAFT_TOKENS = 970.0
_DRAFT_DURATION_S = 2.0
_OVERLOAD_FACTOR = 1.5
_SIMULATED_S = 300.0
_QUICK_SIMULATED_S = 60.0


def build_profile(layer_count: int = _LAYER_COUNT) -> ModelProfile:
    """Return the model profile of current deployments.

    :param layer_count: number of layers of the model.
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


def build_zone(counts: tuple[int, ...], name: str = 'a') -> list[PlacedEngine]:
    """Return the engines of one availability zone.

    :param counts: number of engines of each kind.
    :param name: name of the zone.
    """
    return [
        PlacedEngine(f'{name}-{kind.name}-{number}', name, kind.name)
        for kind, count in zip(_KINDS, counts, strict=True)
        for number in range(count)
    ]


def measure_share_of_best(counts: tuple[int, ...]) -> float:
    """Return the value of the planner's plan as a share of the best plan's.

    :param counts: number of engines of each kind.
    """
    small_model = build_profile(_SMALL_LAYER_COUNT)
    holders = build_zone(counts)
    planned_value = run_steps(
        plan_value(holders, plan_layers(holders, small_model), small_model)
    )
    best_value = max(
        run_steps(plan_value(holders, plan, small_model))
        for plan in _generate_plans(holders, small_model)
    )
    return planned_value / best_value


def _generate_plans(
    holders: list[PlacedEngine],
    small_model: ModelProfile,
) -> Iterator[LayerPlan]:
    names = [holder.name for holder in holders]
    ranges = [
        [
            LayerRange(start, stop)
            for start in range(0, _SMALL_LAYER_COUNT, _SMALL_STEP)
            for stop in range(start + _SMALL_STEP, _SMALL_LAYER_COUNT + 1, 4)
            if stop - start <= small_model.max_layers(holder.kind)
        ]
        for holder in holders
    ]
    for layer_ranges in itertools.product(*ranges):
        yield dict(zip(names, layer_ranges, strict=True))


def plan_with_spares(
    holders: list[PlacedEngine], model: ModelProfile
) -> LayerPlan:
    """Return a plan with one chain of the faster engines.

    The slow engines are idle spares without layers. The plan is empty if the
    faster engines can't hold all layers.
    """
    chain_engines = [holder for holder in holders if holder.kind != 'slow']
    counts = share_layers(
        [
            model.capacity_token_layers(holder.kind, 0)
            for holder in chain_engines
        ],
        [model.max_layers(holder.kind) for holder in chain_engines],
        model.layer_count,
    )
    if counts is None:
        return {}
    stops = list(itertools.accumulate(counts))
    return {
        holder.name: LayerRange(stop - count, stop)
        for holder, count, stop in zip(
            chain_engines, counts, stops, strict=True
        )
    }


def mean_drafts_per_s_after_loss(
    holders: list[PlacedEngine],
    plan: LayerPlan,
    model: ModelProfile,
) -> float:
    """Return the mean drafts per second after the loss of one engine."""
    rates_per_s = [
        drafts_per_s(
            [other for other in holders if other is not lost],
            plan,
            model,
        )
        for lost in holders
    ]
    return sum(rates_per_s) / len(rates_per_s)


class _Engine:
    """Simulated engine whose memory is occupied by running drafts."""

    def __init__(self) -> None:
        """Create an engine without drafts."""
        self.on_time = 0
        self._end_times: list[tuple[float, int]] = []
        self._tokens: dict[int, float] = {}
        self._late_drafts: set[int] = set()

    def end_drafts(self, now_s: float) -> None:
        """End the drafts whose end time has passed."""
        while self._end_times and self._end_times[0][0] <= now_s:
            _, draft = heapq.heappop(self._end_times)
            if self._tokens.pop(draft, None) is not None:
                self.on_time += draft not in self._late_drafts

    def has_free_memory(self, tokens: float) -> bool:
        """Return whether ``tokens`` fit into memory with the running drafts."""
        return sum(self._tokens.values()) + tokens <= _MEMORY_TOKENS

    def start_draft(self, draft: int, tokens: float, now_s: float) -> None:
        """Start a draft.

        Without enough free memory, the newest running draft is restarted; it
        and the new draft then count as late.
        """
        if not self.has_free_memory(tokens):
            newest = max(self._tokens)
            self._late_drafts.update((newest, draft))
            heapq.heappush(
                self._end_times, (now_s + 2 * _DRAFT_DURATION_S, newest)
            )
        self._tokens[draft] = tokens
        heapq.heappush(self._end_times, (now_s + _DRAFT_DURATION_S, draft))


def simulate_on_time_share(
    *, uses_reservations: bool, seed: int, duration_s: float
) -> float:
    """Simulate an overload and return the share of drafts that end on time.

    :param uses_reservations: admit a draft only if there is free memory for
        it until its end.
    :param seed: seed of arrival times and sizes.
    :param duration_s: simulated time.
    """
    random_source = random.Random(seed)  # noqa: S311 -- a simulation
    rate_per_s = (
        _OVERLOAD_FACTOR * _MEMORY_TOKENS / _DRAFT_TOKENS / _DRAFT_DURATION_S
    )
    engine = _Engine()
    now_s, count = 0.0, 0
    while now_s < duration_s:
        now_s += random_source.expovariate(rate_per_s)
        count += 1
        engine.end_drafts(now_s)
        tokens = _DRAFT_TOKENS * random_source.uniform(0.5, 1.5)
        if not uses_reservations or engine.has_free_memory(tokens):
            engine.start_draft(count, tokens, now_s)
    return engine.on_time / count


def measure(*, is_quick: bool) -> Section:
    """Measure the planner and admission with memory reservations.

    :param is_quick: simulate a shorter time.
    """
    model = build_profile()
    shares = [measure_share_of_best(counts) for counts in _SMALL_ENGINE_COUNTS]
    value_ratios, after_loss_ratios = [], []
    for counts in _ZONE_ENGINE_COUNTS:
        holders = build_zone(counts)
        planned, spares = (
            plan_layers(holders, model),
            plan_with_spares(holders, model),
        )
        value_ratios.append(
            run_steps(plan_value(holders, planned, model))
            / run_steps(plan_value(holders, spares, model)),
        )
        after_loss_ratios.append(
            mean_drafts_per_s_after_loss(holders, planned, model)
            / mean_drafts_per_s_after_loss(holders, spares, model),
        )
    duration_s = _QUICK_SIMULATED_S if is_quick else _SIMULATED_S
    share_with_reservations = simulate_on_time_share(
        uses_reservations=True, seed=1, duration_s=duration_s
    )
    share_without_reservations = simulate_on_time_share(
        uses_reservations=False, seed=1, duration_s=duration_s
    )
    return Section(
        'draft_policies',
        [
            Result.at_least(
                'planner_share_of_best_min',
                min(shares),
                _MIN_SHARE_OF_BEST,
            ),
            Result.at_least(
                'planner_to_spares_value_min',
                min(value_ratios),
                _MIN_GAIN,
            ),
            Result('planner_to_spares_after_loss_min', min(after_loss_ratios)),
            Result('planner_to_spares_after_loss_max', max(after_loss_ratios)),
            Result('on_time_share_with_promises', share_with_reservations),
            Result('on_time_share_taking_all', share_without_reservations),
        ],
        {'overload': _OVERLOAD_FACTOR, 'simulated_s': duration_s},
    )
