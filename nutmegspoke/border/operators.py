"""The operators' port: status, health and metrics."""

from __future__ import annotations

import hmac
import logging
from typing import TYPE_CHECKING

import msgspec
from sanic import HTTPResponse, Request

from nutmegspoke.border.inflight import NAME as INFLIGHT
from nutmegspoke.border.inflight import InFlight
from nutmegspoke.border.metrics import NAME as METRICS
from nutmegspoke.border.metrics import Metrics
from nutmegspoke.border.sanic_server import SanicServer, new_app
from nutmegspoke.border.settings import read_secret
from nutmegspoke.border.tables_watch import NAME as TABLES
from nutmegspoke.border.tables_watch import TablesWatch
from nutmegspoke.border.target_watch import NAME as TARGETS
from nutmegspoke.border.target_watch import TargetWatch

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from nutmegspoke.application import Application
    from nutmegspoke.targets import Target

    _Handler = Callable[[Request], Awaitable[HTTPResponse]]

logger = logging.getLogger(__name__)
NAME = 'operators'
_JSON = 'application/json'
_METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class TargetStatus(msgspec.Struct):
    """Status of one target, as sent to operators."""

    name: str
    pool: str
    availability_zone: str
    state: str
    layers: str
    in_flight: int


class Status(msgspec.Struct):
    """Status of the daemon, as sent to operators."""

    daemon: str
    availability_zone: str
    revision: int
    is_ready: bool
    is_stopping: bool
    in_flight: int
    targets: tuple[TargetStatus, ...]


class OperatorsPort:
    """Handlers of the operators' port."""

    def __init__(self, app: Application) -> None:
        """Look up the services and register the routes."""
        self._app = app
        self._tables = app.kernel.find(TABLES, TablesWatch)
        self._targets = app.kernel.find(TARGETS, TargetWatch)
        self._in_flight = app.kernel.find(INFLIGHT, InFlight)
        self._metrics = app.kernel.find(METRICS, Metrics)
        self._token = read_secret(app.settings.secrets.operators_token)
        sanic = new_app('nutmegspoke-operators')
        sanic.add_route(self._health, '/health')
        sanic.add_route(
            self._require_token(self._status), '/status', name='status'
        )
        sanic.add_route(
            self._require_token(self._serve_metrics),
            '/metrics',
            name='metrics',
        )
        self._server = SanicServer(
            sanic,
            str(app.settings.daemon.host_address),
            app.settings.daemon.operators_port,
        )

    async def start(self) -> None:
        """Start to listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop the server."""
        await self._server.stop()

    def _require_token(self, handler: _Handler) -> _Handler:
        async def handle_authorized(request: Request) -> HTTPResponse:
            received = request.headers.get('Authorization', '')
            expected = f'Bearer {self._token}'
            if not hmac.compare_digest(received.encode(), expected.encode()):
                logger.warning(
                    'operators: call refused path=%s peer=%s',
                    request.path,
                    request.ip,
                )
                return HTTPResponse(status=401)
            return await handler(request)

        return handle_authorized

    async def _health(self, request: Request) -> HTTPResponse:
        return HTTPResponse(status=200)

    async def _serve_metrics(self, request: Request) -> HTTPResponse:
        text = self._metrics.render(
            self._tables.current.revision,
            len(self._in_flight.request_ids),
            len(self._usable_targets()),
        )
        return HTTPResponse(text, content_type=_METRICS_TYPE)

    def _usable_targets(self) -> list[Target]:
        now_s = self._app.clock.now_s()
        return [
            target
            for pool in self._tables.current.pools
            for target in self._targets.usable(pool.name, now_s)
        ]

    async def _status(self, request: Request) -> HTTPResponse:
        targets = tuple(
            TargetStatus(
                target.name,
                target.pool,
                target.availability_zone,
                target.state,
                str(target.layers or ''),
                target.own_in_flight,
            )
            for target in self._usable_targets()
        )
        daemon = self._app.settings.daemon
        status = Status(
            daemon=daemon.name,
            availability_zone=daemon.availability_zone,
            revision=self._tables.current.revision,
            is_ready=self._tables.is_ready,
            is_stopping=self._in_flight.is_stopping,
            in_flight=len(self._in_flight.request_ids),
            targets=targets,
        )
        return HTTPResponse(msgspec.json.encode(status), content_type=_JSON)


def setup(app: Application) -> None:
    """Register the operators' port."""
    app.kernel.register(NAME, OperatorsPort(app))
