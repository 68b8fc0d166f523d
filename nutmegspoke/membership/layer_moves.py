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


class LayerMoves:
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
        moves: Mapping[str, tuple[int, int, float]],
        now_s: float,
    ) -> None:
        """Take the changes that the leader has ordered."""
        for target, (start, stop, left_s) in moves.items():
            self.ordered(target, LayerRange(start, stop), left_s, now_s)

    def forget(self, target: str) -> None:
        """Take that an engine changes nothing, or has done so."""
        self._moves.pop(target, None)

    def under_way(self, now_s: float) -> dict[str, tuple[int, int, float]]:
        """Return the changes to tell others: layers and seconds left."""
        self._drop_old(now_s)
        return {
            target: (
                move.wanted.start,
                move.wanted.stop,
                round(move.until_s - now_s, 1),
            )
            for target, move in self._moves.items()
        }

    def usable(self, entry: TargetEntry, now_s: float) -> LayerRange | None:
        """Return the layers that an engine runs now; ``None`` for none."""
        move = self._moves.get(entry.name)
        if move is None or now_s >= move.until_s:
            return entry.layers
        if entry.layers == move.wanted:
            return entry.layers
        return common_layers(entry.layers, move.wanted)

    def held_count(self, entry: TargetEntry, now_s: float) -> int:
        """Return how many layers fill an engine's memory, at most."""
        held = 0 if entry.layers is None else len(entry.layers)
        move = self._moves.get(entry.name)
        if move is None or now_s >= move.until_s:
            return held
        return max(held, len(move.wanted))

    def _drop_old(self, now_s: float) -> None:
        self._moves = {
            target: move
            for target, move in self._moves.items()
            if now_s < move.until_s
        }
