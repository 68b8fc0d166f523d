"""Reads the reports of all engines while this daemon leads, or nobody does."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from nutmegspoke.admission.draft_room import NO_PROMISE
from nutmegspoke.border.periodic import Periodic
from nutmegspoke.edge.lifelines import Lifelines
from nutmegspoke.membership.common_work import rank
from nutmegspoke.membership.engine_health import EngineState

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.view import View
    from nutmegspoke.engine_orders import EngineCalls
    from nutmegspoke.entry_host import TargetEntry

# Time in which a daemon that starts hears the others.
_LISTEN_S = 1.5
# An engine turns slow for seconds; a report costs as much as a health check.
_INTERVAL_S = 1.0
# Changes of pace that are worth a line of the log.
_CHANGE_FACTOR = 1.5
# Reports lag behind the promises; less than this is no unknown load.
_LEAST_UNKNOWN_SHARE = 0.1


class EnginePolls:
    """Reads how fast engines are, for all daemons.

    :param leads: tells whether this daemon reads for all.
    """

    def __init__(
        self,
        view: View,
        calls: EngineCalls,
        leads: Callable[[], bool],
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        """Prepare to read."""
        self._view = view
        self._calls = calls
        self._leads = leads
        self._log = log
        self._clock = clock
        self._started_s = clock.now_s()
        self._lifelines = Lifelines(view, self.reads_for_all, log, clock)
        self._periodic = Periodic('reports', _INTERVAL_S, self._read_all)

    async def start(self) -> None:
        """Begin to read, and to watch for engines that end."""
        self._periodic.start()
        await self._lifelines.start()

    async def stop(self) -> None:
        """Read and watch no more."""
        await self._periodic.stop()
        await self._lifelines.stop()

    def reads_for_all(self, now_s: float) -> bool:
        """Tell whether this daemon reads the reports that the others use.

        The leader does; while nobody leads, the first of those that are heard.
        """
        if self._leads():
            return True
        board = self._view.board
        if board.has_leader(now_s) or now_s - self._started_s < _LISTEN_S:
            return False
        return rank(self._view.host.name, board.live_daemons(now_s)) == 0

    async def _read_all(self) -> None:
        now_s = self._clock.now_s()
        if not self.reads_for_all(now_s):
            return
        engines = [
            entry
            for entry in self._view.targets.all()
            if entry.layers is not None
            and not self._view.faults.is_left_out(entry.name, now_s)
        ]
        promised = self._view.promised(now_s)
        await asyncio.gather(
            *(
                self._read(
                    entry,
                    promised.get(entry.name, NO_PROMISE).token_layers,
                )
                for entry in engines
            ),
        )

    async def _read(self, entry: TargetEntry, promised: float) -> None:
        """Read a report.

        :param promised: memory that daemons had promised when it was asked
            for, in tokens times layers.
        """
        report = await self._calls.report(entry.address)
        if report is None:
            return
        now_s = self._clock.now_s()
        unknown = report.used_token_layers - promised
        least = _LEAST_UNKNOWN_SHARE * report.total_token_layers
        state = EngineState(
            slowness=report.slowness,
            unknown_token_layers=unknown if unknown > least else 0.0,
        )
        before = self._view.reports.find_state(entry.name, now_s)
        self._view.reports.record_report(entry.name, state, now_s)
        if _is_news(before, state):
            self._log.decided(
                'engine_state',
                target=entry.name,
                slowness=report.slowness,
                unknown_token_layers=state.unknown_token_layers,
                used_token_layers=report.used_token_layers,
                promised_token_layers=promised,
                total_token_layers=report.total_token_layers,
            )


def _is_news(before: EngineState, state: EngineState) -> bool:
    """Tell whether a state differs enough for a line of the log."""
    factor = max(1.0, state.slowness) / before.slowness
    if factor > _CHANGE_FACTOR or factor < 1 / _CHANGE_FACTOR:
        return True
    had_unknown = before.unknown_token_layers > 0
    return had_unknown != (state.unknown_token_layers > 0)
