"""How long a change of a table takes until all daemons know it.

A daemon that reads a table for itself asks again before ``URGENT_CYCLE_S`` have
passed since the store has last confirmed it. One that relies on readers asks
the store itself if their updates show that it has not confirmed the table to any
of them for ``CONFIRMED_LIMIT_S``. So a change is known after the longer of both,
plus the time of a call.
"""

from __future__ import annotations

import dataclasses

# Longest wait of a call for a change of a table whose changes must be applied
# within two seconds. A call that was lost is noticed only when it ends.
URGENT_FEED_WAIT_S = 1.2
# The same for other tables.
FEED_WAIT_S = 10.0
# Longest time between two answers, if the store answers.
URGENT_CYCLE_S = 1.5
# The same for readers. Together with an interval of updates it is shorter than
# the limit below, so that the others make no calls.
READER_CYCLE_S = 0.8
CONFIRMED_LIMIT_S = 1.4
# A daemon that relies on updates reads the store itself after this time without
# any.
UPDATE_TIMEOUT_S = 1.2
# Interval at which readers send updates of tables.
TABLE_UPDATE_INTERVAL_S = 0.4
# Interval at which a daemon that relies on updates checks that they suffice.
CHECK_INTERVAL_S = 0.1
# Longest pause of a reader between two calls, as many others depend on it.
MAX_READER_PAUSE_S = 0.4
# Pause after changes, so that several changes in a row cost one call. It grows
# with the number of daemons, whose calls add up.
_PAUSE_PER_DAEMON_S = 0.02
_MIN_PAUSE_S = 0.2
_MAX_URGENT_PAUSE_S = 0.6
_MAX_PAUSE_S = 1.0


def confirmed_limit_s(*, is_urgent: bool) -> float:
    """Return the age in seconds from which what readers know does not suffice.

    :param is_urgent: whether changes must be applied within two seconds.
    """
    return CONFIRMED_LIMIT_S if is_urgent else FEED_WAIT_S + CONFIRMED_LIMIT_S


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRole:
    """How a daemon reads a table.

    :param is_urgent: whether changes must be applied within two seconds.
    :param is_busy: whether the table always changes.
    :param reads_store: whether the daemon reads it from the store.
    :param has_receivers: whether other daemons rely on it for that.
    """

    is_urgent: bool
    is_busy: bool
    reads_store: bool
    has_receivers: bool

    def pause_s(self, daemons: int) -> float:
        """Return the pause that batches changes into one call, in seconds.

        :param daemons: number of other daemons that follow tables.
        """
        longest_s = _MAX_PAUSE_S
        if self.has_receivers or self.is_busy and self.reads_store:
            longest_s = MAX_READER_PAUSE_S
        elif self.is_urgent:
            longest_s = _MAX_URGENT_PAUSE_S
        wanted_s = _PAUSE_PER_DAEMON_S * daemons
        return min(longest_s, max(_MIN_PAUSE_S, wanted_s))

    def wait_s(self, confirmed_age_s: float) -> float:
        """Return how long a call waits if there is no change yet, in seconds.

        :param confirmed_age_s: time since the store has confirmed the table.
        """
        if not self.is_urgent:
            return FEED_WAIT_S
        cycle_s = READER_CYCLE_S if self.has_receivers else URGENT_CYCLE_S
        return min(URGENT_FEED_WAIT_S, max(0.0, cycle_s - confirmed_age_s))

    def update_lag_s(self, daemons: int) -> float:
        """Return the usual delay of the newest change, in seconds."""
        if self.reads_store:
            return self.pause_s(daemons)
        return MAX_READER_PAUSE_S + 2 * TABLE_UPDATE_INTERVAL_S
