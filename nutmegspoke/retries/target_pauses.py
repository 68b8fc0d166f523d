"""Pauses that targets ask this host for, and the return after them.

A pause is no fault: the target is sound, and asks before it has to fail. Other
daemons are not told. A target counts its pauses by host, asks each one itself at
the cost of one refused request, and may go on serving those that it has not asked.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from nutmegspoke.entry_host import TargetEntry

# After a pause, the number of requests that may have been sent since doubles with
# each step, from one, until the return is over.
_STEP_S = 0.25
_RETURN_S = 2.0


@dataclasses.dataclass(slots=True)
class _Pause:
    """A pause and the return after it.

    :param until_s: end of the pause.
    :param sent_count: requests sent since then.
    """

    until_s: float
    sent_count: int = 0

    def allowed_count(self, now_s: float) -> int:
        """Return how many requests may have been sent by now."""
        steps = math.floor((now_s - self.until_s) / _STEP_S)
        return 0 if steps < 0 else 2**steps

    def left_s(self, now_s: float) -> float:
        """Return the time until the next request may be sent."""
        if self.sent_count < self.allowed_count(now_s):
            return 0.0
        steps = self.sent_count.bit_length() if self.sent_count else 0
        return max(0.0, self.until_s + steps * _STEP_S - now_s)


class TargetPauses:
    """Targets that have asked this host to send nothing for a while."""

    def __init__(self) -> None:
        """Start without pauses."""
        self._pauses: dict[str, _Pause] = {}

    def begin(self, target: str, pause_s: float, now_s: float) -> None:
        """Record that a target asks for a pause of some seconds."""
        until_s = now_s + pause_s
        known = self._pauses.get(target)
        if known is None or known.until_s < until_s:
            self._pauses[target] = _Pause(until_s)

    def sent(self, target: str) -> None:
        """Record that a request was sent to a target."""
        pause = self._pauses.get(target)
        if pause is not None:
            pause.sent_count += 1

    def is_paused(self, target: str, now_s: float) -> bool:
        """Return whether a target is in its pause."""
        pause = self._find(target, now_s)
        return pause is not None and now_s < pause.until_s

    def is_closed(self, target: str, now_s: float) -> bool:
        """Return whether no request may be sent to a target now.

        This includes targets that return and have got what they may by now.
        """
        pause = self._find(target, now_s)
        return pause is not None and pause.left_s(now_s) > 0

    def filter_open(
        self, entries: Iterable[TargetEntry], now_s: float
    ) -> list[TargetEntry]:
        """Return the entries of targets to which requests may be sent now."""
        return [
            entry for entry in entries if not self.is_closed(entry.name, now_s)
        ]

    def left_s(self, targets: Iterable[str], now_s: float) -> float:
        """Return the time until one of some closed targets opens.

        :returns: infinity if none of them is closed.
        """
        pauses = [self._find(target, now_s) for target in targets]
        left = [pause.left_s(now_s) for pause in pauses if pause is not None]
        return min((left_s for left_s in left if left_s > 0), default=math.inf)

    def _find(self, target: str, now_s: float) -> _Pause | None:
        pause = self._pauses.get(target)
        if pause is not None and now_s >= pause.until_s + _RETURN_S:
            self._pauses.pop(target)
            return None
        return pause
