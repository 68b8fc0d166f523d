"""What drafts ask of engines, and the room and the time that engines have."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from nutmegspoke.entry_host import AcceleratorKind, ModelProfile
    from nutmegspoke.layers import Chain, LayerRange

# Engines allot memory for tokens in blocks of this size.
TOKEN_BLOCK = 16
# Part of a pass that a request waits for on a busy engine.
_PASS_WAIT = 0.5
# Added time for a full engine, as a share of its own time: spreads load.
_FILL_WEIGHT = 1.0
# Share of an engine's room that may be promised to requests, and by how much
# it is less for each second by which others' promises are known late.
_FILL_LIMIT = 0.97
_LATE_FILL_PER_S = 0.12
_LEAST_FILL_LIMIT = 0.85


def fill_limit(load_age_s: float) -> float:
    """Return the share of an engine's room that may be promised.

    :param load_age_s: age of what is known of others' promises.
    """
    limit = _FILL_LIMIT - _LATE_FILL_PER_S * load_age_s
    return max(_LEAST_FILL_LIMIT, limit)


@dataclasses.dataclass(frozen=True, slots=True)
class DraftNeed:
    """What a draft asks of each engine of its chain.

    :param prompt_tokens: tokens to read, events already sent included.
    :param answer_tokens: tokens that are expected to be written.
    """

    prompt_tokens: float
    answer_tokens: float

    @property
    def room_tokens(self) -> float:
        """Return the memory it takes at its end, in tokens."""
        return self.prompt_tokens + self.answer_tokens + TOKEN_BLOCK


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """An engine that may run a part of a chain.

    :param name: name of the target.
    :param address: ``IP:PORT``.
    :param availability_zone: where it is.
    :param layers: layers that it holds.
    :param accelerator: its kind.
    :param total_token_layers: memory for requests.
    :param used_token_layers: memory promised to requests.
    :param requests: requests that pass through it.
    :param first_stage_count: those of them whose chain begins here.
    :param slowness: 1 is the usual pace, more is slower.
    :param fill_limit: share of the memory that may be promised.
    """

    name: str
    address: str
    availability_zone: str
    layers: LayerRange
    accelerator: AcceleratorKind
    total_token_layers: float
    used_token_layers: float = 0.0
    requests: int = 0
    first_stage_count: int = 0
    slowness: float = 1.0
    fill_limit: float = _FILL_LIMIT

    @property
    def free_token_layers(self) -> float:
        """Return the memory that may still be promised."""
        limit = self.total_token_layers * self.fill_limit
        return max(0.0, limit - self.used_token_layers)

    def fits(self, need: DraftNeed, layer_count: int) -> bool:
        """Tell whether there is room for a request in so many layers."""
        return need.room_tokens * layer_count <= self.free_token_layers

    def token_s(self, layer_count: int, profile: ModelProfile) -> float:
        """Return the time that a token of a request spends here.

        Requests take turns on the engines of a chain, so that a pass has as
        many of them as the engine's part of the layers. A request waits for
        the pass that runs when it comes: half a pass on a busy engine.
        """
        share = layer_count / profile.layer_count
        writers = self.requests * share
        held = max(1, len(self.layers))
        context_tokens = self.used_token_layers / held * share
        step_s = (
            profile.step_s
            + profile.step_per_request_s * (writers + 1)
            + profile.step_per_context_token_s * context_tokens
        )
        wait = 1 + _PASS_WAIT * min(1.0, writers)
        return (
            share * step_s * self.accelerator.step_factor * wait * self.slowness
        )

    def run_s(
        self,
        need: DraftNeed,
        layer_count: int,
        profile: ModelProfile,
    ) -> float:
        """Return the time that a request spends here."""
        share = layer_count / profile.layer_count
        prompt = need.prompt_tokens
        read_s = (
            prompt / profile.read_tokens_per_s
            + profile.read_per_pair_s * prompt * prompt / 2
        ) * self.accelerator.read_factor
        write_s = need.answer_tokens * self.token_s(layer_count, profile)
        return write_s + share * read_s * self.slowness

    def cost_s(
        self,
        need: DraftNeed,
        layer_count: int,
        profile: ModelProfile,
    ) -> float:
        """Return the time, weighted by how full the engine is."""
        fill = self.used_token_layers / max(1.0, self.total_token_layers)
        weight = 1 + _FILL_WEIGHT * fill * fill
        return self.run_s(need, layer_count, profile) * weight


def event_interval_s(
    chain: Chain,
    engines: Iterable[EngineLoad],
    profile: ModelProfile,
) -> float:
    """Return the time between two events of a draft on a chain.

    :param engines: all engines of the chain, and maybe others.
    """
    by_name = {engine.name: engine for engine in engines}
    token_s = sum(
        by_name[stage.target].token_s(len(stage.layers), profile)
        for stage in chain
    )
    return profile.tokens_per_event * token_s
