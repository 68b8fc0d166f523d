"""HTTP handlers for readiness and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.edge.caller_answer import Answer
    from nutmegspoke.edge.edge_metrics import EdgeMetrics
    from nutmegspoke.forwarded import CallerRequest

_OK = 200
_UNAVAILABLE = 503


class ReadyPage:
    """Readiness page for the balancer.

    :param is_ready: returns whether the daemon accepts new callers.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Create a page for a readiness check."""
        self._is_ready = is_ready

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answer with status 200 if the daemon is ready, otherwise 503."""
        await answer.send_complete(
            _OK if self._is_ready() else _UNAVAILABLE, [], b''
        )


class MetricsPage:
    """Page with all metrics."""

    def __init__(self, metrics: EdgeMetrics) -> None:
        """Create a page for the given metrics."""
        self._metrics = metrics

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answer with all metrics in the Prometheus text format."""
        headers = [(b'Content-Type', b'text/plain; version=0.0.4')]
        await answer.send_complete(_OK, headers, self._metrics.render())
