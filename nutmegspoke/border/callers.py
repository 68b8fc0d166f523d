"""The callers' port: checks requests, routes them and answers."""

from __future__ import annotations

import logging
import zlib
from typing import TYPE_CHECKING

from sanic import HTTPResponse, Request, Sanic, exceptions

from nutmegspoke import outcomes
from nutmegspoke.border import completions, responses
from nutmegspoke.border.answers import StreamWriter, collect
from nutmegspoke.border.calls import NAME as CALLS
from nutmegspoke.border.calls import CallService
from nutmegspoke.border.drafts import NAME as DRAFTS
from nutmegspoke.border.drafts import DraftService
from nutmegspoke.border.inflight import NAME as INFLIGHT
from nutmegspoke.border.inflight import InFlight
from nutmegspoke.border.request_ids import new_request_id
from nutmegspoke.border.sanic_server import SanicServer, new_app
from nutmegspoke.border.tables_watch import NAME as TABLES
from nutmegspoke.border.tables_watch import TablesWatch
from nutmegspoke.requests import CallRequest, DraftRequest
from nutmegspoke.tables.matching import match_route, path_is_routed
from nutmegspoke.tables.rows import PoolKind

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.tables.rows import PoolRow, RouteRow

logger = logging.getLogger(__name__)
NAME = 'callers'
TEAM_HEADER = 'Nutmegspoke-Team'
KEY_HEADER = 'Idempotency-Key'
RESUME_HEADER = 'Last-Event-ID'
READY_PATH = '/.nutmegspoke/ready'
_METHODS = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS')
_DRAFT_PATHS = frozenset((completions.COMPLETIONS_PATH, completions.CHAT_PATH))
_NOT_READY_RETRY_AFTER_S = 2.0


