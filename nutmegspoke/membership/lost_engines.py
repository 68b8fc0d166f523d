"""Engines whose process has just ended, and the subscribers to notify.

One daemon detects the loss by a broken connection and reports it, so that the
streams of all other daemons need not wait for a timeout.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# A loss is included in all updates for this time, as some updates are lost.
_REPORT_S = 1.0
# A loss received again within this time is a duplicate: no process ends twice
# so soon.
_DUPLICATE_S = 2.0


class LostEngines:
    """Losses that this daemon detected or received from others."""

    def __init__(self) -> None:
        """Start without losses."""
        self._own_losses_s: dict[str, float] = {}
        self._notified_s: dict[str, float] = {}
        self._subscribers: list[Callable[[str], None]] = []

    def subscribe(self, subscriber: Callable[[str], None]) -> None:
        """Call a function with the name of each engine that has ended."""
        self._subscribers.append(subscriber)

    def record_loss(self, target: str, now_s: float) -> None:
        """Record that this daemon detected the end of an engine.

        Subscribers are notified, and the loss is reported to other daemons.
        """
        self._own_losses_s[target] = now_s
        self._notify(target, now_s)

    def receive(self, targets: Iterable[str], now_s: float) -> None:
        """Notify the subscribers of losses that another daemon detected.

        They are not reported again, or the reports would never end.
        """
        for target in targets:
            self._notify(target, now_s)

    def recent_losses(self, now_s: float) -> tuple[str, ...]:
        """Return the losses detected here that are to be reported now."""
        self._own_losses_s = {
            target: found_s
            for target, found_s in self._own_losses_s.items()
            if now_s - found_s < _REPORT_S
        }
        return tuple(self._own_losses_s)

    def _notify(self, target: str, now_s: float) -> None:
        last_s = self._notified_s.get(target, float('-inf'))
        if now_s - last_s < _DUPLICATE_S:
            return
        self._notified_s[target] = now_s
        for subscriber in self._subscribers:
            subscriber(target)
