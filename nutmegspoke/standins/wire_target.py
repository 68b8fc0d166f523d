"""Stand-in of the users' engines and services, by their published protocol.

It answers over a bare connection, so that it can break answers in any place.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import socket
import struct
from typing import Any

_EVENTS = 12
_EVENT_PAUSE_S = 0.01


@dataclasses.dataclass(slots=True)
class TargetFaults:
    """What goes wrong on purpose, for the next requests.

    :param refusals: requests that are answered as not run.
    :param at_fault_address: address that these answers name.
    :param break_after: events after which a stream is cut; ``None`` for never.
    :param break_count: streams that are cut so.
    :param stall_after: events after which a stream stands still, once;
        ``None`` for never.
    :param stops_on_break: the target ends as it cuts a stream.
    :param lost_engine_address: address of the lost engine that streams wait for.
    :param omits_length: answers end with their connection.
    :param resets_answers: such answers are reset before they are whole.
    :param failures: requests that end with an error of the target.
    :param stray_answers: answers to another request that come first.
    :param is_silent: requests get no answer.
    """

    refusals: int = 0
    at_fault_address: str = ''
    break_after: int | None = None
    break_count: int = 0
    stall_after: int | None = None
    stops_on_break: bool = False
    lost_engine_address: str = ''
    omits_length: bool = False
    resets_answers: bool = False
    failures: int = 0
    stray_answers: int = 0
    is_silent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SeenRequest:
    """A request that reached a target."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class WireTarget:
    """A target that streams events, or answers plainly without a chain.

    :param name: id of the target.
    :param layers: layers that it reports.
    """

    def __init__(self, name: str, layers: tuple[int, int] | None) -> None:
        """Start with no faults."""
        self.name = name
        self.layers = layers
        self.faults = TargetFaults()
        self.seen: list[SeenRequest] = []
        self.orders: list[dict[str, Any]] = []
        self.cancelled = 0
        self.idle_connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen on loopback.

        :returns: ``IP:PORT``.
        """
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        ip, port = self._server.sockets[0].getsockname()[:2]
        return f'{ip}:{port}'

    async def stop(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.close()

    async def crash(self) -> None:
        """End as a process does: idle connections break, none is accepted."""
        await self.stop()
        for writer in tuple(self.idle_connections):
            writer.transport.abort()

    def caller_requests(self) -> list[SeenRequest]:
        """Return the requests that are neither reports nor orders."""
        return [one for one in self.seen if not one.path.startswith('/v1/')]

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.idle_connections.add(writer)
        try:
            while True:
                request = await _read(reader)
                self.idle_connections.discard(writer)
                self.seen.append(request)
                if not await self._answer(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            self.cancelled += 1
        finally:
            self.idle_connections.discard(writer)
            writer.close()

    async def _answer(
        self,
        request: SeenRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if request.path == '/v1/report':
            return await self._report(writer)
        if request.path == '/v1/order':
            return await self._order(request, writer)
        if self.faults.is_silent:
            await asyncio.sleep(60.0)
        if self.faults.refusals:
            self.faults.refusals -= 1
            return await self._refuse(writer)
        if self.faults.stray_answers:
            self.faults.stray_answers -= 1
            await _write(writer, 200, {'Attempt-Id': 'stray'}, b'not yours')
        own = {
            'Attempt-Id': request.headers.get('attempt-id', ''),
            'Response-Seal': f'seal-{self.name}',
        }
        if self.faults.failures:
            self.faults.failures -= 1
            return await _write(writer, 500, own, b'failed')
        if 'hops' in request.headers:
            return await self._stream(request, own, writer)
        return await self._plain(own, writer)

    async def _plain(
        self,
        own: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bool:
        body = b'record of %s' % self.name.encode()
        if not self.faults.omits_length:
            return await _write(writer, 200, own, body)
        head = ''.join(f'{name}: {text}\r\n' for name, text in own.items())
        if self.faults.resets_answers:
            body = body[:4]
        writer.write(b'HTTP/1.1 200 OK\r\n%s\r\n%s' % (head.encode(), body))
        await writer.drain()
        if self.faults.resets_answers:
            reset = struct.pack('ii', 1, 0)
            opened = writer.get_extra_info('socket')
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        return False

    async def _stream(
        self,
        request: SeenRequest,
        own: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bool:
        first = int(request.headers.get('last-event-id', '0')) + 1
        head = ''.join(f'{name}: {text}\r\n' for name, text in own.items())
        if not self.faults.lost_engine_address:
            writer.write(
                f'HTTP/1.1 200 OK\r\n{head}'
                'Transfer-Encoding: chunked\r\n\r\n'.encode(),
            )
        for sent, number in enumerate(range(first, _EVENTS + 1)):
            if self.faults.lost_engine_address:
                await asyncio.sleep(60.0)
            if sent == self.faults.stall_after:
                self.faults.stall_after = None
                await asyncio.sleep(60.0)
            if sent == self.faults.break_after and self.faults.break_count:
                self.faults.break_count -= 1
                writer.write(b'40\r\nid: 99\ndata: ha')
                await writer.drain()
                if self.faults.stops_on_break:
                    await self.stop()
                return False
            event = f'id: {number}\ndata: {self.name}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(_EVENT_PAUSE_S)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True

    async def _refuse(self, writer: asyncio.StreamWriter) -> bool:
        headers = {'Not-Executed': '1'}
        if self.faults.at_fault_address:
            headers['At-Server'] = self.faults.at_fault_address
        return await _write(writer, 503, headers, b'')

    async def _report(self, writer: asyncio.StreamWriter) -> bool:
        stalled = [
            {
                'id': one.headers.get('attempt-id', ''),
                'address': self.faults.lost_engine_address,
            }
            for one in self.caller_requests()
            if self.faults.lost_engine_address
        ]
        report = {
            'layers': self._wire_layers(),
            'busy': False,
            'seq_no': len(self.orders),
            'pace': 1.0,
            'stalled': stalled,
        }
        return await _write(writer, 200, {}, json.dumps(report).encode())

    async def _order(
        self,
        request: SeenRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        order = json.loads(request.body)
        self.orders.append(order)
        if order['op'] == 'place':
            self.layers = (order['from'], order['to'])
        return await _write(writer, 202, {}, b'')

    def _wire_layers(self) -> dict[str, int] | None:
        if self.layers is None:
            return None
        return {'from': self.layers[0], 'to': self.layers[1], 'version': 1}


async def _read(reader: asyncio.StreamReader) -> SeenRequest:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.strip().split('\r\n')
    method, path, _ = first.split(' ')
    headers = dict(_header(line) for line in lines)
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return SeenRequest(method, path, headers, body)


def _header(line: str) -> tuple[str, str]:
    name, _, text = line.partition(':')
    return name.strip().lower(), text.strip()


async def _write(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes,
) -> bool:
    framed = {**headers, 'Content-Length': str(len(body))}
    head = ''.join(f'{name}: {text}\r\n' for name, text in framed.items())
    writer.write(
        b'HTTP/1.1 %d X\r\n%s\r\n%s' % (status, head.encode(), body),
    )
    await writer.drain()
    return True
