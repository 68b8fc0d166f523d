"""Counters and histograms of an entry host."""

from __future__ import annotations

import aioprometheus

_SECONDS = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0)


class EdgeMetrics:
    """Metrics of an entry host."""

    def __init__(self) -> None:
        """Create all metrics at zero."""
        self.registry = aioprometheus.Registry()
        self._requests = aioprometheus.Counter(
            'nutmegspoke_edge_requests_total',
            'Requests by route and outcome.',
            registry=self.registry,
        )
        self._seconds = aioprometheus.Histogram(
            'nutmegspoke_edge_request_seconds',
            'Time from a request to the end of its answer.',
            registry=self.registry,
            buckets=_SECONDS,
        )
        self._closed_connections = aioprometheus.Counter(
            'nutmegspoke_edge_caller_connections_closed_total',
            'Connections of callers by cause, and whether all was answered.',
            registry=self.registry,
        )
        self._tables_version = aioprometheus.Gauge(
            'nutmegspoke_edge_tables_version',
            "Version of the operator's tables in force; 0 without.",
            registry=self.registry,
        )
        self._daemons_heard = aioprometheus.Gauge(
            'nutmegspoke_edge_daemons_heard',
            'Other daemons with recent updates.',
            registry=self.registry,
        )
        self._target_limits = aioprometheus.Gauge(
            'nutmegspoke_edge_target_limits',
            'Targets that name a limit on requests of all hosts together.',
            registry=self.registry,
        )
        self._free_tokens = aioprometheus.Gauge(
            'nutmegspoke_edge_pool_free_tokens',
            'Free memory of the layer of a pool with the least, in tokens.',
            registry=self.registry,
        )
        self._used_shares = aioprometheus.Gauge(
            'nutmegspoke_edge_pool_narrowest_used',
            'Share of the memory of that layer that is reserved.',
            registry=self.registry,
        )
        self._feed_ages = aioprometheus.Gauge(
            'nutmegspoke_edge_feed_answer_age_seconds',
            'Time since a followed table was last known to be current.',
            registry=self.registry,
        )
        self._held_answers = aioprometheus.Gauge(
            'nutmegspoke_edge_held_answer_bytes',
            'Bytes of answers that are held until they are complete.',
            registry=self.registry,
        )
        self._refused_answers = aioprometheus.Gauge(
            'nutmegspoke_edge_refused_answers',
            'Answers so far that were too long to be held.',
            registry=self.registry,
        )
        self._open_callers = aioprometheus.Gauge(
            'nutmegspoke_edge_caller_connections',
            'Open connections of callers.',
            registry=self.registry,
        )
        self._held_requests = aioprometheus.Gauge(
            'nutmegspoke_edge_held_request_bytes',
            'Bytes of requests, and of answers that callers do not read.',
            registry=self.registry,
        )
        self._held_limit = aioprometheus.Gauge(
            'nutmegspoke_edge_held_request_limit_bytes',
            'Bytes that requests and unread answers may take now.',
            registry=self.registry,
        )
        self._hedges = aioprometheus.Counter(
            'nutmegspoke_edge_hedges_total',
            'Copies of slow requests by route: sent, won, lost, failed, or why '
            'withheld.',
            registry=self.registry,
        )
        self._copied_share = aioprometheus.Gauge(
            'nutmegspoke_edge_copied_share',
            'Copies as a share of the requests for a pool when one was sent.',
            registry=self.registry,
        )
        self._events = aioprometheus.Counter(
            'nutmegspoke_edge_events_total',
            'Decisions and changes of belief by kind.',
            registry=self.registry,
        )

    def count_closed_connection(self, cause: str, is_answered: bool) -> None:
        """Count a connection of a caller that has ended.

        :param cause: why it was closed.
        :param is_answered: whether all its requests were answered.
        """
        self._closed_connections.inc(
            {'cause': cause, 'answered': str(is_answered).lower()}
        )

    def count_request(
        self, route: str, outcome: str, duration_s: float
    ) -> None:
        """Count a request and observe its duration."""
        self._requests.inc({'route': route, 'outcome': outcome})
        self._seconds.observe({'route': route}, duration_s)

    def observe_tables(self, version: int) -> None:
        """Record the version of the tables in force."""
        self._tables_version.set({}, version)

    def observe_daemons(self, count: int) -> None:
        """Record the number of other daemons with recent updates."""
        self._daemons_heard.set({}, count)

    def observe_held_answers(self, held_bytes: int, refused_count: int) -> None:
        """Record what answers take that are held until they are complete."""
        self._held_answers.set({}, held_bytes)
        self._refused_answers.set({}, refused_count)

    def observe_callers(
        self, count: int, held_bytes: int, limit_bytes: int
    ) -> None:
        """Record the connections of callers and the memory that they take."""
        self._open_callers.set({}, count)
        self._held_requests.set({}, held_bytes)
        self._held_limit.set({}, limit_bytes)

    def observe_limits(self, count: int) -> None:
        """Record the number of targets that name a limit."""
        self._target_limits.set({}, count)

    def observe_room(
        self, pool: str, free_tokens: float, used_share: float
    ) -> None:
        """Record the room that whole chains of a pool can still use."""
        self._free_tokens.set({'pool': pool}, free_tokens)
        self._used_shares.set({'pool': pool}, used_share)

    def observe_feed_age(self, table: str, age_s: float) -> None:
        """Record the time since the store has confirmed a table."""
        self._feed_ages.set({'table': table}, age_s)

    def count_hedge(self, route: str, outcome: str) -> None:
        """Count what became of a copy of a slow request, or why there is none."""
        self._hedges.inc({'route': route, 'outcome': outcome})

    def observe_copied_share(self, pool: str, share: float) -> None:
        """Record the copies as a share of the requests for a pool."""
        self._copied_share.set({'pool': pool}, share)

    def count_event(self, kind: str) -> None:
        """Count a decision or a state change."""
        self._events.inc({'kind': kind})

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        text, _ = aioprometheus.render(self.registry, ['text/plain'])
        return text
