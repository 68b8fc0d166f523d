"""A bound on the bytes that are sent in a second."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class ByteBudget:
    """Token bucket of bytes.

    :param bytes_per_s: rate of refill.
    :param burst_bytes: size of the bucket.
    """

    bytes_per_s: float
    burst_bytes: float
    _left_bytes: float | None = None
    _refilled_s: float = 0.0

    def left_bytes(self, now_s: float) -> float:
        """Return what may be sent now; negative after an overdraft."""
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
        """Take bytes that were sent out of the bucket."""
        self._left_bytes = self.left_bytes(now_s) - size_bytes
