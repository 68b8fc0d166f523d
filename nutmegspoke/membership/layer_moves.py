"""Engines that are changing their layers, by order of the daemon that leads.

An engine gives layers up at once and lists the change seconds later. Until
then it runs only what it held before and is to hold after.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.layers import LayerRange, common_layers

if TYPE_CHECKING:
    from collections.abc import Mapping

    from nutmegspoke.entry_host import TargetEntry


@dataclasses.dataclass(frozen=True, slots=True)
class _Move:
    wanted: LayerRange
    until_s: float


class LayerReassignments:
    """Changes of layers under way."""

    def __init__(self) -> None:
        """Start with none."""
        self._moves: dict[str, _Move] = {}

    def ordered(
        self,
        target: str,
        wanted: LayerRange,
        limit_s: float,
        now_s: float,
    ) -> None:
        """Take that an engine was ordered to hold other layers.

        :param limit_s: time in which it lists them, or did not begin.
        """
        self._moves[target] = _Move(wanted, now_s + limit_s)

    def heard(
        self,
        reassignments: Mapping[str, tuple[int, int, float]],
        now_s: float,
    ) -> None:
        """Take the changes that the leader has ordered."""
        for target, (start, stop, left_s) in reassignments.items():
            self.ordered(target, LayerRange(start, stop), left_s, now_s)

    def forget(self, target: str) -> None:
        """Take that an engine changes nothing, or has done so."""
        self._moves.pop(target, None)

    def pending(self, now_s: float) -> dict[str, tuple[int, int, float]]:
        """Return the changes to tell others: layers and seconds left."""
        self._drop_old(now_s)
        return {
            target: (
                reassignment.wanted.start,
                reassignment.wanted.stop,
                round(reassignment.until_s - now_s, 1),
            )
            for target, reassignment in self._moves.items()
        }

    def usable_layers(
        self, entry: TargetEntry, now_s: float
    ) -> LayerRange | None:
        """Return the layers that an engine runs now; ``None`` for none."""
        reassignment = self._moves.get(entry.name)
        if reassignment is None or now_s >= reassignment.until_s:
            return entry.layers
        if entry.layers == reassignment.wanted:
            return entry.layers
        return common_layers(entry.layers, reassignment.wanted)

    def max_held_layers(self, entry: TargetEntry, now_s: float) -> int:
        """Return how many layers fill an engine's memory, at most."""
        held = 0 if entry.layers is None else len(entry.layers)
        reassignment = self._moves.get(entry.name)
        if reassignment is None or now_s >= reassignment.until_s:
            return held
        return max(held, len(reassignment.wanted))

    def _drop_old(self, now_s: float) -> None:
        self._moves = {
            target: reassignment
            for target, reassignment in self._moves.items()
            if now_s < reassignment.until_s
        }
