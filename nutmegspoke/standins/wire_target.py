"""Stand-in of the users' engines and services; implements their protocol.

It writes to the TCP connection directly, so that it can break an answer at
any byte.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import socket
import struct
from typing import Any

from nutmegspoke.standins.event_format import EventFormat
from nutmegspoke.standins.tasks import end_tasks, track_current

_EVENTS = 12
_EVENT_PAUSE_S = 0.01
_RUN_BEFORE_CRASH_S = 0.05
# Time for a host to notice that a target asks for a pause.
_NOTICE_S = 0.5


@dataclasses.dataclass(slots=True)
class TargetFaults:
    """Injected faults of the next requests.

    :param refusals: number of requests to refuse as not run.
    :param at_fault_address: address of the engine that refusals name.
    :param break_after: number of events after which a stream is cut off;
        ``None`` for never.
    :param break_count: number of streams to cut off.
    :param stall_after: number of events after which one stream stalls;
        ``None`` for never.
    :param stops_on_break: the target stops listening when it cuts off a
        stream.
    :param lost_engine_address: address of the unreachable engine that streams
        wait for; empty for none.
    :param omits_length: answers have no length; closing the connection ends
        them.
    :param resets_answers: answers without length are cut short and reset.
    :param failures: number of requests to answer with a failure.
    :param failure_status: status of these answers.
    :param stray_answers: number of requests that get the answer to another
        request first.
    :param is_silent: requests get no answer.
    :param silent_after: number of events of a stream after which the target
        falls silent on all its connections, once; ``None`` for never.
    :param wait_after: number of events after which a stream waits for another
        engine, once; ``None`` for never.
    :param awaited_address: address of the engine that such a stream waits for.
    :param fatal_body: body of requests under which the target crashes; ``None``
        for none.
    :param fatal_part: id of a part of the prompt, other than the last, under
        which the target crashes as it begins to answer; empty for none.
    :param repeats_refusals: each refusal is written once more before the next
        answer on its connection.
    :param names_refused: refusals carry the id of their request.
    :param error_status: status of the answer to requests that resume a stream;
        0 to resume it.
    :param pause: pause that refusals ask for, as the header's text; empty for
        none.
    :param is_leaving: answers say that the target leaves.
    :param closes_port_after_s: time for which the port of a target that crashes
        stays open after its connections.
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
    failure_status: int = 500
    stray_answers: int = 0
    is_silent: bool = False
    silent_after: int | None = None
    wait_after: int | None = None
    awaited_address: str = ''
    fatal_body: bytes | None = None
    fatal_part: str = ''
    repeats_refusals: bool = False
    names_refused: bool = False
    error_status: int = 0
    pause: str = ''
    is_leaving: bool = False
    closes_port_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Request that a target received; names of headers are lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    def shared_parts(self) -> list[str]:
        """Return the ids of the parts of its prompt, without the last."""
        *shared, _ = self.headers.get('prompt-prefix', '').split(',')
        return [entry.partition(':')[0] for entry in shared]


class Silence:
    """Silence of a target, which goes on later where it stopped."""

    def __init__(self) -> None:
        """Start without silence."""
        self._is_talking = asyncio.Event()
        self._is_talking.set()
        self._has_next_engine = asyncio.Event()
        self._has_next_engine.set()

    @property
    def is_waiting(self) -> bool:
        """Return whether the target's streams wait for another engine."""
        return not self._has_next_engine.is_set()

    @property
    def is_held(self) -> bool:
        """Return whether the target is silent or waits for another engine."""
        return self.is_waiting or not self._is_talking.is_set()

    def begin(self) -> None:
        """Send nothing on any connection until :meth:`end` is called."""
        self._is_talking.clear()

    def end(self) -> None:
        """Continue every stream and answer."""
        self._is_talking.set()
        self._has_next_engine.set()

    async def wait(self) -> None:
        """Wait while the target is silent."""
        await self._is_talking.wait()

    async def hold_stream(self, sent: int, faults: TargetFaults) -> None:
        """Begin the faults of a stream and wait while it is held.

        :param sent: number of events sent.
        """
        if sent == faults.silent_after:
            faults.silent_after = None
            self.begin()
        if sent == faults.wait_after:
            faults.wait_after = None
            self._has_next_engine.clear()
            await self._has_next_engine.wait()
        await self.wait()


