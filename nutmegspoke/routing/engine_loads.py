"""Resources that drafts need, and the free memory and speed of engines."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from nutmegspoke.entry_host import AcceleratorKind, ModelProfile
    from nutmegspoke.layers import Chain, LayerRange

# Engines allocate memory in blocks of this many tokens.
BLOCK_TOKENS = 16
# Share of a running step that a request waits for on a busy engine.
_STEP_WAIT_SHARE = 0.5
# Relative increase of the cost of a full engine; it spreads the load.
_FILL_WEIGHT = 1.0
# Share of an engine's memory that may be reserved for requests, its decrease
# per second of the longest expected age of the other daemons' reservations, and
# its minimum.
_FILL_LIMIT = 0.97
_FILL_DECREASE_PER_S = 0.12
_MIN_FILL_LIMIT = 0.85


def fill_limit(load_age_s: float) -> float:
    """Return the share of an engine's memory that may be reserved.

    :param load_age_s: longest expected age of the other daemons' reservations,
        in seconds.
    """
    limit = _FILL_LIMIT - _FILL_DECREASE_PER_S * load_age_s
    return max(_MIN_FILL_LIMIT, limit)


@dataclasses.dataclass(frozen=True, slots=True)
class DraftNeed:
    """Resources that a draft needs on each engine of its chain.

    :param prompt_tokens: tokens to prefill: the prompt and, after a resume, the
        tokens already delivered.
    :param answer_tokens: expected number of tokens to generate.
    """

    prompt_tokens: float
    answer_tokens: float

    @property
    def memory_tokens(self) -> float:
        """Return the memory needed when the answer is complete, in tokens."""
        return self.prompt_tokens + self.answer_tokens + BLOCK_TOKENS


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """Capacity and load of an engine that may run a stage of a chain.

    :param name: name of the target.
    :param address: ``IP:PORT``.
    :param availability_zone: availability zone of the engine.
    :param layers: layers that it holds.
    :param accelerator: kind of its accelerator.
    :param total_token_layers: memory for requests, in tokens times layers.
    :param used_token_layers: memory reserved for requests, in tokens times
        layers.
    :param request_count: number of requests whose chains include the engine.
    :param first_stage_count: number of those whose chain begins at the engine.
    :param slowness: time relative to the usual time; 1 is the usual speed.
    :param fill_limit: share of the memory that may be reserved.
    """

    name: str
    address: str
    availability_zone: str
    layers: LayerRange
    accelerator: AcceleratorKind
    total_token_layers: float
    used_token_layers: float = 0.0
    request_count: int = 0
    first_stage_count: int = 0
    slowness: float = 1.0
    fill_limit: float = _FILL_LIMIT

    @property
    def free_token_layers(self) -> float:
        """Return the memory still to be reserved, in tokens times layers."""
        limit = self.total_token_layers * self.fill_limit
        return max(0.0, limit - self.used_token_layers)

    def fits(self, need: DraftNeed, layer_count: int) -> bool:
        """Return whether there is free memory for a draft in some layers.

        :param layer_count: number of layers that the draft uses here.
        """
        return need.memory_tokens * layer_count <= self.free_token_layers

    def time_per_token_s(
        self, layer_count: int, profile: ModelProfile
    ) -> float:
        """Return the time for a token of a draft on this engine, in seconds.

        At any time a request is at one engine of its chain, so an engine that
        runs a share of the layers has that share of its requests in each step.
        A request that arrives during a step waits for its end, half a step on
        average.

        :param layer_count: number of layers that the draft uses here.
        """
        share = layer_count / profile.layer_count
        concurrent_requests = self.request_count * share
        held_layer_count = max(1, len(self.layers))
        context_tokens = self.used_token_layers / held_layer_count * share
        step_s = (
            profile.step_s
            + profile.step_per_request_s * (concurrent_requests + 1)
            + profile.step_per_context_token_s * context_tokens
        )
        wait_factor = 1 + _STEP_WAIT_SHARE * min(1.0, concurrent_requests)
        return (
            share
            * step_s
            * self.accelerator.step_factor
            * wait_factor
            * self.slowness
        )

    def draft_time_s(
        self,
        need: DraftNeed,
        layer_count: int,
        profile: ModelProfile,
    ) -> float:
        """Return the time for a draft on this engine, in seconds.

        :param layer_count: number of layers that the draft uses here.
        """
        share = layer_count / profile.layer_count
        prompt = need.prompt_tokens
        prefill_s = (
            prompt / profile.read_tokens_per_s
            + profile.read_per_pair_s * prompt * prompt / 2
        ) * self.accelerator.read_factor
        decode_s = need.answer_tokens * self.time_per_token_s(
            layer_count, profile
        )
        return decode_s + share * prefill_s * self.slowness

    def cost_s(
        self,
        need: DraftNeed,
        layer_count: int,
        profile: ModelProfile,
    ) -> float:
        """Return the time for a draft, weighted by how full the engine is.

        :param layer_count: number of layers that the draft uses here.
        :returns: cost in seconds.
        """
        fill = self.used_token_layers / max(1.0, self.total_token_layers)
        weight = 1 + _FILL_WEIGHT * fill * fill
        return self.draft_time_s(need, layer_count, profile) * weight


def event_interval_s(
    chain: Chain,
    engines: Iterable[EngineLoad],
    profile: ModelProfile,
) -> float:
    """Return the time between two events of a draft on a chain.

    :param engines: all engines of the chain; other engines are ignored.
    :returns: time in seconds.
    """
    by_name = {engine.name: engine for engine in engines}
    time_per_token_s = sum(
        by_name[stage.target].time_per_token_s(len(stage.layers), profile)
        for stage in chain
    )
    return profile.tokens_per_event * time_per_token_s
