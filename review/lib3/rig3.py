"""Stand-ins of the platform, engines and clients for the cases of this review.

Standard library only. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
LAYERS = 80
KEY = 'key-of-the-club'
HOST = 'desk.example'


class Record:
    """The record of a run, written to a file and to standard output."""

    def __init__(self, path: pathlib.Path) -> None:
        """Start a new file."""
        self._file = path.open('w', encoding='utf-8')
        self._start_s = time.monotonic()

    def line(self, text: str) -> None:
        """Write a line with the time since the start."""
        now_s = time.monotonic() - self._start_s
        line = f'{now_s:8.3f}  {text}'
        self._file.write(line + '\n')
        self._file.flush()
        print(line, flush=True)


def free_port(ip: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a free port of an address."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def daemon_ip() -> str:
    """Return a loopback address on which the metrics port is free."""
    while True:
        ip = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}.1'
        with socket.socket() as probe:
            try:
                probe.bind((ip, 9100))
            except OSError:
                continue
            return ip


async def read_request(reader: asyncio.StreamReader):
    """Return method, path, headers and body of a request."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.strip().split('\r\n')
    method, path, _ = first.split(' ')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return method, path, headers, body


def encode_answer(status: int, headers: dict, body: bytes = b'') -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Server:
    """A server of short HTTP calls on a loopback address."""

    def __init__(self, ip: str = '127.0.0.1') -> None:
        """Create a server that does not listen yet."""
        self.ip = ip
        self.port = 0
        self._server = None
        self.writers = set()
        self._tasks = set()

    @property
    def address(self) -> str:
        """Return ``IP:PORT``."""
        return f'{self.ip}:{self.port}'

    async def start(self) -> None:
        """Listen, on the port of before if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections, as an ended process."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self.writers):
            writer.transport.abort()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.answer(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer) -> bool:
        """Answer a request; ``False`` to close the connection."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows, transactions and feeds."""

    def __init__(self) -> None:
        """Start without rows."""
        super().__init__()
        self.rows = {}
        self.history = []
        self.version = 0
        self.era = 1
        self.writes = []
        self._changed = asyncio.Event()
        # Set to a function of method and path; returns a status to refuse with.
        self.refusal = lambda method, path: 0

    def put(self, table: str, key: str, body: bytes | None) -> None:
        """Write a row as the operator or an engine does."""
        self.version += 1
        value = None if body is None else base64.b64encode(body).decode()
        self._apply(table, key, value)

    def _apply(self, table, key, value) -> None:
        row = {'table': table, 'part': '', 'key': key, 'ver': self.version}
        if value is None:
            self.rows.pop((table, key), None)
            row['removed'] = True
        else:
            row['value'] = value
            self.rows[table, key] = row
        self.history.append(row)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _reply(self, body: dict, status: int = 200) -> bytes:
        body |= {'ver': self.version, 'now_ms': int(time.monotonic() * 1000)}
        headers = {
            'Content-Type': 'application/json',
            'Store-Era': str(self.era),
        }
        return encode_answer(status, headers, json.dumps(body).encode())

    async def answer(self, request, writer) -> bool:
        """Answer a call of the store."""
        method, target, _, body = request
        path, _, query = target.partition('?')
        status = self.refusal(method, path)
        if status:
            writer.write(self._reply({}, status))
            return True
        await asyncio.sleep(0.003)
        pairs = dict(part.split('=', 1) for part in query.split('&') if part)
        if path == '/v1/rows-tx':
            writer.write(self._transact(json.loads(body)))
        elif path == '/v1/rows-get':
            writer.write(self._get(pairs))
        elif path == '/v1/rows-feed':
            writer.write(await self._feed(pairs))
        else:
            writer.write(self._reply({}, 404))
        await writer.drain()
        return True

    def _transact(self, call: dict) -> bytes:
        expected = call['precondition']
        for row in expected:
            found = self.rows.get((row['table'], row['key']), {'ver': 0})
            if found['ver'] != row['ver']:
                keys = [(each['table'], each['key']) for each in expected]
                rows = [self.rows[key] for key in keys if key in self.rows]
                return self._reply({'rows': rows}, 412)
        self.version += 1
        for row in call['writes']:
            self.writes.append((time.monotonic(), row['table'], row['key']))
            self._apply(row['table'], row['key'], row['value'])
        for row in call['remove']:
            self._apply(row['table'], row['key'], None)
        return self._reply({})

    def _get(self, pairs: dict) -> bytes:
        first = pairs.get('from', '')
        limit = int(pairs.get('limit', '500'))
        keys = sorted(
            key
            for key in self.rows
            if key[0] == pairs['table'] and key[1] >= first
        )
        rows = [self.rows[key] for key in keys[:limit]]
        return self._reply({'rows': rows, 'truncated': len(keys) > limit})

    async def _feed(self, pairs: dict) -> bytes:
        table, after = pairs['table'], int(pairs['after'])
        last_s = time.monotonic() + int(pairs.get('wait_ms', '0')) / 1000
        if after > self.version:
            return self._reply({}, 410)
        while True:
            rows = [
                row
                for row in self.history
                if row['table'] == table and row['ver'] > after
            ]
            left_s = last_s - time.monotonic()
            if rows or left_s <= 0:
                return self._reply({'rows': rows})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()


