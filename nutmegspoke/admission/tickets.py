"""Tickets of requests for admission, and the decisions on them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.outcomes import NotRun


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Request for admission to a pool.

    :param request_id: id of the request, unique over all daemons.
    :param team: team of the caller.
    :param deadline_s: deadline of the answer on the daemon's clock, in seconds.
    :param weight: relative share of the team under contention.
    :param max_in_flight: requests of the team in flight on this daemon;
        ``None`` for no limit.
    :param priority: within a team, tickets with higher values are served first.
    :param cost: work of the request, such as tokens; at least 1.
    :param retry_key: digest by which a caller that retries is recognized.
    """

    request_id: str
    team: str
    deadline_s: float
    weight: float = 1.0
    max_in_flight: int | None = None
    priority: int = 0
    cost: float = 1.0
    retry_key: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """Decision that a request may start now."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """Decision that a request waits.

    :param ticket: ticket of the request.
    :param expected_wait_s: expected wait in seconds.
    """

    ticket: Ticket
    expected_wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Decision that a waiting request is refused.

    :param ticket: ticket of the request.
    :param outcome: final outcome of the request.
    """

    ticket: Ticket
    outcome: NotRun


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """Decisions for a daemon to carry out now.

    :param started: tickets to start, in order.
    :param refused: tickets to refuse, with their outcomes.
    """

    started: tuple[Ticket, ...]
    refused: tuple[Refused, ...]
