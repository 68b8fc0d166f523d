"""Targets that say in their answers that they leave.

That holds until the target starts again, whatever its entry in discovery says, and
so does not age: it is told by name and start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.entry_host import TargetEntry

# Targets that are remembered; the ones that said so first are forgotten.
_MAX_KNOWN = 1_000


class TargetDepartures:
    """The starts of targets that have said that they leave.

    :ivar on_announced: called when a target has said so to this daemon first.
    """

    def __init__(self) -> None:
        """Start without targets."""
        self._starts: dict[str, int] = {}
        self._untold: dict[str, int] = {}
        self.on_announced: Callable[[], None] = _ignore

    def announced(self, entry: TargetEntry) -> bool:
        """Record that a target has said to this daemon that it leaves.

        :returns: ``False`` if that was known.
        """
        if self.has_announced(entry):
            return False
        self._record(entry.name, entry.started_ms)
        self._untold[entry.name] = entry.started_ms
        self.on_announced()
        return True

    def announced_elsewhere(self, starts: dict[str, int]) -> None:
        """Record the targets that have said so to another daemon.

        :param starts: time of their starts in ms, by name.
        """
        for name, started_ms in starts.items():
            self._record(name, started_ms)

    def has_announced(self, entry: TargetEntry) -> bool:
        """Return whether a target has said that it leaves, since its start."""
        return self._starts.get(entry.name) == entry.started_ms

    def take_untold(self) -> dict[str, int]:
        """Return what the other daemons have not been told yet."""
        untold = self._untold
        self._untold = {}
        return untold

    def _record(self, name: str, started_ms: int) -> None:
        known_ms = self._starts.pop(name, started_ms)
        self._starts[name] = max(known_ms, started_ms)
        while len(self._starts) > _MAX_KNOWN:
            self._starts.pop(next(iter(self._starts)))


def _ignore() -> None:
    """Tell nobody."""
