"""Expected waits of prompts at engines, and the share that hosts can't see.

An engine reads a limited number of prompt tokens in a pass, and a pass that
also generates tokens lasts for a whole event. So prompts queue at an engine
long before its memory is full, and the first events of drafts come late.

The work of other daemons is known with an age. Daemons that all send to the
engine that was idle then build up the queue that they avoid. Each draft thus
assumes that the other daemons have sent a part of what they can have sent
meanwhile to an engine; this part differs between drafts and engines.
"""

from __future__ import annotations

import dataclasses
import math
import statistics
import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from nutmegspoke.entry_host import AcceleratorKind, ModelProfile
    from nutmegspoke.layers import Chain
    from nutmegspoke.routing.engine_loads import EngineLoad

# Ratio of the duration of a pass with prompts to that of its work alone: pieces
# of prompts are smaller than an engine may read at once, and passes wait for
# those of the engines before.
_PASS_OVERHEAD = 2.0
# Utilization up to which the wait is that of a queue in balance.
_STABLE_UTILIZATION = 0.8
# Time for which an engine with a higher utilization is assumed to stay there.
_OVERLOAD_S = 1.0
# Cost of a second of waiting before the first event, in seconds of a draft.
_WAIT_WEIGHT = 8.0
# Tokens of a draft take longer than the steps for them: they wait for a step.
_TOKEN_OVERHEAD = 1.5
_CRC_MASK = 2**32 - 1
# Mean share of the unseen drafts of a pool that an engine is assumed to have.
_UNSEEN_SHARE = 0.3
# An odd number near the golden ratio of the range.
_MIXER = 0x9E3779B1


@dataclasses.dataclass(frozen=True, slots=True)
class UnseenSends:
    """Drafts that other daemons may have sent since their last updates.

    :param count: drafts that they have sent to the whole pool meanwhile.
    :param salt: seed; it differs between drafts.
    """

    count: float = 0.0
    salt: int = 0

    def sent_to(self, engine: str) -> float:
        """Return the drafts assumed to have been sent to an engine.

        This is an exponential variate. If costs are proportional to it and to
        the work of a draft, engines are chosen in proportion to their speeds.

        :param engine: name of the engine.
        """
        if not self.count:
            return 0.0
        # A CRC alone shifts all names alike where only the seed differs.
        mixed = zlib.crc32(engine.encode(), self.salt) * _MIXER
        fraction = ((mixed & _CRC_MASK) + 1) / (_CRC_MASK + 1)
        return -_UNSEEN_SHARE * self.count * math.log(fraction)


@dataclasses.dataclass(frozen=True, slots=True)
class KindTimes:
    """Times of a kind of engine that holds all layers.

    :param piece_s: time of a pass that reads a piece of a prompt, in seconds.
    :param per_request_s: increase of that time for each request that generates
        tokens in the pass, in seconds.
    :param draft_time_s: usual time of a draft whose chain has such an engine,
        in seconds.
    """

    piece_s: float
    per_request_s: float
    draft_time_s: float

    @classmethod
    def from_profile(
        cls,
        accelerator: AcceleratorKind,
        profile: ModelProfile,
        mean_step_factor: float,
    ) -> KindTimes:
        """Return the times of a kind.

        :param mean_step_factor: mean step factor of the layers of the pool. A
            chain mixes kinds, so a draft takes a time between both.
        """
        step_factor = accelerator.step_factor
        tokens_factor = profile.tokens_per_event * step_factor
        read_s = (
            profile.read_chunk_tokens
            / profile.read_tokens_per_s
            * accelerator.read_factor
        )
        token_s = profile.step_s * math.sqrt(step_factor * mean_step_factor)
        return cls(
            _PASS_OVERHEAD * (tokens_factor * profile.step_s + read_s),
            _PASS_OVERHEAD * tokens_factor * profile.step_per_request_s,
            _TOKEN_OVERHEAD * token_s * max(1.0, profile.usual_answer_tokens),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ReadWaits:
    """Waits of prompts at the engines of a pool.

    :param layer_count: number of layers of the model.
    :param pieces: pieces in which engines read a usual prompt; the last one is
        smaller.
    :param by_kind: times by name of the kind of engine.
    :param unseen: drafts that are not in the engines' loads.
    """

    layer_count: int
    pieces: float
    by_kind: Mapping[str, KindTimes]
    unseen: UnseenSends = UnseenSends()

    @classmethod
    def from_engines(
        cls,
        engines: Sequence[EngineLoad],
        profile: ModelProfile,
        news_age_s: float = 0.0,
        salt: int = 0,
    ) -> ReadWaits:
        """Return the waits for the engines' present load.

        :param engines: all engines of the pool.
        :param news_age_s: longest expected age of the other daemons' load, in
            seconds.
        :param salt: seed; it differs between drafts.
        """
        step_factor = statistics.fmean(
            (engine.accelerator.step_factor for engine in engines),
            [max(1, len(engine.layers)) for engine in engines],
        )
        accelerators = {
            engine.accelerator.name: engine.accelerator for engine in engines
        }
        by_kind = {
            name: KindTimes.from_profile(accelerator, profile, step_factor)
            for name, accelerator in accelerators.items()
        }
        draft_time_s = statistics.fmean(
            times.draft_time_s for times in by_kind.values()
        )
        # Updates may be untrue; an engine begins no more chains than this.
        running = sum(
            min(engine.first_stage_count, profile.first_slots)
            for engine in engines
        )
        return cls(
            profile.layer_count,
            profile.usual_prompt_tokens / profile.read_chunk_tokens + 0.5,
            by_kind,
            UnseenSends(running / draft_time_s * news_age_s, salt),
        )

    def costs_s(self, engines: Sequence[EngineLoad]) -> dict[str, float]:
        """Return the cost of the wait at each engine, in seconds of a draft."""
        return {
            engine.name: _WAIT_WEIGHT
            * self.wait_s(engine, self.unseen.sent_to(engine.name))
            for engine in engines
        }

    def wait_s(self, engine: EngineLoad, unseen: float = 0.0) -> float:
        """Return the wait of a prompt for other prompts, in seconds.

        :param unseen: drafts that were sent to the engine just now, beside
            those that it is known to have.
        """
        times = self.by_kind[engine.accelerator.name]
        requests = engine.request_count
        share = len(engine.layers) / self.layer_count
        piece_s = times.piece_s + times.per_request_s * requests * share
        read_s = piece_s * share * engine.slowness * self.pieces
        utilization = requests * read_s / times.draft_time_s
        stable = min(_STABLE_UTILIZATION, utilization)
        queue_s = read_s * (unseen + stable / (1 - stable))
        return queue_s + (utilization - stable) * _OVERLOAD_S

    def chain_wait_s(
        self, chain: Chain, engines: Iterable[EngineLoad]
    ) -> float:
        """Return the expected wait of a prompt on a chain, in seconds.

        :param engines: all engines of the chain; other engines are ignored.
        """
        names = {stage.target for stage in chain}
        return sum(
            self.wait_s(engine) for engine in engines if engine.name in names
        )


def is_needed(
    engines: Sequence[EngineLoad], profile: ModelProfile, gap_goal_s: float
) -> bool:
    """Return whether engines have to be balanced by their waits.

    :param gap_goal_s: goal of the route for pauses, in seconds; 0 if none.
    :returns: ``False`` where all engines are of the same speed, or where it is
        not known.
    """
    if gap_goal_s <= 0 or profile.read_chunk_tokens <= 0 or profile.step_s <= 0:
        return False
    factors = {engine.accelerator.step_factor for engine in engines}
    return len(factors) > 1 and min(factors) > 0
