"""Bounds the prompts that chains move from one availability zone to another.

All share the link between two zones, one transfer after the other: when more
prompts cross than it carries, every stream on such a chain stands still.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.retries.token_bucket import TokenBucket

if TYPE_CHECKING:
    from nutmegspoke.entry_host import ModelProfile

# Part of a link that prompts may take: tokens in work need some, and a link
# may be several times slower for a while.
_LINK_SHARE = 0.35
# Seconds' worth of crossings that may come at once.
_BURST_S = 1.0
_LEAST_RATE_PER_S = 0.05


class CrossingBudget:
    """Crossings that this daemon's chains may make."""

    def __init__(self, profile: ModelProfile) -> None:
        """Start with a full burst.

        :param profile: states the link and the size of a usual prompt.
        """
        moved = profile.usual_prompt_tokens * profile.activation_bytes
        rate = profile.zone_link_bytes_per_s * _LINK_SHARE / max(1.0, moved)
        self._rate_per_s = max(_LEAST_RATE_PER_S, rate)
        self._bucket = TokenBucket(
            self._rate_per_s,
            max(1.0, self._rate_per_s * _BURST_S),
        )

    def may_cross(self, daemons: int, now_s: float) -> bool:
        """Tell whether a chain may cross now.

        :param daemons: daemons that share the links, this one included.
        """
        self._bucket.rate_per_s = max(
            _LEAST_RATE_PER_S,
            self._rate_per_s / max(1, daemons),
        )
        return self._bucket.wait_s(1.0, now_s) <= 0

    def crossed(self, count: int, now_s: float) -> None:
        """Count the crossings of a chain that is used."""
        if count:
            self._bucket.spend(float(count), now_s)
