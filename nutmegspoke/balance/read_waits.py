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
    from collections.abc import Iterable, Sequence

    from nutmegspoke.entry_host import ModelProfile
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

    def sent_to(self, engine: EngineLoad) -> float:
        """Return the drafts assumed to have been sent to an engine.

        This is an exponential variate. If costs are proportional to it and to
        the work of a draft, engines are chosen in proportion to their speeds.
        """
        if not self.count:
            return 0.0
        # A CRC alone shifts all names alike where only the seed differs.
        mixed = zlib.crc32(engine.name.encode(), self.salt) * _MIXER
        fraction = ((mixed & _CRC_MASK) + 1) / (_CRC_MASK + 1)
        return -_UNSEEN_SHARE * self.count * math.log(fraction)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadWaits:
    """Waits of prompts at the engines of a pool.

    :param profile: speed of the model on engines.
    :param draft_time_s: usual time of a draft in this pool, in seconds.
    :param step_factor: mean step factor of the layers of the pool. A chain
        has engines of several kinds, so a draft on an engine takes a time
        between that of its kind and this.
    :param unseen: drafts that are not in the engines' loads.
    """

    profile: ModelProfile
    draft_time_s: float
    step_factor: float
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
        draft_time_s = max(
            profile.usual_answer_tokens
            * profile.step_s
            * step_factor
            * _TOKEN_OVERHEAD,
            profile.step_s,
        )
        running = sum(engine.first_stage_count for engine in engines)
        unseen = UnseenSends(running / draft_time_s * news_age_s, salt)
        return cls(profile, draft_time_s, step_factor, unseen)

    def costs_s(self, engines: Sequence[EngineLoad]) -> dict[str, float]:
        """Return the cost of the wait at each engine, in seconds of a draft."""
        return {
            engine.name: _WAIT_WEIGHT
            * self.wait_s(engine, self.unseen.sent_to(engine))
            for engine in engines
        }

    def wait_s(self, engine: EngineLoad, unseen: float = 0.0) -> float:
        """Return the wait of a prompt for other prompts, in seconds.

        :param unseen: drafts that were sent to the engine just now, beside
            those that it is known to have.
        """
        read_s = self._piece_s(engine) * self._pieces
        draft_time_s = self.draft_time_s * math.sqrt(
            engine.accelerator.step_factor / self.step_factor
        )
        utilization = engine.request_count * read_s / draft_time_s
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

    @property
    def _pieces(self) -> float:
        """Return the pieces of a usual prompt; the last one is smaller."""
        profile = self.profile
        return profile.usual_prompt_tokens / profile.read_chunk_tokens + 0.5

    def _piece_s(self, engine: EngineLoad) -> float:
        """Return the time of a pass that reads a piece of a prompt."""
        profile = self.profile
        share = len(engine.layers) / profile.layer_count
        step_s = (
            profile.step_s
            + profile.step_per_request_s * engine.request_count * share
        )
        decode_s = (
            profile.tokens_per_event * step_s * engine.accelerator.step_factor
        )
        read_s = (
            profile.read_chunk_tokens
            / profile.read_tokens_per_s
            * engine.accelerator.read_factor
        )
        return _PASS_OVERHEAD * share * (decode_s + read_s) * engine.slowness


def is_needed(
    engines: Sequence[EngineLoad], profile: ModelProfile, gap_goal_s: float
) -> bool:
    """Return whether engines have to be balanced by their waits.

    :param gap_goal_s: goal of the route for pauses, in seconds; 0 if none.
    :returns: ``False`` where all engines are of the same speed.
    """
    if gap_goal_s <= 0 or profile.read_chunk_tokens <= 0:
        return False
    return len({engine.accelerator.step_factor for engine in engines}) > 1
