"""Engines that the leader has ordered to hold other layers.

An engine drops layers at once but lists the change seconds later. Until then
it runs only the layers that it held before and will still hold afterwards.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.layers import LayerRange, common_layers

if TYPE_CHECKING:
    from collections.abc import Mapping

    from nutmegspoke.entry_host import TargetEntry


@dataclasses.dataclass(frozen=True, slots=True)
class _Reassignment:
    wanted: LayerRange
    deadline_s: float


class LayerReassignments:
    """Reassignments of layers that the engines have not listed yet."""

    def __init__(self) -> None:
        """Start without reassignments."""
        self._reassignments: dict[str, _Reassignment] = {}

    def record_order(
        self,
        target: str,
        wanted: LayerRange,
        timeout_s: float,
        now_s: float,
    ) -> None:
        """Record that an engine was ordered to hold other layers.

        :param target: name of the engine.
        :param wanted: layers that it is to hold.
        :param timeout_s: time after which the order is assumed to be lost if
            the engine does not list the layers.
        """
        self._reassignments[target] = _Reassignment(wanted, now_s + timeout_s)

    def receive(
        self,
        reassignments: Mapping[str, tuple[int, int, float]],
        now_s: float,
    ) -> None:
        """Record the reassignments received from the leader.

        :param reassignments: first layer, stop layer and seconds left, by
            engine.
        """
        for target, (start, stop, left_s) in reassignments.items():
            self.record_order(target, LayerRange(start, stop), left_s, now_s)

    def forget(self, target: str) -> None:
        """Remove a reassignment that was refused or is complete."""
        self._reassignments.pop(target, None)

    def pending(self, now_s: float) -> dict[str, tuple[int, int, float]]:
        """Return the reassignments to send to other daemons.

        :returns: first layer, stop layer and seconds left, by engine.
        """
        self._drop_expired(now_s)
        return {
            target: (
                reassignment.wanted.start,
                reassignment.wanted.stop,
                round(reassignment.deadline_s - now_s, 1),
            )
            for target, reassignment in self._reassignments.items()
        }

    def usable_layers(
        self, entry: TargetEntry, now_s: float
    ) -> LayerRange | None:
        """Return the layers that an engine can run now; ``None`` for none."""
        reassignment = self._reassignments.get(entry.name)
        if reassignment is None or now_s >= reassignment.deadline_s:
            return entry.layers
        if entry.layers == reassignment.wanted:
            return entry.layers
        return common_layers(entry.layers, reassignment.wanted)

    def max_held_layers(self, entry: TargetEntry, now_s: float) -> int:
        """Return the largest number of layers that an engine may hold now.

        During a reassignment that is the larger of the old and the new range.
        """
        held = 0 if entry.layers is None else len(entry.layers)
        reassignment = self._reassignments.get(entry.name)
        if reassignment is None or now_s >= reassignment.deadline_s:
            return held
        return max(held, len(reassignment.wanted))

    def _drop_expired(self, now_s: float) -> None:
        self._reassignments = {
            target: reassignment
            for target, reassignment in self._reassignments.items()
            if now_s < reassignment.deadline_s
        }
