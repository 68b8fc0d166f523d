"""Reads the reports of all engines while this daemon leads."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from nutmegspoke.border.periodic import Periodic

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.view import View
    from nutmegspoke.engine_orders import EngineCalls
    from nutmegspoke.entry_host import TargetEntry

# An engine turns slow for seconds; a report costs as much as a health check.
_INTERVAL_S = 1.0
# Changes of pace that are worth a line of the log.
_CHANGE_FACTOR = 1.5


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
        self._periodic = Periodic('reports', _INTERVAL_S, self._read_all)

    async def start(self) -> None:
        """Begin to read."""
        self._periodic.start()

    async def stop(self) -> None:
        """Read no more."""
        await self._periodic.stop()

    async def _read_all(self) -> None:
        if not self._leads():
            return
        now_s = self._clock.now_s()
        engines = [
            entry
            for entry in self._view.targets.all()
            if entry.layers is not None
            and not self._view.faults.is_left_out(entry.name, now_s)
        ]
        await asyncio.gather(*(self._read(entry) for entry in engines))

    async def _read(self, entry: TargetEntry) -> None:
        report = await self._calls.report(entry.address)
        if report is None:
            return
        now_s = self._clock.now_s()
        before = self._view.paces.of(entry.name, now_s)
        self._view.paces.reported(entry.name, report.slowness, now_s)
        factor = max(1.0, report.slowness) / before
        if factor > _CHANGE_FACTOR or factor < 1 / _CHANGE_FACTOR:
            self._log.decided(
                'engine_pace',
                target=entry.name,
                slowness=report.slowness,
                before=before,
                used_token_layers=report.used_token_layers,
                promised_fill=round(self._view.fill_of(entry.name, now_s), 3),
                total_token_layers=report.total_token_layers,
            )