class CallersPort:
    """Handlers of the callers' port."""

    def __init__(self, app: Application) -> None:
        """Find the services that requests need."""
        kernel = app.kernel
        self._clock = app.clock
        self._settings = app.settings
        self._tables = kernel.find(TABLES, TablesWatch)
        self._drafts = kernel.find(DRAFTS, DraftService)
        self._calls = kernel.find(CALLS, CallService)
        self._in_flight = kernel.find(INFLIGHT, InFlight)
        limits = app.settings.limits
        self._sanic = new_app(
            'nutmegspoke-callers',
            REQUEST_MAX_SIZE=limits.max_body_bytes,
            REQUEST_MAX_HEADER_SIZE=limits.max_header_bytes,
            KEEP_ALIVE_TIMEOUT=limits.connection_idle_s,
            RESPONSE_TIMEOUT=app.settings.stop.finish_limit_s,
        )
        _add_handlers(self._sanic, self)
        self._server = SanicServer(
            self._sanic,
            str(app.settings.daemon.host_address),
            app.settings.daemon.callers_port,
        )

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Listen no more."""
        await self._server.stop()

    async def ready(self, request: Request) -> HTTPResponse:
        """Tell the balancer whether to send requests here."""
        is_ready = self._tables.is_ready and not self._in_flight.is_stopping
        return HTTPResponse(status=200 if is_ready else 503)

    async def handle(self, request: Request) -> HTTPResponse | None:
        """Route one request."""
        request_id = new_request_id(
            self._settings.daemon.name,
            self._clock.wall_s(),
        )
        request.ctx.request_id = request_id
        with self._in_flight.counted(request_id):
            outcome = await self._serve(request, request_id)
        if outcome is None:
            return None
        return _response(outcome, request_id)

    async def _serve(
        self,
        request: Request,
        request_id: str,
    ) -> outcomes.Outcome | None:
        if not self._tables.is_ready:
            return outcomes.NotRun(
                outcomes.RefusalReason.NOT_READY,
                _NOT_READY_RETRY_AFTER_S,
                'no tables known yet',
            )
        matched = self._match(request)
        if isinstance(matched, outcomes.NotRun):
            logger.info(
                'callers: refused request=%s reason=%s path=%s',
                request_id,
                matched.reason,
                request.path,
            )
            return matched
        route, pool = matched
        logger.info(
            'callers: route matched request=%s route=%s pool=%s team=%s',
            request_id,
            route.name,
            pool.name,
            _team(request),
        )
        if pool.kind is PoolKind.SERVICE:
            call = self._call_request(request, request_id, route, pool)
            return await self._calls.call(call)
        return await self._draft(request, request_id, route, pool)

    def _match(
        self,
        request: Request,
    ) -> tuple[RouteRow, PoolRow] | outcomes.NotRun:
        tables = self._tables.current
        model = ''
        if request.path in _DRAFT_PATHS:
            model = completions.read_model(request.body)
        team = _team(request)
        route = match_route(tables, request.path, model, team)
        if route is None:
            reason = outcomes.RefusalReason.NO_ROUTE
            if path_is_routed(tables, request.path):
                reason = outcomes.RefusalReason.UNKNOWN_MODEL
            return outcomes.NotRun(
                reason,
                detail=f'no route for path {request.path} model {model!r}',
            )
        if route.teams and team not in {share.team for share in route.teams}:
            return outcomes.NotRun(
                outcomes.RefusalReason.UNKNOWN_TEAM,
                detail=f'team {team!r} has no share of route {route.name}',
            )
        if len(request.body) > route.max_body_bytes:
            return outcomes.NotRun(outcomes.RefusalReason.BODY_TOO_LARGE)
        pool = tables.pool(route.pool)
        if pool is None:
            return outcomes.NotRun(
                outcomes.RefusalReason.NO_TARGET,
                _NOT_READY_RETRY_AFTER_S,
                f'route {route.name} names no known pool',
            )
        return route, pool

    def _call_request(
        self,
        request: Request,
        request_id: str,
        route: RouteRow,
        pool: PoolRow,
    ) -> CallRequest:
        now_s = self._clock.now_s()
        path = request.path
        if request.query_string:
            path = f'{path}?{request.query_string}'
        return CallRequest(
            request_id=request_id,
            team=_team(request),
            route=route,
            pool=pool,
            revision=self._tables.current.revision,
            method=request.method,
            path=path,
            body=request.body,
            content_type=request.headers.get('Content-Type', ''),
            idempotency_key=request.headers.get(KEY_HEADER, ''),
            received_s=now_s,
            deadline_s=now_s + route.timeout_s,
        )

    async def _draft(
        self,
        request: Request,
        request_id: str,
        route: RouteRow,
        pool: PoolRow,
    ) -> outcomes.Outcome | None:
        if request.method != 'POST':
            return outcomes.NotRun(outcomes.RefusalReason.METHOD_NOT_ALLOWED)
        call = completions.read_call(
            request.body,
            is_chat=request.path == completions.CHAT_PATH,
        )
        if isinstance(call, outcomes.NotRun):
            return call
        now_s = self._clock.now_s()
        draft = DraftRequest(
            request_id=request_id,
            team=_team(request),
            route=route,
            pool=pool,
            revision=self._tables.current.revision,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            seed=_seed(call, request_id),
            received_s=now_s,
            deadline_s=now_s + route.timeout_s,
            resume_from=request.headers.get(RESUME_HEADER, ''),
        )
        stream = self._drafts.stream(draft)
        if call.is_streamed:
            writer = StreamWriter(
                request,
                call,
                request_id,
                self._settings.limits.caller_write_timeout_s,
            )
            return await writer.write(stream)
        return await collect(stream, call, request_id)


def _add_handlers(sanic: Sanic, port: CallersPort) -> None:
    sanic.add_route(port.ready, READY_PATH, methods=('GET', 'HEAD'))
    for path in ('/', '/<path:path>'):
        sanic.add_route(
            _without_arguments(port),
            path,
            methods=_METHODS,
            name=f'any{len(path)}',
        )
    sanic.error_handler.add(exceptions.SanicException, _library_error)


def _without_arguments(port: CallersPort):
    async def handler(request: Request, path: str = '') -> HTTPResponse | None:
        return await port.handle(request)

    return handler


def _library_error(
    request: Request,
    error: exceptions.SanicException,
) -> HTTPResponse:
    reason = outcomes.RefusalReason.BAD_REQUEST
    if isinstance(error, exceptions.PayloadTooLarge):
        reason = outcomes.RefusalReason.BODY_TOO_LARGE
    if isinstance(error, exceptions.MethodNotAllowed):
        reason = outcomes.RefusalReason.METHOD_NOT_ALLOWED
    logger.info('callers: refused reason=%s error=%s', reason, error)
    return _response(outcomes.NotRun(reason, detail=str(error)), '')


def _response(outcome: outcomes.Outcome, request_id: str) -> HTTPResponse:
    answer = responses.answer_of(outcome, request_id)
    return HTTPResponse(
        answer.body,
        status=answer.status,
        headers=answer.headers,
        content_type=answer.content_type,
    )


def _team(request: Request) -> str:
    return request.headers.get(TEAM_HEADER, '')


def _seed(call: completions.CompletionCall, request_id: str) -> int:
    if call.seed is not None:
        return call.seed
    return zlib.crc32(request_id.encode())


def setup(app: Application) -> None:
    """Register the callers' port."""
    app.kernel.register(NAME, CallersPort(app))
