"""Results of a follower's calls to the store, as its listener needs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.followers import TableListener
    from nutmegspoke.membership.store_health import StoreHealth
    from nutmegspoke.metadata_store import Unavailable

# A failure of the store is reported to other daemons for this time, as an entry
# that disappears shortly after a failure may only have expired.
_FAILURE_REPORTED_S = 5.0


class CallResults:
    """Whether a follower's calls succeed, reported to its listener.

    :param table: name of the table.
    :param listener: receives failures and recoveries.
    :param log: log of decisions.
    :param health: state of the store, shared by all followers of this daemon.
    """

    def __init__(
        self,
        table: str,
        listener: TableListener,
        log: DecisionLog,
        health: StoreHealth,
    ) -> None:
        """Start without failures."""
        self._table = table
        self._listener = listener
        self._log = log
        self._health = health
        self._failures = 0
        self._last_failure_s = float('-inf')

    def reported_age_s(self, now_s: float) -> float:
        """Return the age of the last failure in seconds, for other daemons.

        :returns: -1 if no call has failed recently.
        """
        age_s = now_s - self._last_failure_s
        return age_s if age_s <= _FAILURE_REPORTED_S else -1.0

    def failed(self, failure: Unavailable, took_s: float, now_s: float) -> None:
        """Record that a call failed.

        :param took_s: time from the call to its failure.
        """
        self._health.failed(
            self._table, now_s, took_s=took_s, is_silent=failure.is_silent
        )
        self._failures += 1
        if self._failures == 1:
            self._log.decided(
                'store_lost', table=self._table, reason=failure.reason
            )
        self.failed_elsewhere(failure.reason, now_s)

    def failed_elsewhere(self, reason: str, now_s: float) -> None:
        """Record that a call of another follower failed."""
        self._last_failure_s = now_s
        self._listener.failed(reason, now_s)

    def answered(self, now_s: float) -> None:
        """Record that a call succeeded."""
        self._health.answered(self._table)
        if self._failures:
            self._last_failure_s = now_s
            self._log.decided(
                'store_regained',
                table=self._table,
                failures=self._failures,
            )
        self._failures = 0
        self._listener.answered(now_s)
