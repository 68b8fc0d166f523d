"""Plays of requests in progress while the tables and the targets change."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
from typing import TYPE_CHECKING, Any

from nutmegspoke.border.clock import SystemClock
from tests import builders_edge as build
from tests.edge.world import WAIT_S, Deployment

if TYPE_CHECKING:
    from collections.abc import Callable

_ENGINES = {'x1': (0, 40), 'x2': (0, 40), 'y1': (40, 80)}
TARGETS = (*_ENGINES, 'r1', 'r2')
PATHS = ('/drafts/1', '/calls/1', '/reads/1')
METHODS = ('POST', 'GET', 'PUT', 'DELETE', 'PROPFIND')
FAULTS = ('silent', 'stall', 'break', 'refuse', 'lose')
_BODY = b'x' * 400

# Changes of the headers of a request; ``None`` removes one.
ODD_HEADERS: tuple[dict[str, str | None], ...] = (
    {},
    {'Host': None},
    {'Host': ''},
    {'Key': None},
    {'Key': '\xff'},
    {'Deadline-Ms': '-1'},
    {'Deadline-Ms': 'nan'},
    {'Token-Counts': '9' * 5_000 + ',1'},
    {'Token-Counts': '9' * 400 + ',' + '9' * 400},
    {'Token-Counts': '700,0', 'Length-Hint': 'inf'},
    {'Token-Counts': ','},
    {'Last-Event-Id': '\xb2'},
    {'Last-Event-Id': '9' * 5_000},
    {'X-Odd': ''},
)


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """What a caller received on the connection of one request.

    :param request_id: id of the request.
    :param received: all bytes until the end of the connection.
    """

    request_id: str
    received: bytes

    @property
    def has_head(self) -> bool:
        """Return whether a whole head was received."""
        return b'\r\n\r\n' in self.received

    @property
    def is_one_answer(self) -> bool:
        """Return whether exactly one complete answer was received."""
        head, _, body = self.received.partition(b'\r\n\r\n')
        fields = dict(
            line.lower().split(b': ', 1) for line in head.split(b'\r\n')[1:]
        )
        if b'content-length' in fields:
            return len(body) == int(fields[b'content-length'])
        return _is_one_chunked_body(body)


def _is_one_chunked_body(body: bytes) -> bool:
    while body:
        size_text, _, body = body.partition(b'\r\n')
        size = int(size_text, 16)
        if not size:
            return body == b'\r\n'
        body = body[size + 2 :]
    return False


def tables_document() -> dict[str, Any]:
    """Return the tables with routes of drafts, of calls and of reads."""
    document = json.loads(build.wire_configuration(weights=(1, 0)))
    reads = {
        **document['routes'][1],
        'name': 'r-3',
        'prefix': '/reads/',
        'route_kind': 'idempotent',
        'max_attempts': 2,
    }
    document['routes'].append(reads)
    return document


def _remove_services(document: dict[str, Any]) -> None:
    document['services'] = []


def _remove_engines(document: dict[str, Any]) -> None:
    document['services'] = [build.wire_plain_service('records')]


def _remove_records(document: dict[str, Any]) -> None:
    document['services'] = [build.wire_engine_service()]


def _rename_services(document: dict[str, Any]) -> None:
    for service in document['services']:
        service['name'] += '-2'
    _move_routes(document, 'records-2')


def _drop_profile(document: dict[str, Any]) -> None:
    document['services'][0].pop('engine')


def _give_records_a_profile(document: dict[str, Any]) -> None:
    document['services'][1] = {
        **build.wire_engine_service(),
        'name': 'records',
    }


def _remove_layers(document: dict[str, Any]) -> None:
    document['services'][0] = build.wire_engine_service(layers=40)


def _add_layers(document: dict[str, Any]) -> None:
    document['services'][0] = build.wire_engine_service(layers=120)


def _remove_kinds(document: dict[str, Any]) -> None:
    document['services'][0]['engine']['kinds'][0]['name'] = 'other'


def _remove_teams(document: dict[str, Any]) -> None:
    document['tenants'] = None


def _remove_keys(document: dict[str, Any]) -> None:
    document['tenants'] = []


def _move_to_unknown_pool(document: dict[str, Any]) -> None:
    _move_routes(document, 'unknown')


def _move_to_engines(document: dict[str, Any]) -> None:
    _move_routes(document, 'engines')


def _move_to_records(document: dict[str, Any]) -> None:
    _move_routes(document, 'records')


def _move_routes(document: dict[str, Any], service: str) -> None:
    for route in document['routes']:
        route.update(service=service, split=None)


def _remove_routes(document: dict[str, Any]) -> None:
    document['routes'] = []


def _shorten_timeouts(document: dict[str, Any]) -> None:
    for route in document['routes']:
        route.update(timeout_ms=50, goal_ms=1, max_attempts=1)


def _shrink_limits(document: dict[str, Any]) -> None:
    document['limits'] = {
        'max_header_bytes': 50,
        'max_body_bytes': 10,
        'idle_timeout_ms': 100,
    }


def _grow_limits(document: dict[str, Any]) -> None:
    document['limits'] = {
        'max_header_bytes': 60_000,
        'max_body_bytes': 10**7,
        'idle_timeout_ms': 60_000,
    }


def _restore(document: dict[str, Any]) -> None:
    """Change nothing."""


CHANGES: tuple[Callable[[dict[str, Any]], None], ...] = (
    _remove_engines,
    _remove_services,
    _remove_records,
    _rename_services,
    _drop_profile,
    _give_records_a_profile,
    _remove_layers,
    _add_layers,
    _remove_kinds,
    _remove_teams,
    _remove_keys,
    _move_to_unknown_pool,
    _move_to_engines,
    _move_to_records,
    _remove_routes,
    _shorten_timeouts,
    _shrink_limits,
    _grow_limits,
    _restore,
)


class Play:
    """A deployment with requests in progress, each on its own connection."""

    def __init__(self) -> None:
        """Create a play whose deployment is not started."""
        self.deployment = Deployment()
        self._version = 7
        self._number = 0
        self._answers: list[asyncio.Task[Answered]] = []
        self._may_finish: list[asyncio.Event] = []

    async def start(self) -> None:
        """Start the deployment with its targets."""
        await self.deployment.start()
        document = tables_document()
        await self.deployment.store.put(
            'op', 'config', json.dumps(document).encode()
        )
        await asyncio.gather(
            *(
                self.deployment.add_engine(name, held)
                for name, held in _ENGINES.items()
            ),
            *(self.deployment.add_service(name) for name in ('r1', 'r2')),
        )
        await self.deployment.until(
            lambda: self.deployment.daemon.view.version == self._version
        )

    async def change(
        self,
        change: Callable[[dict[str, Any]], None],
        skipped_versions: int,
        *,
        is_awaited: bool,
    ) -> None:
        """Write changed tables.

        :param change: changes the document of the tables.
        :param skipped_versions: number of versions that are left out.
        :param is_awaited: wait until the change is in force.
        """
        document = tables_document()
        change(document)
        self._version += 1 + skipped_versions
        document['version'] = self._version
        body = json.dumps(document).encode()
        await self.deployment.store.put('op', 'config', body)
        if is_awaited:
            await self.deployment.until(
                lambda: self.deployment.daemon.view.version == self._version
            )

    async def break_target(self, name: str, fault: str) -> None:
        """Inject a fault into a target."""
        target = self.deployment.targets[name]
        faults = target.faults
        match fault:
            case 'silent':
                faults.is_silent = True
            case 'stall':
                faults.stall_after = 2
            case 'break':
                faults.break_after = 2
                faults.break_count = 1
            case 'refuse':
                faults.refusals = 2
            case 'lose':
                await target.crash()
                self.deployment.daemon.view.lost_engines.record_loss(
                    name, SystemClock().now_s()
                )

    async def request(
        self,
        path: str,
        method: str,
        odd_headers: dict[str, str | None],
        *,
        is_whole: bool,
    ) -> None:
        """Begin a request.

        :param is_whole: send it whole now; otherwise its last bytes follow at
            the end of the play.
        """
        self._number += 1
        request_id = f'request-{self._number}'
        headers: dict[str, str | None] = {
            'Host': 'drafts.example',
            'Attempt-Id': request_id,
            'Key': 'k1',
            'Deadline-Ms': '1500',
            'Token-Counts': '700,300',
            'Connection': 'close',
            'Content-Length': str(len(_BODY)),
            **odd_headers,
        }
        lines = [f'{method} {path} HTTP/1.1']
        lines.extend(
            f'{name}: {text}'
            for name, text in headers.items()
            if text is not None
        )
        sent = '\r\n'.join((*lines, '', '')).encode('latin-1') + _BODY
        may_finish = asyncio.Event()
        self._may_finish.append(may_finish)
        if is_whole:
            may_finish.set()
        self._answers.append(
            asyncio.create_task(self._exchange(request_id, sent, may_finish))
        )
        await asyncio.sleep(0.02)

    async def finish(self) -> list[Answered]:
        """Complete all requests, wait for the answers and stop."""
        for may_finish in self._may_finish:
            may_finish.set()
        try:
            async with asyncio.timeout(WAIT_S):
                return await asyncio.gather(*self._answers)
        finally:
            await self.deployment.stop()

    async def _exchange(
        self, request_id: str, sent: bytes, may_finish: asyncio.Event
    ) -> Answered:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.deployment.host.callers_port
        )
        middle = len(sent) - len(_BODY) // 2
        received = b''
        with contextlib.suppress(ConnectionError):
            writer.write(sent[:middle])
            await may_finish.wait()
            writer.write(sent[middle:])
            while part := await reader.read(65_536):
                received += part
        writer.close()
        return Answered(request_id, received)
