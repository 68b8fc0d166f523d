"""State of the engines that only their own reports show."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Engines report about once per second. After some missed reports the last one
# is ignored.
_MAX_SLOWNESS_AGE_S = 4.0
_MAX_LOAD_AGE_S = 2.0
# A lower slowness is not reported to other daemons.
_MIN_REPORTED_SLOWNESS = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """State of an engine according to its report.

    :param slowness: time per step, relative to the usual one: 1 is normal,
        more is slower.
    :param unknown_token_layers: memory in use without a reservation by any
        daemon, such as for requests of daemons that were killed.
    """

    slowness: float
    unknown_token_layers: float


USUAL = EngineState(1.0, 0.0)


class EngineReports:
    """The last report of each engine, read by this daemon or by another one."""

    def __init__(self) -> None:
        """Start without reports."""
        self._states: dict[str, tuple[EngineState, float]] = {}

    def record_report(
        self, target: str, state: EngineState, now_s: float
    ) -> None:
        """Store the state that an engine reported to this daemon."""
        self._states[target] = (state, now_s)

    def receive(
        self,
        states: Mapping[str, tuple[float, float]],
        now_s: float,
    ) -> None:
        """Store the states received from the daemon that reads all reports.

        :param states: slowness and unknown token layers by engine.
        """
        for target, (slowness, unknown) in states.items():
            self._states[target] = (EngineState(slowness, unknown), now_s)

    def find_state(self, target: str, now_s: float) -> EngineState:
        """Return the state to assume for an engine now.

        Values that are missing or too old are replaced by the usual ones.
        """
        found = self._states.get(target)
        if found is None:
            return USUAL
        state, read_s = found
        age_s = now_s - read_s
        is_slowness_valid = age_s <= _MAX_SLOWNESS_AGE_S
        is_load_valid = age_s <= _MAX_LOAD_AGE_S
        return EngineState(
            max(1.0, state.slowness) if is_slowness_valid else 1.0,
            state.unknown_token_layers if is_load_valid else 0.0,
        )

    def find_unusual(self, now_s: float) -> dict[str, tuple[float, float]]:
        """Return the engines that are slow or have unknown memory in use.

        :returns: rounded slowness and unknown token layers by engine.
        """
        unusual: dict[str, tuple[float, float]] = {}
        for target in self._states:
            state = self.find_state(target, now_s)
            is_slow = state.slowness >= _MIN_REPORTED_SLOWNESS
            if is_slow or state.unknown_token_layers > 0:
                unusual[target] = (
                    round(state.slowness, 2),
                    round(state.unknown_token_layers),
                )
        return unusual
