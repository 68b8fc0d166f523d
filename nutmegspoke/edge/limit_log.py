"""Logs, at a bounded rate, how limits on targets and callers are used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.edge.room_log import RoomLog
from nutmegspoke.edge.target_notices import find_demand
from nutmegspoke.membership.received_updates import requests_to_limited
from nutmegspoke.retries.target_limits import WINDOW_S

if TYPE_CHECKING:
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.edge_metrics import EdgeMetrics
    from nutmegspoke.edge.http_server import ConnectionSet
    from nutmegspoke.edge.view import View


class LimitLog:
    """Log of the limits in force, once in each window of theirs."""

    def __init__(
        self, view: View, metrics: EdgeMetrics, log: DecisionLog
    ) -> None:
        """Create a log of the limits in a view."""
        self._view = view
        self._metrics = metrics
        self._log = log
        self._logged_s = float('-inf')

    def tick(self, now_s: float) -> None:
        """Log all limits if the last time is long enough ago."""
        uses = self._view.conditions.limits.uses(now_s)
        self._metrics.observe_limits(len(uses))
        if now_s - self._logged_s < WINDOW_S or not uses:
            return
        self._logged_s = now_s
        others = requests_to_limited(self._view.load_updates.others(now_s))
        for target, use in uses.items():
            entry = self._view.targets.find(target)
            if entry is None:
                continue
            demand = find_demand(self._view, entry.pool, now_s)
            self._log.decided(
                'target_limit_used',
                target=target,
                limit_per_s=use.limit_per_s,
                known_s=round(now_s - use.since_s, 2),
                answer_age_s=round(now_s - use.answered_s, 2),
                sent_here=use.sent_count,
                sent_elsewhere=others.get(target, 0),
                requests_per_s=round(demand.requests_per_s, 2),
                hosts_unheard=demand.unheard_hosts,
            )


class CallerLog:
    """Log and metrics of the memory and places that callers take.

    Connections that were closed for others are logged together, at most once
    for each tick.
    """

    def __init__(
        self, callers: ConnectionSet, metrics: EdgeMetrics, log: DecisionLog
    ) -> None:
        """Create a log of the connections of callers."""
        self._callers = callers
        self._metrics = metrics
        self._log = log
        self._logged_rejections = 0
        self._logged_closings = (0, 0)

    def tick(self) -> None:
        """Give back memory that answers need, and log what has changed."""
        callers = self._callers
        callers.shed_excess()
        memory = callers.memory
        self._metrics.observe_callers(
            len(callers.open), memory.held_bytes, memory.limit_bytes
        )
        self._log_rejections()
        closings = (memory.shed_count, callers.stalled_count)
        if closings != self._logged_closings:
            self._logged_closings = closings
            self._log.decided(
                'callers_gave_way',
                memory=memory.shed_count,
                stalled=callers.stalled_count,
                held_bytes=memory.held_bytes,
                limit_bytes=memory.limit_bytes,
                open=len(callers.open),
                limit=callers.max_open,
            )

    def _log_rejections(self) -> None:
        count = self._callers.rejected_count
        if count != self._logged_rejections:
            self._logged_rejections = count
            self._log.decided(
                'callers_turned_away',
                count=count,
                open=len(self._callers.open),
                limit=self._callers.max_open,
            )


class LoadLogs:
    """All logs of the load, written at bounded rates."""

    def __init__(
        self, view: View, metrics: EdgeMetrics, log: DecisionLog
    ) -> None:
        """Create the logs of a view."""
        self._logs = (LimitLog(view, metrics, log), RoomLog(view, metrics, log))

    def tick(self, now_s: float) -> None:
        """Write what is due."""
        for each in self._logs:
            each.tick(now_s)
