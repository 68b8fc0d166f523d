"""What the engines' reports say beyond what the daemons know themselves."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Reports come about each second; after some missed ones they are forgotten.
_PACE_BELIEVED_S = 4.0
_LOAD_BELIEVED_S = 2.0
# Smaller deviations from the usual pace are not told to others.
_LEAST_SLOWNESS = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """What a report says of an engine.

    :param slowness: 1 is the usual pace, more is slower.
    :param unknown_token_layers: memory in use that no daemon has promised,
        such as for requests of daemons that were killed.
    """

    slowness: float
    unknown_token_layers: float


USUAL = EngineState(1.0, 0.0)


class EngineReports:
    """The last report of each engine, read here or by the leader."""

    def __init__(self) -> None:
        """Start with the usual pace and no unknown load."""
        self._states: dict[str, tuple[EngineState, float]] = {}

    def record_report(
        self, target: str, state: EngineState, now_s: float
    ) -> None:
        """Take an engine's own report."""
        self._states[target] = (state, now_s)

    def heard(
        self,
        states: Mapping[str, tuple[float, float]],
        now_s: float,
    ) -> None:
        """Take what another daemon has read in reports."""
        for target, (slowness, unknown) in states.items():
            self._states[target] = (EngineState(slowness, unknown), now_s)

    def find_state(self, target: str, now_s: float) -> EngineState:
        """Return what is believed of an engine now."""
        found = self._states.get(target)
        if found is None:
            return USUAL
        state, read_s = found
        age_s = now_s - read_s
        is_paced = age_s <= _PACE_BELIEVED_S
        is_loaded = age_s <= _LOAD_BELIEVED_S
        return EngineState(
            max(1.0, state.slowness) if is_paced else 1.0,
            state.unknown_token_layers if is_loaded else 0.0,
        )

    def find_unusual(self, now_s: float) -> dict[str, tuple[float, float]]:
        """Return the engines that are slow or hold unknown requests."""
        told: dict[str, tuple[float, float]] = {}
        for target in self._states:
            state = self.find_state(target, now_s)
            is_slow = state.slowness >= _LEAST_SLOWNESS
            if is_slow or state.unknown_token_layers > 0:
                told[target] = (
                    round(state.slowness, 2),
                    round(state.unknown_token_layers),
                )
        return told
