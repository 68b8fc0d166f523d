"""The clock of the process."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Tells the present time."""

    def now_s(self) -> float:
        """Return seconds that never go back and count suspended time."""

    def wall_s(self) -> float:
        """Return seconds since 1970 for people to read, never to compare."""


class SystemClock:
    """The host's clock."""

    def now_s(self) -> float:
        """Return seconds of ``CLOCK_BOOTTIME``."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Return seconds since 1970."""
        return time.time()