class Rest:
    """Pauses that a target asks each host for, with its first refusal.

    A host is named by the start of the ids of its requests.
    """

    def __init__(self) -> None:
        """Start without pauses."""
        self._asked_s = 0.0
        self._until_s: dict[str, float] = {}
        self._late_counts: collections.Counter[str] = collections.Counter()
        self.served = 0

    def ask(self, asked_s: float) -> None:
        """Ask each host for a pause of some seconds from now on."""
        self._asked_s = asked_s
        self._until_s.clear()
        self._late_counts.clear()
        self.served = 0

    def most_late_requests(self) -> int:
        """Return the most requests of a host after the time to notice."""
        return max(self._late_counts.values(), default=0)

    def left_s(self, request: ReceivedRequest) -> float:
        """Return for how long a request's host should send nothing."""
        if not self._asked_s:
            return 0.0
        now_s = asyncio.get_running_loop().time()
        host = request.headers.get('attempt-id', '').partition('/')[0]
        until_s = self._until_s.setdefault(host, now_s + self._asked_s)
        if now_s >= until_s:
            self.served += 1
            return 0.0
        if now_s - (until_s - self._asked_s) > _NOTICE_S:
            self._late_counts[host] += 1
        return until_s - now_s


class NamedLimit:
    """Limit that a target names in its answers, and the requests it gets.

    :ivar text: limit in requests a second, as the header's text; empty for none.
    :ivar received_s: time and host of each request. A host is named by the
        start of the ids of its requests.
    """

    def __init__(self) -> None:
        """Start without a limit."""
        self.text = ''
        self.received_s: list[tuple[float, str]] = []

    def name(self, text: str) -> None:
        """Name a limit from now on, and count requests anew."""
        self.text = text
        self.received_s.clear()

    def headers(self) -> dict[str, str]:
        """Return the headers of answers that name the limit."""
        return {'Server-Limit': self.text} if self.text else {}

    def receive(self, request: ReceivedRequest) -> None:
        """Count a request."""
        host = request.headers.get('attempt-id', '').partition('/')[0]
        self.received_s.append((asyncio.get_running_loop().time(), host))

    def most_in_window(self, start_s: float, window_s: float) -> int:
        """Return the most requests in a window that begins at a time or later."""
        times_s = [time_s for time_s, _ in self.received_s if time_s >= start_s]
        return max(
            (
                sum(
                    begin_s <= time_s < begin_s + window_s for time_s in times_s
                )
                for begin_s in times_s
            ),
            default=0,
        )


class _StreamBody:
    """Body of a stream, in chunks or until the end of its connection."""

    def __init__(
        self, writer: asyncio.StreamWriter, *, is_chunked: bool
    ) -> None:
        self._writer = writer
        self.is_chunked = is_chunked

    def write_head(self, headers: dict[str, str]) -> None:
        lines = [f'{name}: {text}' for name, text in headers.items()]
        lines.append('Content-Type: text/event-stream')
        if self.is_chunked:
            lines.append('Transfer-Encoding: chunked')
        head = '\r\n'.join(('HTTP/1.1 200 OK', *lines, '', ''))
        self._writer.write(head.encode())

    def write(self, event: bytes) -> None:
        if self.is_chunked:
            event = b'%x\r\n%s\r\n' % (len(event), event)
        self._writer.write(event)

    def write_incomplete(self, begun_event: bytes) -> None:
        """Write the begin of a chunk that is longer."""
        if self.is_chunked:
            self._writer.write(b'40\r\n')
        self._writer.write(begun_event)

    def write_end(self) -> None:
        if self.is_chunked:
            self._writer.write(b'0\r\n\r\n')


