"""Limit the prompts that chains send from one availability zone to another.

All chains share the link between two zones, which transmits one transfer after
the other. When more prompts cross than the link can transmit, every stream on
a chain that crosses there stalls. Each pair of zones has its own link.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from nutmegspoke.retries.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Iterable

    from nutmegspoke.entry_host import ModelProfile

# Share of a link that prompts may use. Tokens being generated need some of it,
# and a link may be several times slower for some time.
_LINK_SHARE = 0.35
# Time for which a daemon may use its crossings all at once.
_BURST_S = 1.0
_MIN_RATE_PER_S = 0.05

ZonePair = frozenset[str]


class CrossingBudget:
    """Zone crossings that the chains of this daemon may make."""

    def __init__(self, profile: ModelProfile) -> None:
        """Start with one available crossing on each link.

        :param profile: link speed and size of a usual prompt.
        """
        prompt_bytes = profile.usual_prompt_tokens * profile.activation_bytes
        rate = (
            profile.zone_link_bytes_per_s * _LINK_SHARE / max(1.0, prompt_bytes)
        )
        self._rate_per_s = max(_MIN_RATE_PER_S, rate)
        self._buckets: dict[ZonePair, TokenBucket] = {}

    def blocked_pairs(
        self,
        zones: Iterable[str],
        daemons: int,
        now_s: float,
    ) -> frozenset[ZonePair]:
        """Return the pairs of zones between which no chain may cross now.

        :param zones: zones that have engines.
        :param daemons: number of daemons that share the links, including this
            one.
        :param now_s: current time, in seconds.
        """
        rate_per_s = self._rate_per_s / max(1, daemons)
        rate_per_s = max(_MIN_RATE_PER_S, rate_per_s)
        blocked_pairs: set[ZonePair] = set()
        for pair in itertools.combinations(set(zones), 2):
            bucket = self._bucket(frozenset(pair))
            bucket.rate_per_s = rate_per_s
            bucket.burst = max(1.0, rate_per_s * _BURST_S)
            if bucket.wait_s(1.0, now_s) > 0:
                blocked_pairs.add(frozenset(pair))
        return frozenset(blocked_pairs)

    def record_crossings(self, pairs: Iterable[ZonePair], now_s: float) -> None:
        """Count the zone crossings of a chosen chain.

        :param pairs: the two zones of each crossing.
        :param now_s: current time, in seconds.
        """
        for pair in pairs:
            self._bucket(pair).spend(1.0, now_s)

    def _bucket(self, pair: ZonePair) -> TokenBucket:
        bucket = self._buckets.get(pair)
        if bucket is None:
            bucket = TokenBucket(self._rate_per_s, 1.0)
            self._buckets[pair] = bucket
        return bucket
