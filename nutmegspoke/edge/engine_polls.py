"""Polls the reports of all engines on behalf of all daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from nutmegspoke.admission.draft_room import NO_RESERVATION
from nutmegspoke.border.periodic import Periodic
from nutmegspoke.edge.lifelines import LivenessConnections
from nutmegspoke.edge.target_notices import record_departure
from nutmegspoke.membership.common_work import rank
from nutmegspoke.membership.engine_health import EngineState

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.view import View
    from nutmegspoke.engine_orders import EngineCalls
    from nutmegspoke.entry_host import TargetEntry

# Time after which a starting daemon has received updates from the others.
_STARTUP_LISTEN_S = 1.5
# Engines are slow for seconds at a time; a report costs as much as a health
# check.
_INTERVAL_S = 1.0
# Changes of slowness by more than this factor are logged.
_LOGGED_CHANGE_FACTOR = 1.5
# Reports lag behind reservations; a smaller difference is not unknown load.
_MIN_UNKNOWN_SHARE = 0.1


class EnginePolls:
    """Poller of engine reports, active on one daemon at a time.

    :param is_leader: returns whether this daemon is the leader.
    """

    def __init__(
        self,
        view: View,
        calls: EngineCalls,
        is_leader: Callable[[], bool],
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        """Create a poller that is not started yet."""
        self._view = view
        self._calls = calls
        self._is_leader = is_leader
        self._log = log
        self._clock = clock
        self._started_s = clock.now_s()
        self._liveness = LivenessConnections(
            view, self.is_report_reader, log, clock
        )
        self._periodic = Periodic('reports', _INTERVAL_S, self._read_all)

    async def start(self) -> None:
        """Start to poll engines and to open liveness connections."""
        self._periodic.start()
        await self._liveness.start()

    async def stop(self) -> None:
        """Stop polling and close the liveness connections."""
        await self._periodic.stop()
        await self._liveness.stop()

    def is_report_reader(self, now_s: float) -> bool:
        """Return whether this daemon polls the reports for all daemons.

        The leader does. Without a leader, the first of the daemons whose
        updates are received does.
        """
        if self._is_leader():
            return True
        load_updates = self._view.load_updates
        if (
            load_updates.has_leader(now_s)
            or now_s - self._started_s < _STARTUP_LISTEN_S
        ):
            return False
        return rank(self._view.host.name, load_updates.live_hosts(now_s)) == 0

    async def _read_all(self) -> None:
        now_s = self._clock.now_s()
        if not self.is_report_reader(now_s):
            return
        engines = [
            entry
            for entry in self._view.targets.all()
            if entry.layers is not None
            and not self._view.faults.is_left_out(entry.name, now_s)
            and not self._view.conditions.pauses.is_paused(entry.name, now_s)
            and self._view.conditions.limits.may_poll(entry.name, now_s)
        ]
        reserved = self._view.total_reservations(now_s)
        await asyncio.gather(
            *(
                self._read(
                    entry,
                    reserved.get(entry.name, NO_RESERVATION).token_layers,
                )
                for entry in engines
            ),
        )

    async def _read(
        self, entry: TargetEntry, reserved_token_layers: float
    ) -> None:
        """Read the report of an engine and record its state.

        :param reserved_token_layers: memory that daemons had reserved on the
            engine before the report, in tokens times layers.
        """
        self._view.conditions.limits.polled(entry.name, self._clock.now_s())
        report = await self._calls.report(entry.address)
        if report is None:
            return
        if report.is_leaving:
            record_departure(self._view, self._log, entry, request_id='')
        now_s = self._clock.now_s()
        unknown = report.used_token_layers - reserved_token_layers
        min_unknown = _MIN_UNKNOWN_SHARE * report.total_token_layers
        state = EngineState(
            slowness=report.slowness,
            unknown_token_layers=unknown if unknown > min_unknown else 0.0,
        )
        previous = self._view.reports.find_state(entry.name, now_s)
        self._view.reports.record_report(entry.name, state, now_s)
        if _is_significant(previous, state):
            self._log.decided(
                'engine_state',
                target=entry.name,
                slowness=report.slowness,
                unknown_token_layers=state.unknown_token_layers,
                used_token_layers=report.used_token_layers,
                promised_token_layers=reserved_token_layers,
                total_token_layers=report.total_token_layers,
            )


def _is_significant(previous: EngineState, state: EngineState) -> bool:
    """Return whether a state differs enough from the previous to be logged."""
    factor = max(1.0, state.slowness) / previous.slowness
    if factor > _LOGGED_CHANGE_FACTOR or factor < 1 / _LOGGED_CHANGE_FACTOR:
        return True
    had_unknown = previous.unknown_token_layers > 0
    return had_unknown != (state.unknown_token_layers > 0)
