"""Tickets of requests that ask to be admitted, and the answers to them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.outcomes import NotRun


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks to be admitted to a pool.

    :param request_id: id of the request, unique over all daemons.
    :param team: team of the caller.
    :param deadline_s: when it must be answered, on the daemon's clock.
    :param weight: share of the team under contention.
    :param max_in_flight: requests of the team in flight on this daemon;
        ``None`` for no limit.
    :param priority: a higher one of the same team is served first.
    :param cost: work of the request, such as tokens; at least 1.
    :param retry_key: digest by which a caller who comes back is known.
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
    """The request may start now."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request waits.

    :param ticket: its ticket.
    :param expected_wait_s: how long it is expected to wait.
    """

    ticket: Ticket
    expected_wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A request that waited is refused.

    :param ticket: its ticket.
    :param outcome: the final answer.
    """

    ticket: Ticket
    outcome: NotRun


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """What a daemon has to do now.

    :param started: tickets to start, in order.
    :param refused: tickets to answer with a refusal.
    """

    started: tuple[Ticket, ...]
    refused: tuple[Refused, ...]
