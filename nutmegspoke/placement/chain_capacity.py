"""Estimate how many drafts per second a placement sustains.

Chains are filled one after the other, the fastest first, until no chain has
enough free memory for another draft. A chain that runs n drafts at once
completes n drafts in the time that one draft takes.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.routing.engine_loads import DraftNeed, EngineLoad
from nutmegspoke.routing.room_chains import ChainFinder

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from nutmegspoke.entry_host import ModelProfile
    from nutmegspoke.layers import Chain, LayerRange
    from nutmegspoke.placement.layer_plan import PlacedEngine

# Limit on the chains tried. Later ones are slow and have little free memory.
_MAX_CHAINS = 24
# Drafts added to a chain before the search for the next one.
_MAX_DRAFTS_PER_STEP = 24


def usual_draft_need(profile: ModelProfile) -> DraftNeed:
    """Return the demand of a draft with the usual prompt and answer lengths."""
    return DraftNeed(profile.usual_prompt_tokens, profile.usual_answer_tokens)


def drafts_per_s(
    engines: Iterable[PlacedEngine],
    plan: Mapping[str, LayerRange],
    profile: ModelProfile,
) -> float:
    """Return the drafts of usual length that a plan sustains per second.

    :param engines: engines that are up.
    :param plan: layers of each engine, by name. Engines without an entry are
        left out.
    :param profile: speeds and memory sizes of the model's engines.
    """
    need = usual_draft_need(profile)
    loads = {
        engine.name: _build_load(engine, plan[engine.name], profile)
        for engine in engines
        if engine.name in plan
    }
    finder = ChainFinder(profile, '')
    total_per_s = 0.0
    for _ in range(_MAX_CHAINS):
        chain = finder.find(tuple(loads.values()), need)
        if chain is None:
            break
        count = _count_fitting_drafts(chain, loads, need, profile)
        for index, stage in enumerate(chain):
            loads[stage.target] = _add_drafts(
                loads[stage.target],
                count,
                need.memory_tokens * len(stage.layers),
                is_first=index == 0,
            )
        total_per_s += count / _sum_run_s(chain, loads, need, profile)
    return total_per_s


def _build_load(
    engine: PlacedEngine,
    layers: LayerRange,
    profile: ModelProfile,
) -> EngineLoad:
    return EngineLoad(
        name=engine.name,
        address='',
        availability_zone='',
        layers=layers,
        accelerator=profile.kinds[engine.kind],
        total_token_layers=profile.capacity_token_layers(
            engine.kind,
            len(layers),
        ),
    )


def _count_fitting_drafts(
    chain: Chain,
    loads: Mapping[str, EngineLoad],
    need: DraftNeed,
    profile: ModelProfile,
) -> int:
    """Return how many more drafts fit on a chain.

    It is at least 1, the draft for which the chain was found.
    """
    fitting = min(
        int(loads[stage.target].free_token_layers)
        // int(need.memory_tokens * len(stage.layers))
        for stage in chain
    )
    free_first_slots = (
        profile.first_slots - loads[chain[0].target].first_stage_count
    )
    return max(1, min(fitting, free_first_slots, _MAX_DRAFTS_PER_STEP))


def _add_drafts(
    load: EngineLoad,
    count: int,
    token_layers: float,
    *,
    is_first: bool,
) -> EngineLoad:
    return dataclasses.replace(
        load,
        used_token_layers=load.used_token_layers + count * token_layers,
        request_count=load.request_count + count,
        first_stage_count=load.first_stage_count + (count if is_first else 0),
    )


def _sum_run_s(
    chain: Chain,
    loads: Mapping[str, EngineLoad],
    need: DraftNeed,
    profile: ModelProfile,
) -> float:
    return sum(
        loads[stage.target].draft_time_s(need, len(stage.layers), profile)
        for stage in chain
    )
