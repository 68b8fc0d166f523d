"""Callers' requests, validated and matched to a route and a pool."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.tables.rows import PoolRow, RouteRow


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequest:
    """A call of a service.

    :param request_id: id of the request, unique over all daemons.
    :param team: team of the caller.
    :param route: matched row of the route table.
    :param pool: row of the pool that the route names.
    :param revision: revision of the tables used for matching.
    :param method: HTTP method.
    :param path: path with its query.
    :param body: body in bytes.
    :param content_type: media type of the body.
    :param idempotency_key: idempotency key of the caller; empty if none.
    :param received_s: time of arrival, on the daemon's clock.
    :param deadline_s: time by which it must be answered, on the daemon's clock.
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
    """A draft: a streamed text-generation request.

    :param request_id: id of the request, unique over all daemons.
    :param team: team of the caller.
    :param route: matched row of the route table.
    :param pool: row of the pool that the route names.
    :param revision: revision of the tables used for matching.
    :param prompt: text to continue.
    :param max_tokens: number of tokens to generate.
    :param seed: seed of the sampling.
    :param received_s: time of arrival, on the daemon's clock.
    :param deadline_s: time by which it must be answered, on the daemon's clock.
    :param resume_from: signed id of the last event that the caller has received;
        empty if the request does not resume a stream.
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
