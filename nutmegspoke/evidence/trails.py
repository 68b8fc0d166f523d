"""Collects the events of each request until the request ends."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.evidence.records import Ending, RequestRecord, TimedEvent
from nutmegspoke.outcomes import (
    Executed,
    NotRun,
    Outcome,
    Unknown,
    executed,
)

if TYPE_CHECKING:
    from nutmegspoke.evidence.records import Event

MAX_EVENTS = 64
CALLER_GONE = 'caller_gone'


@dataclasses.dataclass(slots=True)
class _Trail:
    """The events of a request in progress."""

    received_s: float
    received_wall_s: float
    events: list[TimedEvent] = dataclasses.field(default_factory=list)
    dropped_events: int = 0


class Trails:
    """The audit trails of the requests in progress."""

    def __init__(self, daemon: str) -> None:
        """Create an empty collection.

        :param daemon: name of the daemon.
        """
        self._daemon = daemon
        self._trails: dict[str, _Trail] = {}

    def __len__(self) -> int:
        """Return the number of requests in progress."""
        return len(self._trails)

    def begin(self, request_id: str, now_s: float, wall_s: float) -> None:
        """Open the trail of a request.

        :param request_id: id of the request.
        :param now_s: current time.
        :param wall_s: current time in seconds since 1970, for display only.
        """
        self._trails[request_id] = _Trail(now_s, wall_s)

    def add_event(self, request_id: str, event: Event, now_s: float) -> None:
        """Add an event to an open trail.

        Ignored if the request has ended. Over the limit, only counted.
        """
        trail = self._trails.get(request_id)
        if trail is None:
            return
        if len(trail.events) >= MAX_EVENTS:
            trail.dropped_events += 1
            return
        trail.events.append(TimedEvent(now_s - trail.received_s, event))

    def end(
        self,
        request_id: str,
        outcome: Outcome,
        status: int,
        now_s: float,
    ) -> RequestRecord | None:
        """Close the trail of a request and return its record.

        :param request_id: id of the request.
        :param outcome: outcome of the request.
        :param status: HTTP status sent to the caller.
        :param now_s: current time.
        :returns: the record; ``None`` if the trail is not open.
        """
        return self._close(request_id, _build_ending(outcome, status), now_s)

    def abandon(self, request_id: str, now_s: float) -> RequestRecord | None:
        """Close the trail of a request whose caller has disconnected.

        :param request_id: id of the request.
        :param now_s: current time.
        :returns: the record; ``None`` if the trail is not open.
        """
        ending = Ending(Executed.UNKNOWN.value, CALLER_GONE)
        return self._close(request_id, ending, now_s)

    def _close(
        self,
        request_id: str,
        ending: Ending,
        now_s: float,
    ) -> RequestRecord | None:
        trail = self._trails.pop(request_id, None)
        if trail is None:
            return None
        return RequestRecord(
            request_id=request_id,
            daemon=self._daemon,
            received_wall_s=trail.received_wall_s,
            duration_s=now_s - trail.received_s,
            events=tuple(trail.events),
            ending=ending,
            dropped_events=trail.dropped_events,
        )


def _build_ending(outcome: Outcome, status: int) -> Ending:
    executed_value = executed(outcome).value
    if isinstance(outcome, NotRun | Unknown):
        return Ending(
            executed_value,
            outcome.reason.value,
            status,
            outcome.retry_after_s,
        )
    return Ending(executed_value, status=status, is_replayed=outcome.replayed)
