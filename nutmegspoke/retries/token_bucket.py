"""Token bucket rate limiter."""

from __future__ import annotations


class TokenBucket:
    """Holds tokens that are refilled at a constant rate, up to ``burst``.

    The number of tokens may become negative, by work that can no longer be
    refused.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        """Create a full bucket.

        :param rate_per_s: tokens added per second.
        :param burst: capacity of the bucket in tokens.
        """
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._refilled_s: float | None = None

    def wait_s(self, cost: float, now_s: float) -> float:
        """Return the seconds until ``cost`` tokens are available; 0 if now."""
        self._refill(now_s)
        return max(0.0, (cost - self._tokens) / self.rate_per_s)

    def spend(self, cost: float, now_s: float) -> None:
        """Remove tokens, even if fewer are available."""
        self._refill(now_s)
        self._tokens -= cost

    def _refill(self, now_s: float) -> None:
        if self._refilled_s is not None:
            added = (now_s - self._refilled_s) * self.rate_per_s
            self._tokens = min(self.burst, self._tokens + max(0.0, added))
        self._refilled_s = now_s
