"""Match HTTP requests of callers with their route and pool."""

from __future__ import annotations

import dataclasses
import zlib
from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.border import completions
from nutmegspoke.border.bodies import read_body, read_named_model
from nutmegspoke.requests import CallRequest, DraftRequest
from nutmegspoke.tables.matching import match_route, path_is_routed

if TYPE_CHECKING:
    from sanic import Request

    from nutmegspoke.tables.rows import PoolRow, RouteRow, Tables

TEAM_HEADER = 'Nutmegspoke-Team'
KEY_HEADER = 'Idempotency-Key'
RESUME_HEADER = 'Last-Event-ID'
_NO_POOL_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Matched:
    """An HTTP request with its matching route and pool.

    :param request: the HTTP request with its body read.
    :param request_id: id of the request.
    :param team: team of the caller.
    :param route: matching row of the table of routes.
    :param pool: row of the pool that the route names.
    :param revision: revision of the tables used for the match.
    :param received_s: when the request was received.
    """

    request: Request
    request_id: str
    team: str
    route: RouteRow
    pool: PoolRow
    revision: int
    received_s: float

    def call_request(self) -> CallRequest:
        """Return the request as a call of a plain service."""
        path = self.request.path
        if self.request.query_string:
            path = f'{path}?{self.request.query_string}'
        return CallRequest(
            request_id=self.request_id,
            team=self.team,
            route=self.route,
            pool=self.pool,
            revision=self.revision,
            method=self.request.method,
            path=path,
            body=self.request.body,
            content_type=self.request.headers.get('Content-Type', ''),
            idempotency_key=self.request.headers.get(KEY_HEADER, ''),
            received_s=self.received_s,
            deadline_s=self.received_s + self.route.timeout_s,
        )

    def draft_request(self, call: completions.CompletionCall) -> DraftRequest:
        """Return the request as a draft.

        :param call: the validated body.
        """
        return DraftRequest(
            request_id=self.request_id,
            team=self.team,
            route=self.route,
            pool=self.pool,
            revision=self.revision,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            seed=_seed(call, self.request_id),
            received_s=self.received_s,
            deadline_s=self.received_s + self.route.timeout_s,
            resume_from=self.request.headers.get(RESUME_HEADER, ''),
        )


async def read_and_match(
    request: Request,
    request_id: str,
    tables: Tables,
    max_body_bytes: int,
    received_s: float,
) -> Matched | outcomes.NotRun:
    """Read the body of a request and find its route and pool.

    :param request: the HTTP request.
    :param request_id: id of the request.
    :param tables: the tables in force.
    :param max_body_bytes: size limit of bodies, for all routes.
    :param received_s: when the request was received.
    :returns: the request with its rows, or a refusal.
    """
    body = await read_body(request, max_body_bytes)
    if isinstance(body, outcomes.NotRun):
        return body
    request.body = body
    model = read_named_model(request)
    if isinstance(model, outcomes.NotRun):
        return model
    team = request.headers.get(TEAM_HEADER, '')
    route = match_route(tables, request.path, model, team)
    if route is None:
        return _no_route(tables, request.path, model)
    pool = tables.pool(route.pool)
    if pool is None:
        return _no_pool(route)
    refusal = _refusal(route, team, len(body))
    if refusal is not None:
        return refusal
    return Matched(
        request,
        request_id,
        team,
        route,
        pool,
        tables.revision,
        received_s,
    )


def _refusal(
    route: RouteRow,
    team: str,
    body_bytes: int,
) -> outcomes.NotRun | None:
    if route.teams and team not in {share.team for share in route.teams}:
        return outcomes.NotRun(
            outcomes.RefusalReason.UNKNOWN_TEAM,
            detail=f'team {team!r} has no share of route {route.name}',
        )
    if body_bytes > route.max_body_bytes:
        return outcomes.NotRun(
            outcomes.RefusalReason.BODY_TOO_LARGE,
            detail=f'the body has more than {route.max_body_bytes} bytes',
        )
    return None


def _no_pool(route: RouteRow) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.RefusalReason.NO_TARGET,
        _NO_POOL_RETRY_AFTER_S,
        f'route {route.name} names no known pool',
    )


def _no_route(tables: Tables, path: str, model: str) -> outcomes.NotRun:
    reason = outcomes.RefusalReason.NO_ROUTE
    if path_is_routed(tables, path):
        reason = outcomes.RefusalReason.UNKNOWN_MODEL
    detail = f'no route for path {path} model {model!r}'
    return outcomes.NotRun(reason, detail=detail)


def _seed(call: completions.CompletionCall, request_id: str) -> int:
    if call.seed is not None:
        return call.seed
    return zlib.crc32(request_id.encode())
