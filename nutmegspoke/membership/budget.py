"""Limit on the bytes sent per second."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class ByteBudget:
    """Token bucket of bytes. It starts full.

    :param bytes_per_s: refill rate.
    :param burst_bytes: size of the bucket.
    """

    bytes_per_s: float
    burst_bytes: float
    _left_bytes: float | None = None
    _refilled_s: float = 0.0

    def left_bytes(self, now_s: float) -> float:
        """Return how many bytes may be sent now; negative if overdrawn."""
        if self._left_bytes is None:
            self._left_bytes = self.burst_bytes
            self._refilled_s = now_s
        gained_bytes = (now_s - self._refilled_s) * self.bytes_per_s
        self._refilled_s = now_s
        self._left_bytes = min(
            self.burst_bytes,
            self._left_bytes + max(0.0, gained_bytes),
        )
        return self._left_bytes

    def spend(self, size_bytes: int, now_s: float) -> None:
        """Deduct bytes that were sent; this may overdraw the bucket."""
        self._left_bytes = self.left_bytes(now_s) - size_bytes