class Target(Server):
    """A server of a service, which registers itself in the store."""

    service = 'records'

    def __init__(self, store, name, zone, record, work_s=0.02) -> None:
        """Create a server that is not started."""
        super().__init__()
        self.store = store
        self.name = name
        self.zone = zone
        self.record = record
        self.work_s = work_s
        self.born = 0
        self.runs = []
        self.state = 'ready'
        self._beats = None

    async def start(self) -> None:
        """Listen and register."""
        await super().start()
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self._beats = asyncio.create_task(self._beat())

    async def crash(self) -> None:
        """End; the entry stays for three heartbeats."""
        self._beats.cancel()
        await self.stop()

    def entry(self) -> dict:
        """Return the entry in the list of servers."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 96,
            'state': self.state,
            'cold_left_ms': 0,
            'seq_no': 0,
            'born': self.born,
        }

    def register(self) -> None:
        """Write the entry."""
        self.store.put('servers', self.name, json.dumps(self.entry()).encode())

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(1.2)

    def own_headers(self, headers: dict) -> dict:
        """Return the headers of each answer to a request."""
        return {
            'Attempt-Id': headers.get('attempt-id', ''),
            'Server-Load': '1,0,96',
        }

    def refuse(self, writer, headers, status, **more) -> bool:
        """Answer that the request was not run."""
        fields = self.own_headers(headers) | {'Not-Executed': '1'} | more
        writer.write(encode_answer(status, fields))
        return True

    async def answer(self, request, writer) -> bool:
        """Answer a request with one body."""
        method, path, headers, _ = request
        if headers.get('expect-instance', self.name) != self.name:
            return self.refuse(writer, headers, 421)
        self.runs.append((time.monotonic(), headers.get('attempt-id', '')))
        await asyncio.sleep(self.work_s)
        return await self.write_answer(headers, writer)

    async def write_answer(self, headers, writer) -> bool:
        """Write the answer to a request that has run."""
        fields = self.own_headers(headers) | {'Response-Seal': self.name}
        writer.write(encode_answer(200, fields, b'r' * 800))
        await writer.drain()
        return True


class Engine(Target):
    """A model engine that holds layers."""

    service = 'drafting'

    def __init__(self, store, name, zone, record, engines, load_s=0.4) -> None:
        """Create an empty engine.

        :param engines: all engines, to find the others of a path.
        """
        super().__init__(store, name, zone, record)
        self.engines = engines
        self.load_s = load_s
        self.held = None
        self.number = 0
        self.is_busy = False
        self.fence = 0
        self.orders = []
        self.events = 12
        self.pause_s = 0.02
        self._load = None

    async def start(self) -> None:
        """Start empty."""
        self.held, self.number, self.fence = None, 0, 0
        self.is_busy = False
        await super().start()

    async def crash(self) -> None:
        """End; what it held is lost."""
        if self._load is not None:
            self._load.cancel()
        await super().crash()

    def _layers(self) -> dict | None:
        if self.held is None:
            return None
        return {'from': self.held[0], 'to': self.held[1], 'version': 1}

    def entry(self) -> dict:
        """Return the entry in the list of servers."""
        models = [{'name': 'm0', 'version': 1, 'adapters': []}]
        return super().entry() | {
            'seq_no': self.number,
            'phase': 'both',
            'route_kind': 'large',
            'models': models if self.held else [],
            'layers': self._layers(),
        }

    def _report(self) -> bytes:
        report = {
            'phase': 'both',
            'route_kind': 'large',
            'models': [],
            'layers': self._layers(),
            'busy': self.is_busy,
            'seq_no': self.number,
            'queued': 0,
            'active': 0,
            'kv_used': 0,
            'kv_total': 4_000_000,
            'handles': 0,
            'pace': 1.0,
            'stalled': [],
            'born': self.born,
        }
        headers = {'Content-Type': 'application/json'}
        return encode_answer(200, headers, json.dumps(report).encode())

    async def answer(self, request, writer) -> bool:
        """Answer a call or a request."""
        _, path, headers, body = request
        if path == '/v1/report':
            writer.write(self._report())
            return True
        if headers.get('expect-instance', self.name) != self.name:
            return self.refuse(writer, headers, 421)
        if path == '/v1/order':
            writer.write(encode_answer(self._order(json.loads(body)), {}))
            return True
        return await self._stream(headers, writer)

    def _order(self, order: dict) -> int:
        self.orders.append((time.monotonic(), order))
        if order.get('fence', self.fence) < self.fence:
            return 412
        self.fence = order.get('fence', self.fence)
        if order.get('precondition', self.number) != self.number:
            return 409
        wanted = (order['from'], order['to'])
        if wanted == self.held:
            return 200
        if self.is_busy:
            return 409
        self.number += 1
        self.is_busy = True
        self._load = asyncio.create_task(self._place(wanted))
        return 202

    async def _place(self, wanted) -> None:
        self.held = None
        await asyncio.sleep(self.load_s)
        self.held = wanted
        self.is_busy = False
        self.record.line(f'engine {self.name} holds layers {wanted}')
        self.register()

    def _fault(self, headers: dict):
        """Return status and engine at fault of a path, or ``None``."""
        hops = headers.get('hops', f'{self.address}=0-{LAYERS}')
        by_address = {engine.address: engine for engine in self.engines}
        for number, hop in enumerate(hops.split(',')):
            address, _, layers = hop.partition('=')
            start, stop = map(int, layers.split('-'))
            if not number and address != self.address:
                return 400, address
            engine = by_address.get(address)
            if engine is None or engine._server is None:
                return 503, address
            if engine.held is None or not (
                engine.held[0] <= start < stop <= engine.held[1]
            ):
                return 421, address
        return None

    async def _stream(self, headers, writer) -> bool:
        fault = self._fault(headers)
        if fault is not None:
            status, address = fault
            return self.refuse(writer, headers, status, **{'At-Server': address})
        self.runs.append((time.monotonic(), headers.get('attempt-id', '')))
        return await self.answer_stream(headers, writer)

    def write_head(self, headers, writer) -> None:
        """Write the head of a stream."""
        fields = self.own_headers(headers) | {
            'Response-Seal': self.name,
            'Content-Type': 'text/event-stream',
            'Weight-Versions': '1',
            'Transfer-Encoding': 'chunked',
        }
        lines = ['HTTP/1.1 200 OK', *(f'{n}: {t}' for n, t in fields.items())]
        writer.write('\r\n'.join((*lines, '', '')).encode())

    async def answer_stream(self, headers, writer) -> bool:
        """Write the events of a stream."""
        self.write_head(headers, writer)
        first = int(headers.get('last-event-id') or 0) + 1
        for place in range(first, self.events + 1):
            await asyncio.sleep(self.pause_s)
            event = f'id: {place}\ndata: token {place}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


def configuration(
    version: int, services=('drafting', 'records'), timeout_ms=1_500
) -> bytes:
    """Return a configuration with a route of each kind of request.

    :param timeout_ms: time-out of the routes of records.
    """
    drafts = {
        'name': 'drafts',
        'host': HOST,
        'prefix': '/drafts/',
        'route_kind': 'streaming',
        'resumable': True,
        'sticky': True,
        'timeout_ms': 20_000,
        'goal_ms': 500,
        'gap_goal_ms': 200,
        'priority': 1,
        'service': 'drafting',
        'max_attempts': 2,
        'public': False,
    }
    reads = {
        'name': 'reads',
        'host': HOST,
        'prefix': '/reads/',
        'route_kind': 'idempotent',
        'timeout_ms': timeout_ms,
        'goal_ms': 300,
        'priority': 2,
        'service': 'records',
        'max_attempts': 2,
        'public': False,
    }
    sends = reads | {
        'name': 'sends',
        'prefix': '/sends/',
        'route_kind': 'non_idempotent',
        'max_attempts': 1,
    }
    engine = {
        'slots': 96,
        'kv_bytes': 1_836_000,
        'stride': 3,
        'models': [{'name': 'm0', 'load_s': 14.0}],
        'step_ms': 1.02,
        'per_seq_ms': 0.014,
        'context_per_k': 0.019,
        'read_per_s': 105_000.0,
        'pairs_per_m': 0.3,
        'chunk': 512,
        'usual': {'prompt': 774, 'answer': 203},
        'layers': LAYERS,
        'layer_mb': 1_750.0,
        'act_bytes': 91_800,
        'pipe_mbps': 18_000.0,
        'kinds': [
            {
                'name': 'large',
                'size_mb': 72_000.0,
                'pace': 2.4,
                'read_factor': 3.2,
            }
        ],
    }
    listed = []
    if 'drafting' in services:
        listed.append(
            {
                'name': 'drafting',
                'health_path': '/healthz',
                'max_conns': 978,
                'engine': engine,
            }
        )
    if 'records' in services:
        listed.append(
            {'name': 'records', 'health_path': '/healthz', 'max_conns': 110}
        )
    routes = [
        route for route in (drafts, reads, sends) if route['service'] in services
    ]
    return json.dumps(
        {
            'version': version,
            'routes': routes,
            'services': listed,
            'limits': {
                'max_header_bytes': 16_384,
                'max_body_bytes': 4_194_304,
                'header_timeout_ms': 3_000,
                'idle_timeout_ms': 15_000,
            },
            'tenants': [{'name': 'club', 'api_keys': [KEY], 'priority': 1}],
        }
    ).encode()


class Daemon:
    """The project's program, started as the deploy file says."""

    def __init__(self, folder, name, zone, store_address, **settings) -> None:
        """Write the settings file."""
        self.name = name
        self.ip = daemon_ip()
        self.front = free_port(self.ip)
        self.ready = free_port(self.ip)
        port = free_port(self.ip, socket.SOCK_DGRAM)
        self.process = None
        self._folder = folder
        self._path = folder / f'{name}.conf'
        fields = {
            'node_name': name,
            'role': 'router',
            'machine_class': 'front',
            'serves': 'front',
            'ip': self.ip,
            'zone': zone,
            'region': 'r',
            'zones.a': 'r',
            'zones.b': 'r',
            'listen.front': f'{self.ip}:{self.front}',
            'listen.ready_address': f'{self.ip}:{self.ready}',
            'port_range': f'{port},{port + 1}',
            'bootstrap': 'true',
            'limits.cpu_share': '0.537',
            'limits.cores': '2',
            'limits.memory_mb': '300',
            'limits.max_fds': '4100',
            'limits.link_mbps': '1000.0',
            'heartbeat_ms': '1200',
            'bounds.drain_ms': '2000',
            'bounds.grace_s': '8',
            'bounds.config_apply_ms': '2000',
            'bounds.retry_ratio': '0.2',
            'bounds.retry_window_s': '10',
            'bounds.retry_slack': '202',
            'platform.address': store_address,
            **settings,
        }
        lines = [f'{field}={text}' for field, text in fields.items()]
        self._path.write_text('\n'.join(lines) + '\n', encoding='utf-8')

    async def start(self) -> None:
        """Start the process."""
        with (REPOSITORY / 'deploy/system.toml').open('rb') as deploy:
            run = tomllib.load(deploy)['roles']['router']['run'].split()
        kept = ('PATH', 'HOME', 'LANG')
        variables = {name: os.environ[name] for name in kept if name in os.environ}
        variables['NUTMEGSPOKE_SETTINGS'] = str(self._path)
        variables['PYTHONPATH'] = str(REPOSITORY / 'target/deps')
        variables['PYTHONDONTWRITEBYTECODE'] = '1'
        self._log = (self._folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            *run,
            cwd=REPOSITORY,
            env=variables,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def log_text(self) -> str:
        """Return what the process has written."""
        path = self._folder / f'{self.name}.log'
        return path.read_text(encoding='utf-8', errors='replace')

    async def is_ready(self) -> bool:
        """Ask as the balancer does."""
        try:
            answer = await call(
                self.ip, self.ready, 'GET', '/v1/readyz', {}, timeout_s=1.0
            )
        except OSError:
            return False
        return answer['status'] == 200

    async def until_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until the daemon says that it is ready."""
        last_s = time.monotonic() + limit_s
        while time.monotonic() < last_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


async def watch_ready(daemon, record, seconds) -> None:
    """Ask each second whether a daemon is ready, as the balancer does."""
    missed = 0
    for _ in range(seconds):
        started_s = time.monotonic()
        missed += not await daemon.is_ready()
        await asyncio.sleep(max(0.0, started_s + 1 - time.monotonic()))
    record.line(f'{daemon.name} missed {missed} of {seconds} readiness checks')


async def call(
    ip, port, method, path, headers, body=b'', timeout_s=20.0
) -> dict:
    """Send one request on a new connection and return its answer.

    ``is_whole`` is false if the answer ended early, ``status`` is 0 without one.
    """
    answer = {'status': 0, 'headers': {}, 'body': b'', 'is_whole': False}
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            fields = {'Host': HOST, **headers}
            if body or method == 'POST':
                fields['Content-Length'] = str(len(body))
            head = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
            writer.write(f'{method} {path} HTTP/1.1\r\n{head}\r\n'.encode() + body)
            await _read_answer(reader, answer)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        answer['error'] = repr(error)
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_answer(reader, answer) -> None:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.strip().split('\r\n')
    answer['status'] = int(first.split(' ')[1])
    for line in lines:
        name, _, text = line.partition(':')
        answer['headers'][name.strip().lower()] = text.strip()
    fields = answer['headers']
    if 'chunked' in fields.get('transfer-encoding', ''):
        while True:
            size = int((await reader.readuntil(b'\r\n')).strip(), 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            answer['body'] += part[:-2]
    else:
        length = int(fields.get('content-length', '0'))
        answer['body'] = await reader.readexactly(length)
    answer['is_whole'] = True


class Client:
    """A client that retries as the pages say: once, after a promise."""

    def __init__(self, daemons, record, seed=1) -> None:
        """Create a client of some daemons."""
        self.daemons = daemons
        self.record = record
        self.random = random.Random(seed)
        self.number = 0
        self.sent = {}

    def new_id(self) -> str:
        """Return a new id of an attempt."""
        self.number += 1
        return f'{self.random.getrandbits(32):08x}{self.number:08x}'

    async def attempt(
        self, kind: str, deadline_ms: int, daemon=None, patience_s=None
    ) -> dict:
        """Send one attempt to a daemon, one drawn at random if none is given.

        :param patience_s: time after which the client leaves; ``None`` for its
            deadline.
        """
        daemon = daemon or self.random.choice(self.daemons)
        attempt_id = self.new_id()
        headers = {
            'Attempt-Id': attempt_id,
            'Deadline-Ms': str(deadline_ms),
            'Key': KEY,
        }
        method, body = 'POST', b'x' * 600
        if kind == 'drafts':
            part = f'{self.random.getrandbits(32):08x}'
            headers |= {
                'Model': 'm0',
                'Token-Counts': '760,40',
                'Prompt-Prefix': f'5c1e07a2:40,{part}:720',
            }
        elif kind == 'reads':
            method, body = 'GET', b''
        answer = await call(
            daemon.ip,
            daemon.front,
            method,
            f'/{kind}/{self.number}',
            headers,
            body,
            timeout_s=patience_s or deadline_ms / 1000,
        )
        answer |= {'id': attempt_id, 'daemon': daemon.name, 'kind': kind}
        return answer

    async def request(self, kind: str, deadline_ms: int, retries=1) -> dict:
        """Send a request, and once more if it is refused as not run."""
        last_s = time.monotonic() + deadline_ms / 1000
        while True:
            left_ms = int((last_s - time.monotonic()) * 1000)
            answer = await self.attempt(kind, max(1, left_ms))
            is_served = answer['status'] == 200 and answer['is_whole']
            if is_served or not retries or answer['status'] not in (429, 503, 0):
                break
            retries -= 1
            wait_s = float(answer['headers'].get('retry-after', '0'))
            left_s = last_s - time.monotonic()
            if wait_s > left_s / 3:
                break
            await asyncio.sleep(wait_s)
        answer['is_served'] = is_served
        self.record.line(
            f'client {answer["id"]} {kind} at {answer["daemon"]}: '
            f'status {answer["status"]}, whole {answer["is_whole"]}'
        )
        return answer


class World:
    """A store, servers and daemons; ends all that it has started."""

    def __init__(self, record: Record) -> None:
        """Start empty."""
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.engines = []
        self.targets = []
        self.daemons = []
        self.helpers = []

    async def start_store(self) -> None:
        """Start the store with the first configuration."""
        await self.store.start()

    async def add_engine(self, name, zone, kind=Engine, **changes) -> Engine:
        """Start an engine."""
        engine = kind(
            self.store, name, zone, self.record, self.engines, **changes
        )
        self.engines.append(engine)
        await engine.start()
        return engine

    async def add_target(self, name, zone, kind=Target, **changes) -> Target:
        """Start a server of records."""
        target = kind(self.store, name, zone, self.record, **changes)
        self.targets.append(target)
        await target.start()
        return target

    async def add_daemon(self, name, zone, **settings) -> Daemon:
        """Start a daemon."""
        daemon = Daemon(self.folder, name, zone, self.store.address, **settings)
        self.daemons.append(daemon)
        await daemon.start()
        return daemon

    async def start_helper(self, *words):
        """Start a process of the case itself."""
        helper = await asyncio.create_subprocess_exec(sys.executable, *words)
        self.helpers.append(helper)
        return helper

    async def end(self) -> None:
        """End all processes and servers."""
        for helper in self.helpers:
            if helper.returncode is None:
                helper.kill()
            await helper.wait()
        for daemon in self.daemons:
            await daemon.end()
        for each in (*self.engines, *self.targets):
            with contextlib.suppress(Exception):
                await each.crash()
        await self.store.stop()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def main(play, folder: pathlib.Path) -> None:
    """Run a case and exit with its result: 1 broken, 0 held, 2 not run."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder / 'record.txt')

    async def run() -> int:
        world = World(record)
        try:
            async with asyncio.timeout(110):
                status = await play(world, record, has_trouble)
                for each in (*world.engines, *world.targets):
                    record.line(f'{each.name} ran {len(each.runs)} requests')
                return status
        finally:
            await world.end()

    try:
        status = asyncio.run(run())
    except Exception as error:  # noqa: BLE001 -- the case could not run
        record.line(f'the case could not run: {error!r}')
        status = 2
    record.line(f'result: {status}')
    sys.exit(status)
