"""The clock of the process."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of the current time."""

    def now_s(self) -> float:
        """Return monotonic seconds, including time in suspend."""

    def wall_s(self) -> float:
        """Return seconds since 1970, for display only.

        It may jump; use :meth:`now_s` for comparisons.
        """


class SystemClock:
    """Clock of the host."""

    def now_s(self) -> float:
        """Return seconds of ``CLOCK_BOOTTIME``."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Return seconds since 1970."""
        return time.time()
