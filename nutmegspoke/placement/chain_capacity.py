"""How many drafts a second a placement carries.

Chains are filled one after the other, the quickest first, until no chain has
room for a draft. A chain that holds so many drafts ends as many in the time
that one takes.
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
    from nutmegspoke.placement.layer_plan import Holder

# Chains tried at most: later ones are slow and short of room.
_MAX_CHAINS = 24
# Drafts put on a chain before the next is looked for.
_AT_ONCE = 24


def usual_need(profile: ModelProfile) -> DraftNeed:
    """Return what a usual draft asks of its engines."""
    return DraftNeed(profile.usual_prompt_tokens, profile.usual_answer_tokens)


def drafts_per_s(
    holders: Iterable[Holder],
    plan: Mapping[str, LayerRange],
    profile: ModelProfile,
) -> float:
    """Return the usual drafts a second for which a plan has room.

    :param holders: engines that are up.
    :param plan: layers of the engines.
    """
    need = usual_need(profile)
    loads = {
        holder.name: _load(holder, plan[holder.name], profile)
        for holder in holders
        if holder.name in plan
    }
    finder = ChainFinder(profile, '')
    carried = 0.0
    for _ in range(_MAX_CHAINS):
        chain = finder.find(tuple(loads.values()), need)
        if chain is None:
            break
        count = _fitting(chain, loads, need, profile)
        for place, stage in enumerate(chain):
            loads[stage.target] = _filled(
                loads[stage.target],
                count,
                need.room_tokens * len(stage.layers),
                is_first=place == 0,
            )
        carried += count / _run_s(chain, loads, need, profile)
    return carried


def _load(
    holder: Holder,
    layers: LayerRange,
    profile: ModelProfile,
) -> EngineLoad:
    return EngineLoad(
        name=holder.name,
        address='',
        availability_zone='',
        layers=layers,
        accelerator=profile.kinds[holder.kind],
        total_token_layers=profile.capacity_token_layers(
            holder.kind,
            len(layers),
        ),
    )


def _fitting(
    chain: Chain,
    loads: Mapping[str, EngineLoad],
    need: DraftNeed,
    profile: ModelProfile,
) -> int:
    """Return how many drafts fit on a chain; at least the one found."""
    fitting = min(
        int(loads[stage.target].free_token_layers)
        // int(need.room_tokens * len(stage.layers))
        for stage in chain
    )
    places = profile.first_slots - loads[chain[0].target].first_stage_count
    return max(1, min(fitting, places, _AT_ONCE))


def _filled(
    load: EngineLoad,
    count: int,
    token_layers: float,
    *,
    is_first: bool,
) -> EngineLoad:
    return dataclasses.replace(
        load,
        used_token_layers=load.used_token_layers + count * token_layers,
        requests=load.requests + count,
        first_stage_count=load.first_stage_count + (count if is_first else 0),
    )


def _run_s(
    chain: Chain,
    loads: Mapping[str, EngineLoad],
    need: DraftNeed,
    profile: ModelProfile,
) -> float:
    return sum(
        loads[stage.target].run_s(need, len(stage.layers), profile)
        for stage in chain
    )
