"""Engines whose process was just found to have ended, and who wants to know.

What one daemon finds out by a connection that breaks spares the streams of
all others the wait.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# A loss is told in all news of this time: some are lost.
_TOLD_S = 1.0
# The same loss is told more than once; no process ends twice so soon.
_SAME_LOSS_S = 2.0


class LostEngines:
    """Losses that this daemon found, or heard of."""

    def __init__(self) -> None:
        """Start without losses."""
        self._found_s: dict[str, float] = {}
        self._taken_s: dict[str, float] = {}
        self._subscribers: list[Callable[[str], None]] = []

    def subscribe(self, subscriber: Callable[[str], None]) -> None:
        """Call a function with the name of each engine that has ended."""
        self._subscribers.append(subscriber)

    def record_loss(self, target: str, now_s: float) -> None:
        """Take that this daemon has found that an engine has ended."""
        self._found_s[target] = now_s
        self._notify(target, now_s)

    def heard(self, targets: Iterable[str], now_s: float) -> None:
        """Take that another daemon has found that engines have ended."""
        for target in targets:
            self._notify(target, now_s)

    def recent_losses(self, now_s: float) -> tuple[str, ...]:
        """Return the losses found here that others are to hear of."""
        self._found_s = {
            target: found_s
            for target, found_s in self._found_s.items()
            if now_s - found_s < _TOLD_S
        }
        return tuple(self._found_s)

    def _notify(self, target: str, now_s: float) -> None:
        last_s = self._taken_s.get(target, float('-inf'))
        if now_s - last_s < _SAME_LOSS_S:
            return
        self._taken_s[target] = now_s
        for subscriber in self._subscribers:
            subscriber(target)