class WireTarget:
    """Target that streams events if a request names a chain.

    Other requests get one plain answer. A target without layers answers them with
    a stream if it has a format of events.

    :param name: id of the target.
    :param layers: first layer and layer after the last one that it reports;
        ``None`` for no layers.
    :ivar events: number of events of a stream.
    :ivar event_format: format of its events; ``None`` for numbered ones.
    :ivar event_pause_s: pause between them, in seconds.
    """

    def __init__(self, name: str, layers: tuple[int, int] | None) -> None:
        """Create a target without faults."""
        self.name = name
        self.layers = layers
        self.faults = TargetFaults()
        self.events = _EVENTS
        self.event_format: EventFormat | None = None
        self.event_pause_s = _EVENT_PAUSE_S
        self.received: list[ReceivedRequest] = []
        self.orders: list[dict[str, Any]] = []
        self.disconnect_count = 0
        self.has_crashed = False
        self.idle_connections: set[asyncio.StreamWriter] = set()
        self._open_connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.silence = Silence()
        self.rest = Rest()
        self.limit = NamedLimit()
        self._tasks: set[asyncio.Task[None]] = set()
        # Refusals that are written once more, by connection.
        self._stale_refusals: dict[asyncio.StreamWriter, bytes] = {}

    async def start(self) -> str:
        """Start to listen on the loopback address.

        :returns: address as ``IP:PORT``.
        """
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        ip, port = self._server.sockets[0].getsockname()[:2]
        return f'{ip}:{port}'

    async def stop(self) -> None:
        """Stop listening; open connections stay."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Stop listening and end all connections."""
        await self.stop()
        self.reset_connections()
        await end_tasks(self._tasks)

    async def crash(self) -> None:
        """Simulate a crash: stop listening and reset idle connections."""
        await self.stop()
        for writer in tuple(self.idle_connections):
            writer.transport.abort()

    def reset_connections(self) -> None:
        """Reset all open connections, those of running streams too."""
        for writer in tuple(self._open_connections):
            writer.transport.abort()

    async def _crash_under_run(self) -> bool:
        """Simulate a crash a moment after a request began to run."""
        await asyncio.sleep(_RUN_BEFORE_CRASH_S)
        self.has_crashed = True
        if self.faults.closes_port_after_s:
            self.reset_connections()
            await asyncio.sleep(self.faults.closes_port_after_s)
        await self.stop()
        self.reset_connections()
        return False

    def caller_requests(self) -> list[ReceivedRequest]:
        """Return the received requests, except those for reports and orders."""
        return [
            request
            for request in self.received
            if not request.path.startswith('/v1/')
        ]

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        track_current(self._tasks)
        self.idle_connections.add(writer)
        self._open_connections.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                self.idle_connections.discard(writer)
                self.received.append(request)
                writer.write(self._stale_refusals.pop(writer, b''))
                if not await self._answer(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            self.disconnect_count += 1
        finally:
            self._close(writer)

    def _close(self, writer: asyncio.StreamWriter) -> None:
        self.idle_connections.discard(writer)
        self._open_connections.discard(writer)
        writer.close()

    async def _answer(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await self.silence.wait()
        if request.path.startswith('/v1/'):
            return await self._answer_control_call(request, writer)
        if self.faults.is_silent:
            await asyncio.sleep(60.0)
        self.limit.receive(request)
        rest_s = self.rest.left_s(request)
        if rest_s > 0:
            return await self._send_refusal(request, writer, f'{rest_s:.3f}')
        if self.faults.refusals:
            self.faults.refusals -= 1
            return await self._send_refusal(request, writer, self.faults.pause)
        if self.faults.stray_answers:
            self.faults.stray_answers -= 1
            await _write_answer(
                writer, 200, {'Attempt-Id': 'stray'}, b'not yours'
            )
        own_headers = {
            'Attempt-Id': request.headers.get('attempt-id', ''),
            'Response-Seal': f'seal-{self.name}',
            **_notice_headers(self),
        }
        if self.faults.failures:
            self.faults.failures -= 1
            return await _write_answer(
                writer, self.faults.failure_status, own_headers, b'failed'
            )
        return await self._run(request, own_headers, writer)

    async def _run(
        self,
        request: ReceivedRequest,
        own_headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bool:
        is_fatal = self.faults.fatal_part in request.shared_parts()
        if is_fatal or request.body == self.faults.fatal_body:
            return await self._crash_under_run()
        if self.faults.error_status and 'last-event-id' in request.headers:
            return await _write_answer(
                writer, self.faults.error_status, own_headers, b'an error'
            )
        is_streaming = self.layers is None and self.event_format is not None
        if is_streaming or 'hops' in request.headers:
            return await self._send_stream(request, own_headers, writer)
        return await self._answer_plainly(own_headers, writer)

    async def _answer_control_call(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if request.path == '/v1/order':
            return await self._receive_order(request, writer)
        return await self._send_report(writer)

    async def _answer_plainly(
        self,
        own_headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bool:
        body = b'record of %s' % self.name.encode()
        if not self.faults.omits_length:
            return await _write_answer(writer, 200, own_headers, body)
        head = ''.join(
            f'{name}: {text}\r\n' for name, text in own_headers.items()
        )
        if self.faults.resets_answers:
            body = body[:4]
        writer.write(b'HTTP/1.1 200 OK\r\n%s\r\n%s' % (head.encode(), body))
        await writer.drain()
        if self.faults.resets_answers:
            linger = struct.pack('ii', 1, 0)
            connection = writer.get_extra_info('socket')
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return False

    async def _send_stream(
        self,
        request: ReceivedRequest,
        own_headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bool:
        events = self.event_format or EventFormat.numbered(self.events)
        first = events.first_place(request.headers.get('last-event-id'))
        body = _StreamBody(writer, is_chunked=not self.faults.omits_length)
        if not self.faults.lost_engine_address:
            body.write_head(own_headers)
        for sent, place in enumerate(range(first, len(events.ids))):
            if self.faults.lost_engine_address:
                await asyncio.sleep(60.0)
            if sent == self.faults.stall_after:
                self.faults.stall_after = None
                await asyncio.sleep(60.0)
            await self.silence.hold_stream(sent, self.faults)
            if sent == self.faults.break_after and self.faults.break_count:
                self.faults.break_count -= 1
                body.write_incomplete(b'id: 99\ndata: ha')
                await writer.drain()
                if self.faults.stops_on_break:
                    await self.stop()
                return False
            body.write(events.write(place, self.name))
            await writer.drain()
            await asyncio.sleep(self.event_pause_s)
        body.write_end()
        await writer.drain()
        return body.is_chunked

    async def _send_refusal(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        pause: str,
    ) -> bool:
        headers = {
            'Not-Executed': '1',
            'Server-Load': '6,2,6',
            'Keep-Alive': 'timeout=10',
            **_notice_headers(self),
        }
        if pause:
            headers['Retry-After'] = pause
        if self.faults.at_fault_address:
            headers['At-Server'] = self.faults.at_fault_address
        if self.faults.names_refused:
            headers['Attempt-Id'] = request.headers.get('attempt-id', '')
        refusal = _encode_answer(503, headers, b'')
        if self.faults.repeats_refusals:
            self._stale_refusals[writer] = refusal
        writer.write(refusal)
        await writer.drain()
        return True

    async def _send_report(self, writer: asyncio.StreamWriter) -> bool:
        address = self.faults.lost_engine_address
        if self.silence.is_waiting:
            address = self.faults.awaited_address
        stalled = [
            {
                'id': request.headers.get('attempt-id', ''),
                'address': address,
            }
            for request in self.caller_requests()
            if address
        ]
        report = {
            'layers': _wire_layers(self.layers),
            'busy': False,
            'seq_no': len(self.orders),
            'pace': 1.0,
            'stalled': stalled,
        }
        return await _write_answer(
            writer, 200, _notice_headers(self), json.dumps(report).encode()
        )

    async def _receive_order(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        order = json.loads(request.body)
        self.orders.append(order)
        if order['op'] == 'place':
            self.layers = (order['from'], order['to'])
        return await _write_answer(writer, 202, {}, b'')


def _notice_headers(target: WireTarget) -> dict[str, str]:
    """Return what a target says of itself."""
    leaving = {'Server-Leaving': '1'} if target.faults.is_leaving else {}
    return {**target.limit.headers(), **leaving}


def _wire_layers(held: tuple[int, int] | None) -> dict[str, int] | None:
    if held is None:
        return None
    return {'from': held[0], 'to': held[1], 'version': 1}


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    request_line, *lines = head.strip().split('\r\n')
    method, path, _ = request_line.split(' ')
    headers = dict(_parse_header(line) for line in lines)
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return ReceivedRequest(method, path, headers, body)


def _parse_header(line: str) -> tuple[str, str]:
    name, _, text = line.partition(':')
    return name.strip().lower(), text.strip()


async def _write_answer(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes,
) -> bool:
    writer.write(_encode_answer(status, headers, body))
    await writer.drain()
    return True


def _encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    all_headers = {**headers, 'Content-Length': str(len(body))}
    head = ''.join(f'{name}: {text}\r\n' for name, text in all_headers.items())
    return b'HTTP/1.1 %03d X\r\n%s\r\n%s' % (status, head.encode(), body)
