"""Admission tickets of requests: team, share, cost and retry key."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

import xxhash

from nutmegspoke.admission.tickets import Ticket
from nutmegspoke.border.router import work_tokens
from nutmegspoke.requests import DraftRequest

if TYPE_CHECKING:
    from nutmegspoke.requests import CallRequest
    from nutmegspoke.tables.rows import TeamShare

_CALL_COST = 1.0


class TeamLimits(Protocol):
    """Source of this daemon's shares of the limits of teams."""

    def share_of(self, team: str, limit: int, now_s: float) -> int:
        """Return how many requests of a team may be in flight here.

        :param team: name of the team in the queues, see :class:`TeamKey`.
        :param limit: limit of the team over all daemons.
        :param now_s: current time, in seconds.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class TeamKey:
    """Key by which the queues count the requests of a team.

    A team with a share in the row of a route is counted for that route; other
    teams are counted over all routes of a pool.

    :param team: name of the team.
    :param route: name of the route; empty for all routes.
    """

    team: str
    route: str = ''

    @classmethod
    def from_request(cls, request: DraftRequest | CallRequest) -> TeamKey:
        """Return the key under which a request is counted."""
        if _find_share(request) is None:
            return cls(request.team)
        return cls(request.team, request.route.name)

    @property
    def is_limited(self) -> bool:
        """Return whether the row of a route limits the team."""
        return bool(self.route)

    def __str__(self) -> str:
        """Return the name of the team in the queues."""
        return f'{self.route}/{self.team}' if self.route else self.team


class FullLimits:
    """Limits that are not divided among daemons."""

    def share_of(self, team: str, limit: int, now_s: float) -> int:
        """Return the whole limit of the team."""
        return limit


def new_ticket(
    request: DraftRequest | CallRequest,
    limits: TeamLimits,
    now_s: float,
) -> Ticket:
    """Return the ticket of a request.

    :param request: the request.
    :param limits: this daemon's share of the limits of teams.
    :param now_s: current time, in seconds.
    """
    share = _find_share(request)
    key = str(TeamKey.from_request(request))
    limit = None
    if share is not None:
        limit = limits.share_of(key, share.max_in_flight, now_s)
    return Ticket(
        request_id=request.request_id,
        team=key,
        deadline_s=request.deadline_s,
        weight=share.weight if share else 1.0,
        max_in_flight=limit,
        priority=request.route.priority,
        cost=_cost(request),
        retry_key=_retry_key(request),
    )


def _find_share(request: DraftRequest | CallRequest) -> TeamShare | None:
    return next(
        (each for each in request.route.teams if each.team == request.team),
        None,
    )


def _cost(request: DraftRequest | CallRequest) -> float:
    if isinstance(request, DraftRequest):
        return float(work_tokens(request))
    return _CALL_COST


def _retry_key(request: DraftRequest | CallRequest) -> str:
    """Return a digest that is the same when a caller sends a request again."""
    digest = xxhash.xxh64(request.route.name.encode())
    if isinstance(request, DraftRequest):
        digest.update(request.prompt.encode())
    else:
        digest.update(request.idempotency_key.encode())
        digest.update(request.path.encode())
        digest.update(request.body)
    return digest.hexdigest()
