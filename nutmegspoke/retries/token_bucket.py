"""A token bucket that the clock fills."""

from __future__ import annotations


class TokenBucket:
    """Holds tokens up to a burst.

    Tokens may be spent into debt, by work that can't be refused any more.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        """Create a full bucket.

        :param rate_per_s: tokens that come in a second.
        :param burst: tokens that the bucket holds at most.
        """
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._filled_s: float | None = None

    def wait_s(self, cost: float, now_s: float) -> float:
        """Return the seconds until this many tokens are there; 0 if now."""
        self._fill(now_s)
        return max(0.0, (cost - self._tokens) / self.rate_per_s)

    def spend(self, cost: float, now_s: float) -> None:
        """Take tokens out, whether they are there or not."""
        self._fill(now_s)
        self._tokens -= cost

    def _fill(self, now_s: float) -> None:
        if self._filled_s is not None:
            gained = (now_s - self._filled_s) * self.rate_per_s
            self._tokens = min(self.burst, self._tokens + max(0.0, gained))
        self._filled_s = now_s
