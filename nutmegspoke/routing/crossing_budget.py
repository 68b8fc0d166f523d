"""Bounds the prompts that chains move from one availability zone to another.

All share the link between two zones, one transfer after the other: when more
prompts cross than it carries, every stream on such a chain stands still. Each
pair of zones has a link of its own.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from nutmegspoke.retries.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Iterable

    from nutmegspoke.entry_host import ModelProfile

# Part of a link that prompts may take: tokens in work need some, and a link
# may be several times slower for a while.
_LINK_SHARE = 0.35
# Seconds' worth of its crossings that a daemon may use at once.
_BURST_S = 1.0
_LEAST_RATE_PER_S = 0.05

ZonePair = frozenset[str]


class CrossingBudget:
    """Crossings that this daemon's chains may make."""

    def __init__(self, profile: ModelProfile) -> None:
        """Start with one crossing on each link.

        :param profile: states the link and the size of a usual prompt.
        """
        moved = profile.usual_prompt_tokens * profile.activation_bytes
        rate = profile.zone_link_bytes_per_s * _LINK_SHARE / max(1.0, moved)
        self._rate_per_s = max(_LEAST_RATE_PER_S, rate)
        self._buckets: dict[ZonePair, TokenBucket] = {}

    def blocked_pairs(
        self,
        zones: Iterable[str],
        daemons: int,
        now_s: float,
    ) -> frozenset[ZonePair]:
        """Return the pairs of zones between which no chain may cross now.

        :param zones: zones in which there are engines.
        :param daemons: daemons that share the links, this one included.
        """
        rate_per_s = self._rate_per_s / max(1, daemons)
        rate_per_s = max(_LEAST_RATE_PER_S, rate_per_s)
        blocked_pairs: set[ZonePair] = set()
        for pair in itertools.combinations(set(zones), 2):
            bucket = self._bucket(frozenset(pair))
            bucket.rate_per_s = rate_per_s
            bucket.burst = max(1.0, rate_per_s * _BURST_S)
            if bucket.wait_s(1.0, now_s) > 0:
                blocked_pairs.add(frozenset(pair))
        return frozenset(blocked_pairs)

    def crossed(self, pairs: Iterable[ZonePair], now_s: float) -> None:
        """Count the crossings of a chain that is used."""
        for pair in pairs:
            self._bucket(pair).spend(1.0, now_s)

    def _bucket(self, pair: ZonePair) -> TokenBucket:
        bucket = self._buckets.get(pair)
        if bucket is None:
            bucket = TokenBucket(self._rate_per_s, 1.0)
            self._buckets[pair] = bucket
        return bucket
