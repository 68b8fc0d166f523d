"""Logs, at a bounded rate, how the limits that targets name are used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.edge.target_notices import find_demand
from nutmegspoke.membership.received_updates import requests_to_limited
from nutmegspoke.retries.target_limits import WINDOW_S

if TYPE_CHECKING:
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.edge_metrics import EdgeMetrics
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
