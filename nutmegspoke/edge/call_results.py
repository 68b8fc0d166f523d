"""What calls and readers show of the store, as a follower's listener needs it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.membership.reader_words import (
    FAILURE_REPORTED_S,
    ReaderWords,
)

if TYPE_CHECKING:
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.followers import TableListener
    from nutmegspoke.membership.store_health import StoreHealth
    from nutmegspoke.membership.table_news import TableUpdate
    from nutmegspoke.metadata_store import Unavailable

# Own calls count as those of a reader without a name.
_OWN_WORD = ''


class CallResults:
    """Whether the store answers this daemon or a reader, and since when.

    :param table: name of the table.
    :param listener: receives failures and recoveries.
    :param log: log of decisions.
    :param health: state of the store, shared by all followers of this daemon.
    :ivar confirmed_s: time at which the store has last confirmed the known rows,
        to this daemon or to a reader; minus infinity before the first answer.
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
        self._is_failing = False
        self._last_failure_s = float('-inf')
        self._words = ReaderWords()
        self.confirmed_s = float('-inf')

    def reported_age_s(self, now_s: float) -> float:
        """Return the age of the last failure in seconds, for other daemons.

        :returns: -1 if no call has failed recently.
        """
        age_s = now_s - self._last_failure_s
        return age_s if age_s <= FAILURE_REPORTED_S else -1.0

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
        self._is_failing = True
        self._last_failure_s = now_s
        self._listener.failed(reason, now_s)

    def hear(self, update: TableUpdate, now_s: float) -> float:
        """Record what a reader says of the store.

        :returns: when the store has answered it, by the own clock.
        """
        answered_s = now_s - max(0.0, update.confirmed_age_s)
        failure_age_s = update.failure_age_s
        self._words.record(update.host, answered_s, failure_age_s, now_s)
        failed_s = now_s - failure_age_s
        if failure_age_s >= 0 and not self._words.is_own_failure(
            update.host, failed_s, now_s
        ):
            self._listener.failed_elsewhere(failed_s)
        self._answered_elsewhere(update.host, answered_s, now_s)
        return answered_s

    def confirm(self, confirmed_s: float) -> None:
        """Record that the known rows are those that the store had at a time."""
        self.confirmed_s = max(self.confirmed_s, confirmed_s)
        self._listener.confirmed(self.confirmed_s)

    def _answered_elsewhere(
        self, host: str, answered_s: float, now_s: float
    ) -> None:
        """End a failure if the store has answered a reader since.

        A daemon that is kept current by readers makes no call that could.
        """
        if not self._is_failing or answered_s <= self._last_failure_s:
            return
        self._is_failing = False
        self._failures = 0
        self._log.decided(
            'store_regained',
            table=self._table,
            heard_from=host,
            age_s=round(now_s - answered_s, 3),
        )
        self._listener.answered(answered_s, now_s)

    def answered(self, answered_s: float, now_s: float) -> None:
        """Record that a call succeeded.

        :param answered_s: earliest time at which the store can have answered.
        """
        self._health.answered(self._table)
        own_age_s = self.reported_age_s(now_s)
        self._words.record(_OWN_WORD, answered_s, own_age_s, now_s)
        if self._failures:
            self._last_failure_s = now_s
            self._log.decided(
                'store_regained',
                table=self._table,
                failures=self._failures,
            )
        self._failures = 0
        self._is_failing = False
        self._listener.answered(now_s, now_s)
