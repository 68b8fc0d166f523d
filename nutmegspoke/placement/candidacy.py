"""Decides which daemons try to get the lease on placement.

Each daemon that tries reads the lease row of the store. In a large deployment
the relays try first, and all others only if that has not led to a leader.
"""

from __future__ import annotations

import math

# Time without a leader after which every daemon tries: longer than the lease,
# and than the time that relays need to hear that there is a leader.
_ALL_TRY_AFTER_S = 4.0


class Candidacy:
    """Whether this daemon tries to get the lease."""

    def __init__(self) -> None:
        """Start without having looked for a leader."""
        self._without_leader_since_s = math.inf

    def should_try(
        self, *, has_leader: bool, is_preferred: bool, now_s: float
    ) -> bool:
        """Return whether this daemon should try now.

        :param has_leader: whether another daemon reports that it leads.
        :param is_preferred: whether this daemon is one of those that try
            first.
        """
        if has_leader:
            self._without_leader_since_s = math.inf
            return False
        self._without_leader_since_s = min(self._without_leader_since_s, now_s)
        waited_s = now_s - self._without_leader_since_s
        return is_preferred or waited_s >= _ALL_TRY_AFTER_S
