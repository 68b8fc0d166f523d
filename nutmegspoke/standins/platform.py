"""Stand-in of the platform: table service, object store, host list, weights."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec
import typer
from aiohttp import web

from nutmegspoke.standins import faults, platform_state, serving

if TYPE_CHECKING:
    from collections.abc import Callable

_MSGPACK = 'application/msgpack'
_WEIGHT_LOAD_INTERVAL_S = 0.2
_encode = msgspec.msgpack.encode


class Platform:
    """HTTP handlers of the platform's four services."""

    def __init__(self, clock_s: Callable[[], float]) -> None:
        """Create an empty platform.

        :param clock_s: returns monotonic seconds.
        """
        self._clock_s = clock_s
        self._tables = platform_state.TableState()
        self._objects: dict[str, bytes] = {}
        self._hosts: dict[str, platform_state.WireHost] = {}
        self._listed_hosts: bytes = _encode([])
        self._weights = platform_state.WeightLimiter(_WEIGHT_LOAD_INTERVAL_S)
        self.fault_injector = faults.FaultInjector()

    def app(self) -> web.Application:
        """Return the HTTP application of the platform's port."""
        app = web.Application(
            middlewares=[faults.fault_middleware(self.fault_injector)],
            client_max_size=64 * 1024 * 1024,
        )
        app.router.add_get('/tables/row', self._read_row)
        app.router.add_get('/tables/rows', self._scan_rows)
        app.router.add_post('/tables/commit', self._commit)
        app.router.add_get('/tables/counts', self._read_counts)
        app.router.add_put('/objects/{name:.+}', self._put_object)
        app.router.add_get('/objects/{name:.+}', self._get_object)
        app.router.add_get('/objects', self._list_objects)
        app.router.add_get('/hosts', self._list_hosts)
        app.router.add_put('/hosts', self._put_host)
        app.router.add_delete('/hosts/{name}', self._delete_host)
        app.router.add_post('/weights/reserve', self._reserve)
        return app

    async def _read_row(self, request: web.Request) -> web.Response:
        row = self._tables.read(request.query['key'])
        return _respond(row)

    async def _scan_rows(self, request: web.Request) -> web.Response:
        return _respond(self._tables.scan(request.query['prefix']))

    async def _commit(self, request: web.Request) -> web.Response:
        transaction = msgspec.msgpack.decode(
            await request.read(),
            type=platform_state.WireTransaction,
        )
        return _respond(self._tables.commit(transaction))

    async def _read_counts(self, request: web.Request) -> web.Response:
        counts = {
            'reads': self._tables.read_count,
            'commits': self._tables.commit_count,
            'rows': len(self._tables.rows),
        }
        return web.json_response(counts)

    async def _put_object(self, request: web.Request) -> web.Response:
        self._objects[request.match_info['name']] = await request.read()
        return web.Response(status=204)

    async def _get_object(self, request: web.Request) -> web.Response:
        body = self._objects.get(request.match_info['name'])
        if body is None:
            return web.Response(status=404)
        return web.Response(body=body)

    async def _list_objects(self, request: web.Request) -> web.Response:
        prefix = request.query.get('prefix', '')
        names = sorted(
            name for name in self._objects if name.startswith(prefix)
        )
        return _respond(names)

    async def _list_hosts(self, request: web.Request) -> web.Response:
        if self.fault_injector.peek('lag') is None:
            self._listed_hosts = _encode(list(self._hosts.values()))
        return web.Response(body=self._listed_hosts, content_type=_MSGPACK)

    async def _put_host(self, request: web.Request) -> web.Response:
        host = msgspec.json.decode(
            await request.read(),
            type=platform_state.WireHost,
        )
        self._hosts[host.name] = host
        return web.Response(status=204)

    async def _delete_host(self, request: web.Request) -> web.Response:
        self._hosts.pop(request.match_info['name'], None)
        return web.Response(status=204)

    async def _reserve(self, request: web.Request) -> web.Response:
        wait_s = self._weights.reserve(self._clock_s())
        return web.json_response({'wait_s': wait_s})


def _respond(message: object) -> web.Response:
    return web.Response(body=_encode(message), content_type=_MSGPACK)


def main(port: int, control_port: int) -> None:
    """Run the platform stand-in.

    :param port: port of the four services.
    :param control_port: port that receives fault orders.
    """
    platform = Platform(time.monotonic)
    ports = (
        (platform.app(), port),
        (faults.control_app(platform.fault_injector), control_port),
    )
    asyncio.run(serving.serve(ports))


if __name__ == '__main__':
    typer.run(main)
