"""Metrics of the daemon, served on the operators' port."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aioprometheus

from nutmegspoke import outcomes

if TYPE_CHECKING:
    from nutmegspoke.application import Application

NAME = 'metrics'
_REQUEST_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1.2, 2.5, 5.0, 15.0, 60.0)
_TOKEN_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0)


class Metrics:
    """Counters, gauges and histograms of the daemon."""

    def __init__(self) -> None:
        """Register all metrics."""
        self.registry = aioprometheus.Registry()
        self._requests = self._counter(
            'nutmegspoke_requests_total',
            'Requests by route, outcome and reason.',
        )
        self._request_seconds = self._histogram(
            'nutmegspoke_request_seconds',
            'Time from a request to the end of its answer.',
            _REQUEST_BUCKETS_S,
        )
        self._first_token_seconds = self._histogram(
            'nutmegspoke_first_token_seconds',
            'Time from a request to its first token.',
            _REQUEST_BUCKETS_S,
        )
        self._token_gap_seconds = self._histogram(
            'nutmegspoke_token_gap_seconds',
            'Time between two tokens of an answer.',
            _TOKEN_BUCKETS_S,
        )
        self._revision = self._gauge(
            'nutmegspoke_revision',
            'Revision of the tables in force.',
        )
        self._in_flight = self._gauge(
            'nutmegspoke_in_flight_requests',
            'Requests in work.',
        )
        self._usable = self._gauge(
            'nutmegspoke_usable_targets',
            'Targets that may get new work.',
        )

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    def request_ended(
        self,
        route: str,
        outcome: outcomes.Outcome,
        duration_s: float,
    ) -> None:
        """Count an ended request and observe its duration."""
        labels = {
            'route': route,
            'outcome': type(outcome).__name__,
            'reason': _reason(outcome),
        }
        self._requests.inc(labels)
        self._request_seconds.observe({'route': route}, duration_s)

    def first_token(self, route: str, duration_s: float) -> None:
        """Observe the time from a request to its first token."""
        self._first_token_seconds.observe({'route': route}, duration_s)

    def token_gap(self, route: str, duration_s: float) -> None:
        """Observe the time between two tokens."""
        self._token_gap_seconds.observe({'route': route}, duration_s)

    def render(self, revision: int, in_flight: int, usable: int) -> bytes:
        """Return all metrics in the Prometheus text format.

        :param revision: revision of the tables in force.
        :param in_flight: number of requests in flight.
        :param usable: number of targets that may get new requests.
        """
        self._revision.set({}, revision)
        self._in_flight.set({}, in_flight)
        self._usable.set({}, usable)
        text, _ = aioprometheus.render(self.registry, ['text/plain'])
        return text

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(name, doc, registry=self.registry)

    def _histogram(
        self,
        name: str,
        doc: str,
        buckets_s: tuple[float, ...],
    ) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            name,
            doc,
            registry=self.registry,
            buckets=buckets_s,
        )


def _reason(outcome: outcomes.Outcome) -> str:
    match outcome:
        case outcomes.NotRun() | outcomes.Unknown():
            return outcome.reason.value
        case _:
            return ''


def setup(app: Application) -> None:
    """Register the metrics."""
    app.kernel.register(NAME, Metrics())
