"""This daemon's share of the table service's writes."""

from __future__ import annotations

import dataclasses

from nutmegspoke import outcomes
from nutmegspoke.retries.token_bucket import TokenBucket

_WRITES_PER_CLAIM = 2.0
_SHORTEST_RETRY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ShareSettings:
    """Bounds of the writes for claims.

    :param writes_per_s: writes of all daemons together.
    :param burst_s: seconds of its share that a daemon may save up.
    """

    writes_per_s: float = 400.0
    burst_s: float = 2.0


class WriteShare:
    """Refuses claims before their writes exceed the daemon's share.

    Outcomes and releases of claims already held are always written; they
    make the claims after them wait.
    """

    def __init__(self, settings: ShareSettings) -> None:
        """Create the share of a daemon that is alone.

        :param settings: bounds of the writes.
        """
        self._settings = settings
        rate_per_s = settings.writes_per_s
        self._bucket = TokenBucket(rate_per_s, rate_per_s * settings.burst_s)
        self._last_return_s = 0.0

    def set_daemon_count(self, daemon_count: int) -> None:
        """Take the number of daemons that share the writes."""
        rate_per_s = self._settings.writes_per_s / max(1, daemon_count)
        burst = rate_per_s * self._settings.burst_s
        self._bucket.rate_per_s = rate_per_s
        self._bucket.burst = max(burst, _WRITES_PER_CLAIM)

    def refusal(self, now_s: float) -> outcomes.NotRun | None:
        """Return why no claim can be made now; ``None`` if one can.

        Callers are told different times to come back, as many in a second
        as can be served then.
        """
        wait_s = self._bucket.wait_s(_WRITES_PER_CLAIM, now_s)
        if wait_s <= 0:
            return None
        turn_s = _WRITES_PER_CLAIM / self._bucket.rate_per_s
        earliest_s = max(self._last_return_s, now_s + wait_s)
        self._last_return_s = earliest_s + turn_s
        return outcomes.NotRun(
            outcomes.RefusalReason.CLAIM_LIMIT,
            max(self._last_return_s - now_s, _SHORTEST_RETRY_S),
            'claims are made faster than the table service takes them',
        )

    def spend(self, now_s: float) -> None:
        """Count one write."""
        self._bucket.spend(1.0, now_s)
