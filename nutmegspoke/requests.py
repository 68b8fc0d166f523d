"""Requests of callers, validated and matched to their rows."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.tables.rows import PoolRow, RouteRow


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequest:
    """A call for a plain service.

    :param request_id: id of the request, unique over all daemons.
    :param team: team of the caller.
    :param route: matched row of the table of routes.
    :param pool: row of the pool that the route names.
    :param revision: revision of the tables that matched it.
    :param method: HTTP method.
    :param path: path with its query.
    :param body: body in bytes.
    :param content_type: media type of the body.
    :param idempotency_key: key of the caller; empty if none.
    :param received_s: when the request came, on the daemon's clock.
    :param deadline_s: when it must be answered, on the daemon's clock.
    """

    request_id: str
    team: str
    route: RouteRow
    pool: PoolRow
    revision: int
    method: str
    path: str
    body: bytes
    content_type: str
    idempotency_key: str
    received_s: float
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DraftRequest:
    """A request for a model.

    :param request_id: id of the request, unique over all daemons.
    :param team: team of the caller.
    :param route: matched row of the table of routes.
    :param pool: row of the pool that the route names.
    :param revision: revision of the tables that matched it.
    :param prompt: text to continue.
    :param max_tokens: number of tokens to generate.
    :param seed: seed of the sampling.
    :param received_s: when the request came, on the daemon's clock.
    :param deadline_s: when it must be answered, on the daemon's clock.
    :param resume_from: signed id of the last event that the caller has.
    """

    request_id: str
    team: str
    route: RouteRow
    pool: PoolRow
    revision: int
    prompt: str
    max_tokens: int
    seed: int
    received_s: float
    deadline_s: float
    resume_from: str = ''
