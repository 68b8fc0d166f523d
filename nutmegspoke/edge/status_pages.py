"""Readiness for the balancer, and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.edge.edge_metrics import EdgeMetrics
    from nutmegspoke.edge.http_server import Answer
    from nutmegspoke.forwarded import CallerRequest

_OK = 200
_UNAVAILABLE = 503


class ReadyPage:
    """Says whether the daemon takes new connections.

    :param is_ready: tells it now.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Ask this function."""
        self._is_ready = is_ready

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answer the balancer."""
        await answer.whole(_OK if self._is_ready() else _UNAVAILABLE, [], b'')


class MetricsPage:
    """Shows the metrics."""

    def __init__(self, metrics: EdgeMetrics) -> None:
        """Show these metrics."""
        self._metrics = metrics

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answer with all metrics in the text form."""
        headers = [(b'Content-Type', b'text/plain; version=0.0.4')]
        await answer.whole(_OK, headers, self._metrics.show())
