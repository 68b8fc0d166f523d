"""How long a change of a table takes until all daemons know it.

A daemon that reads a table for itself asks again some time after the store has
last confirmed it. One that relies on readers asks the store itself if their
updates show that it has not confirmed the table to any of them for some time.
Both times follow from the time that a change is allowed to take.
"""

from __future__ import annotations

import dataclasses
import math

# Longest wait of a call for a change that is allowed to take some seconds only. A
# call that was lost is noticed when it ends.
URGENT_FEED_WAIT_S = 1.2
# The same for other tables.
FEED_WAIT_S = 10.0
# Time for a call whose first connection may have gone mute, and for the work after
# it.
CALL_TIME_S = 0.5
# Time that updates take on their way.
_UPDATE_DELAY_S = 0.2
# Changes that are allowed to take less are not known in time.
_MIN_LIMIT_S = 0.6
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


def confirmed_limit_s(allowed_s: float) -> float:
    """Return the age in seconds from which what readers know does not suffice.

    :param allowed_s: time that a change is allowed to take; infinite for a table
        that is not urgent.
    """
    if math.isinf(allowed_s):
        return FEED_WAIT_S + _MIN_LIMIT_S
    return max(_MIN_LIMIT_S, allowed_s - CHECK_INTERVAL_S - CALL_TIME_S)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRole:
    """How a daemon reads a table.

    :param allowed_s: time that a change is allowed to take; infinite for a table
        that is not urgent.
    :param is_busy: whether the table always changes.
    :param reads_store: whether the daemon reads it from the store.
    :param has_receivers: whether other daemons rely on it for that.
    """

    allowed_s: float
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
        elif math.isfinite(self.allowed_s):
            longest_s = _MAX_URGENT_PAUSE_S
        wanted_s = _PAUSE_PER_DAEMON_S * daemons
        return min(longest_s, max(_MIN_PAUSE_S, wanted_s))

    def wait_s(self, confirmed_age_s: float) -> float:
        """Return how long a call waits if there is no change yet, in seconds.

        :param confirmed_age_s: time since the store has confirmed the table.
        """
        if math.isinf(self.allowed_s):
            return FEED_WAIT_S
        left_s = max(0.0, self.cycle_s() - confirmed_age_s)
        return min(URGENT_FEED_WAIT_S, left_s)

    def cycle_s(self) -> float:
        """Return the longest time between two answers, if the store answers.

        A reader's is so short that the others need not ask the store.
        """
        if not self.has_receivers:
            return self.allowed_s - CALL_TIME_S
        limit_s = confirmed_limit_s(self.allowed_s)
        return limit_s - TABLE_UPDATE_INTERVAL_S - _UPDATE_DELAY_S

    def update_lag_s(self, daemons: int) -> float:
        """Return the usual delay of the newest change, in seconds."""
        if self.reads_store:
            return self.pause_s(daemons)
        return MAX_READER_PAUSE_S + 2 * TABLE_UPDATE_INTERVAL_S
