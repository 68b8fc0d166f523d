"""Rate limit on this daemon's writes for claims.

The daemons divide the writes that the table service can take equally.
"""

from __future__ import annotations

import dataclasses

from nutmegspoke import outcomes
from nutmegspoke.retries.token_bucket import TokenBucket

_WRITES_PER_CLAIM = 2.0
_MIN_RETRY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ShareSettings:
    """Limits of the writes for claims.

    :param writes_per_s: writes per second of all daemons together.
    :param burst_s: unused share that a daemon may accumulate, in seconds.
    """

    writes_per_s: float = 400.0
    burst_s: float = 2.0


class WriteShare:
    """Refuses claims whose writes would exceed the daemon's share.

    Outcomes and releases of open claims are always written. They count
    towards the share, so that later claims are refused for longer.
    """

    def __init__(self, settings: ShareSettings) -> None:
        """Create the share of a single daemon.

        :param settings: limits of the writes.
        """
        self._settings = settings
        rate_per_s = settings.writes_per_s
        self._bucket = TokenBucket(rate_per_s, rate_per_s * settings.burst_s)
        self._last_retry_at_s = 0.0

    def set_daemon_count(self, daemon_count: int) -> None:
        """Set the number of daemons that divide the writes."""
        rate_per_s = self._settings.writes_per_s / max(1, daemon_count)
        burst = rate_per_s * self._settings.burst_s
        self._bucket.rate_per_s = rate_per_s
        self._bucket.burst = max(burst, _WRITES_PER_CLAIM)

    def refusal(self, now_s: float) -> outcomes.NotRun | None:
        """Return the refusal of a new claim; ``None`` if one is permitted.

        Refused callers get different retry times, spread so that no more of
        them return per second than can be served.
        """
        wait_s = self._bucket.wait_s(_WRITES_PER_CLAIM, now_s)
        if wait_s <= 0:
            return None
        interval_s = _WRITES_PER_CLAIM / self._bucket.rate_per_s
        earliest_s = max(self._last_retry_at_s, now_s + wait_s)
        self._last_retry_at_s = earliest_s + interval_s
        return outcomes.NotRun(
            outcomes.RefusalReason.CLAIM_LIMIT,
            max(self._last_retry_at_s - now_s, _MIN_RETRY_S),
            'claims are made faster than the table service takes them',
        )

    def spend(self, now_s: float) -> None:
        """Count one write."""
        self._bucket.spend(1.0, now_s)
