"""The callers' port: validate requests, route them and send answers."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from sanic import HTTPResponse, Request, Sanic, exceptions

from nutmegspoke import outcomes
from nutmegspoke.border import (
    completions,
    evidence_context,
    evidence_log,
    responses,
)
from nutmegspoke.border.answers import (
    StreamWriter,
    TokenTimes,
    collect,
    measure_token_times,
)
from nutmegspoke.border.calls import NAME as CALLS
from nutmegspoke.border.calls import CallService
from nutmegspoke.border.drafts import NAME as DRAFTS
from nutmegspoke.border.drafts import DraftService
from nutmegspoke.border.inflight import NAME as INFLIGHT
from nutmegspoke.border.inflight import InFlight
from nutmegspoke.border.matching import Matched, read_and_match
from nutmegspoke.border.metrics import NAME as METRICS
from nutmegspoke.border.metrics import Metrics
from nutmegspoke.border.request_ids import new_request_id
from nutmegspoke.border.sanic_server import SanicServer, new_app
from nutmegspoke.border.tables_watch import NAME as TABLES
from nutmegspoke.border.tables_watch import TablesWatch
from nutmegspoke.tables.rows import PoolKind

if TYPE_CHECKING:
    from nutmegspoke.application import Application

logger = logging.getLogger(__name__)
NAME = 'callers'
READY_PATH = '/.nutmegspoke/ready'
_METHODS = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS')
HTTP_OK = 200
_NOT_READY_RETRY_AFTER_S = 2.0
_STOPPING_RETRY_AFTER_S = 1.0
_DRAINED_BODY_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _Served:
    """Result of a request.

    :param outcome: the outcome.
    :param route: name of the matched route; empty if none matched.
    :param is_sent: whether the response was already sent.
    """

    outcome: outcomes.Outcome
    route: str = ''
    is_sent: bool = False


class CallersPort:
    """Handlers of the callers' port."""

    def __init__(self, app: Application) -> None:
        """Look up the needed services and create the HTTP server."""
        kernel = app.kernel
        self._clock = app.clock
        self._settings = app.settings
        self._tables = kernel.find(TABLES, TablesWatch)
        self._drafts = kernel.find(DRAFTS, DraftService)
        self._calls = kernel.find(CALLS, CallService)
        self._in_flight = kernel.find(INFLIGHT, InFlight)
        self._metrics = kernel.find(METRICS, Metrics)
        self._evidence = kernel.find(
            evidence_log.NAME,
            evidence_log.EvidenceLog,
        )
        limits = app.settings.limits
        self._sanic = new_app(
            'nutmegspoke-callers',
            REQUEST_MAX_SIZE=_DRAINED_BODY_BYTES,
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
        """Start to listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop()

    async def ready(self, request: Request) -> HTTPResponse:
        """Answer the balancer's readiness check: 200 if ready, else 503."""
        is_ready = self._tables.is_ready and not self._in_flight.is_stopping
        return HTTPResponse(status=200 if is_ready else 503)

    async def handle(self, request: Request) -> HTTPResponse | None:
        """Serve one request.

        :returns: the response; ``None`` if it was already streamed.
        """
        request_id = self._new_request_id()
        request.ctx.request_id = request_id
        received_s = self._clock.now_s()
        with (
            self._in_flight.track(request_id),
            evidence_context.open_trail(self._evidence, request_id),
        ):
            served = await self._serve(request, request_id)
            self._evidence.end(
                request_id,
                served.outcome,
                HTTP_OK
                if served.is_sent
                else responses.status_of(served.outcome),
            )
        self._metrics.request_ended(
            served.route,
            served.outcome,
            self._clock.now_s() - received_s,
        )
        if served.is_sent:
            return None
        return _response(served.outcome, request_id)

    def refuse(
        self,
        request: Request,
        error: exceptions.SanicException,
    ) -> HTTPResponse:
        """Answer a request that the HTTP library rejects."""
        reason = _library_reason(error)
        request_id = self._new_request_id()
        logger.info(
            'callers: refused request=%s reason=%s error=%s',
            request_id,
            reason,
            error,
        )
        outcome = outcomes.NotRun(reason, detail=str(error))
        return _response(outcome, request_id)

    def _new_request_id(self) -> str:
        return new_request_id(
            self._settings.daemon.name,
            self._clock.wall_s(),
        )

    async def _serve(
        self,
        request: Request,
        request_id: str,
    ) -> _Served:
        if self._in_flight.is_refusing:
            return _Served(
                outcomes.NotRun(
                    outcomes.RefusalReason.STOPPING,
                    _STOPPING_RETRY_AFTER_S,
                    'this daemon is stopping',
                ),
            )
        if not await self._tables.confirm():
            return _Served(
                outcomes.NotRun(
                    outcomes.RefusalReason.NOT_READY,
                    _NOT_READY_RETRY_AFTER_S,
                    'the tables in force can not be confirmed now',
                ),
            )
        matched = await read_and_match(
            request,
            request_id,
            self._tables.current,
            self._settings.limits.max_body_bytes,
            self._clock.now_s(),
        )
        if isinstance(matched, outcomes.NotRun):
            logger.info(
                'callers: refused request=%s reason=%s path=%s',
                request_id,
                matched.reason,
                request.path,
            )
            return _Served(matched)
        return await self._serve_matched(matched)

    async def _serve_matched(self, matched: Matched) -> _Served:
        route = matched.route
        logger.info(
            'callers: route matched request=%s route=%s pool=%s team=%s',
            matched.request_id,
            route.name,
            matched.pool.name,
            matched.team,
        )
        evidence_context.note_matched(matched)
        if matched.pool.kind is PoolKind.SERVICE:
            outcome = await self._calls.call(matched.call_request())
            return _Served(outcome, route.name)
        call = completions.read_call(
            matched.request.body,
            is_chat=matched.request.path == completions.CHAT_PATH,
        )
        if isinstance(call, outcomes.NotRun):
            return _Served(call, route.name)
        return await self._serve_draft(matched, call)

    async def _serve_draft(
        self,
        matched: Matched,
        call: completions.CompletionCall,
    ) -> _Served:
        route = matched.route
        stream = measure_token_times(
            self._drafts.stream(matched.draft_request(call)),
            TokenTimes(self._metrics, self._clock, route.name),
            matched.received_s,
        )
        if not call.is_streamed:
            outcome = await collect(stream, call, matched.request_id)
            return _Served(outcome, route.name)
        writer = StreamWriter(
            matched.request,
            call,
            matched.request_id,
            self._settings.limits.caller_write_timeout_s,
        )
        outcome = await writer.write(stream)
        return _Served(outcome, route.name, is_sent=writer.has_begun)


def _add_handlers(sanic: Sanic, port: CallersPort) -> None:
    sanic.add_route(port.ready, READY_PATH, methods=('GET', 'HEAD'))
    for path in ('/', '/<path:path>'):
        sanic.add_route(
            _without_arguments(port),
            path,
            methods=_METHODS,
            name=f'any{len(path)}',
            stream=True,
        )
    sanic.error_handler.add(exceptions.SanicException, port.refuse)


def _without_arguments(port: CallersPort):
    async def handler(request: Request, path: str = '') -> HTTPResponse | None:
        return await port.handle(request)

    return handler


def _library_reason(error: exceptions.SanicException) -> outcomes.RefusalReason:
    match error:
        case exceptions.PayloadTooLarge():
            return outcomes.RefusalReason.HEADER_TOO_LARGE
        case exceptions.MethodNotAllowed():
            return outcomes.RefusalReason.METHOD_NOT_ALLOWED
        case _:
            return outcomes.RefusalReason.BAD_REQUEST


def _response(outcome: outcomes.Outcome, request_id: str) -> HTTPResponse:
    answer = responses.to_http_answer(outcome, request_id)
    return HTTPResponse(
        answer.body,
        status=answer.status,
        headers=answer.headers,
        content_type=answer.content_type,
    )


def setup(app: Application) -> None:
    """Register the callers' port."""
    app.kernel.register(NAME, CallersPort(app))
