"""Stand-ins and daemons of a small deployment, for the scripts of this review.

Only the standard library is used. The store, the engines and the clients run in
the process of the script; the daemons are processes, started by the command of
``deploy/system.toml``.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'desk.example'
KEY = 'key-1'
DRAIN_S = 2.0
_BEAT_S = 1.2


def is_troubled():
    """Return whether the script runs with the disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self._start_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._start_s

    def say(self, text):
        line = f'{self.now_s():8.3f}  {text}'
        print(line, file=self._file, flush=True)


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """Return the first line and the headers of a message, names in lower case."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the body of a message with a length or chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', '0')))


def encode(status, headers, body):
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


class Server:
    """Base of the stand-ins: one request at a time on each connection."""

    def __init__(self, ip='127.0.0.1'):
        self.ip = ip
        self._server = None
        self._writers = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, self.ip, port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self.ip}:{self.port}'
        return self.address

    def stop(self):
        """Stop listening and reset all connections, as when a process ends."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(' ')
                if not await self.answer(
                    method, target, headers, body, reader, writer
                ):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: rows, transactions and feeds."""

    def __init__(self):
        super().__init__()
        self.ver = 0
        self.rows = {}
        self.history = []
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Write a row as the operator or an engine does; None removes it."""
        self.ver += 1
        self._apply(table, key, value)
        self._wake()

    def put_json(self, table, key, content):
        self.put(table, key, json.dumps(content).encode())

    def _apply(self, table, key, value):
        row = {'table': table, 'part': '', 'key': key, 'ver': self.ver}
        if value is None:
            self.rows.pop((table, key), None)
            self.history.append(row | {'removed': True})
        else:
            row['value'] = base64.b64encode(value).decode()
            self.rows[table, key] = row
            self.history.append(row)

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, method, target, headers, body, reader, writer):
        path, _, query_text = target.partition('?')
        query = dict(re.findall(r'([^=&]+)=([^&]*)', query_text))
        status, content = 404, {}
        if path == '/v1/rows-get':
            first = query.get('from', '').replace('%00', '\0')
            rows = [
                row
                for (table, key), row in sorted(self.rows.items())
                if table == query['table'] and key >= first
            ]
            limit = min(500, int(query.get('limit', '500')))
            status = 200
            content = {'rows': rows[:limit], 'truncated': len(rows) > limit}
        elif path == '/v1/rows-feed':
            status, content = 200, {'rows': await self._feed(query)}
        elif path == '/v1/rows-tx':
            status, content = self._transact(json.loads(body))
        content |= {'ver': self.ver, 'now_ms': int(time.monotonic() * 1000)}
        writer.write(
            encode(
                status,
                {'Content-Type': 'application/json', 'Store-Era': '1'},
                json.dumps(content).encode(),
            )
        )
        await writer.drain()
        return True

    async def _feed(self, query):
        after = int(query['after'])
        end_s = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        while True:
            rows = [
                row
                for row in self.history
                if row['table'] == query['table'] and row['ver'] > after
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return rows
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, call):
        for row in call['precondition']:
            found = self.rows.get((row['table'], row['key']))
            if (found['ver'] if found else 0) != row['ver']:
                keys = [(r['table'], r['key']) for r in call['precondition']]
                rows = [self.rows[key] for key in keys if key in self.rows]
                return 412, {'rows': rows}
        for row in call['writes']:
            if row['table'] in {'op', 'servers'}:
                return 403, {}
        self.ver += 1
        for row in call['writes']:
            self._apply(row['table'], row['key'], base64.b64decode(row['value']))
        for row in call['remove']:
            self._apply(row['table'], row['key'], None)
        self._wake()
        return 200, {}


class Engine(Server):
    """An engine of a plain service, which registers itself in the store.

    :ivar work_s: time for which a request runs.
    :ivar arrived: id and time of each request that reached it.
    :ivar ran: ids of the requests that it began to run.
    """

    def __init__(self, record, store, name, zone='z-a', service='records'):
        super().__init__()
        self.record = record
        self.store = store
        self.name = name
        self.zone = zone
        self.service = service
        self.work_s = 0.06
        self.slots = 6
        self.state = 'ready'
        self.is_leaving = False
        self.arrived = []
        self.ran = []
        self.completed = []
        self.active = 0
        self._seq = itertools.count(1)
        self._beats = None
        self.born = int(time.time() * 1000)

    async def join(self):
        await self.start()
        self._beats = asyncio.create_task(self._beat())
        self.record.say(f'engine {self.name} at {self.address} is ready')

    def entry(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'seq_no': next(self._seq),
            'born': self.born,
        }

    async def _beat(self):
        while True:
            self.store.put_json('servers', self.name, self.entry())
            await asyncio.sleep(_BEAT_S)

    def drain(self):
        """Report that it leaves; the store accepts the report at once."""
        self.state = 'draining'
        self.is_leaving = True
        self.store.put_json('servers', self.name, self.entry())
        self.record.say(
            f'engine {self.name} reports draining, the store accepts it'
        )

    def leave(self):
        """Exit after the time to drain."""
        self._beats.cancel()
        self.store.put('servers', self.name, None)
        self.stop()
        self.record.say(f'engine {self.name} exits; {self.active} requests ran')

    def retire(self):
        """Leave without a report: only the entry goes, requests are served."""
        self._beats.cancel()
        self.store.put('servers', self.name, None)
        self.record.say(f'engine {self.name} leaves, its entry is removed')

    def own_headers(self, headers):
        own = {
            'Attempt-Id': headers.get('attempt-id', ''),
            'Server-Load': f'{self.active},0,{self.slots}',
        }
        if self.is_leaving:
            own |= {'Server-Leaving': '1', 'Connection': 'close'}
        return own

    async def answer(self, method, target, headers, body, reader, writer):
        own = self.own_headers(headers)
        name = headers.get('attempt-id', '')
        if headers.get('expect-instance', self.name) != self.name:
            writer.write(encode(421, own | {'Instance-Id': self.name}, b''))
            await writer.drain()
            return True
        if not name:
            writer.write(encode(400, {'Not-Executed': '1'}, b''))
            await writer.drain()
            return True
        self.arrived.append((name, self.record.now_s()))
        self.record.say(f'{name} reaches {self.name}, {method} {target}')
        if self.active >= self.slots:
            writer.write(encode(503, own | {'Not-Executed': '1'}, b''))
            await writer.drain()
            return True
        return await self.run(name, method, headers, body, reader, writer)

    async def run(self, name, method, headers, body, reader, writer):
        self.ran.append(name)
        self.record.say(f'{name} runs at {self.name}')
        self.active += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.active -= 1
        self.completed.append(name)
        self.record.say(f'{name} ends at {self.name}, answered 200')
        own = self.own_headers(headers)
        content = f'{name} by {self.name}'.encode()
        own['Response-Seal'] = f'seal.{name}.{len(content)}'
        writer.write(encode(200, own, content))
        await writer.drain()
        return not self.is_leaving


class Proxy:
    """A path to one address that can be cut: nothing passes, nothing closes."""

    def __init__(self, address, ip='127.0.0.1'):
        host, _, port = address.rpartition(':')
        self._target = (host, int(port))
        self._ip = ip
        self.is_cut = False
        self.passed = 0
        self._pairs = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self._ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        return f'{self._ip}:{port}'

    def cut(self):
        self.is_cut = True

    def heal(self):
        """Let new connections pass; those of before are reset."""
        self.is_cut = False
        for writers in tuple(self._pairs):
            for writer in writers:
                writer.transport.abort()

    def stop(self):
        if self._server is not None:
            self._server.close()
        for writers in tuple(self._pairs):
            for writer in writers:
                writer.transport.abort()

    async def _serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self._pairs.add(pair)
        await asyncio.gather(
            self._forward(reader, far_writer), self._forward(far_reader, writer)
        )
        self._pairs.discard(pair)

    async def _forward(self, reader, writer):
        try:
            while received := await reader.read(65536):
                while self.is_cut:
                    await asyncio.sleep(0.05)
                self.passed += len(received)
                writer.write(received)
                await writer.drain()
        except ConnectionError:
            pass
        writer.transport.abort()


class Daemon:
    """A daemon, started by the command of the deploy file."""

    def __init__(self, record, number, store_address, folder, zone='z-a', **more):
        self.record = record
        self.name = f'front-{number}'
        self.zone = zone
        self.ip = f'127.{os.getpid() % 200 + 20}.{number // 200}.{number % 200 + 1}'
        self.port = free_port(self.ip)
        self.ready_port = free_port(self.ip)
        first = free_port(self.ip)
        settings = {
            'node_name': self.name,
            'role': 'router',
            'machine_class': 'front',
            'serves': 'front',
            'ip': self.ip,
            'zone': zone,
            'region': 'r',
            'listen.front': f'{self.ip}:{self.port}',
            'listen.ready_address': f'{self.ip}:{self.ready_port}',
            'port_range': f'{first},{first + 15}',
            'bootstrap': 'true',
            'limits.cpu_share': '0.537',
            'limits.cores': '2',
            'limits.memory_mb': '300',
            'limits.max_fds': '4100',
            'limits.link_mbps': '1000.0',
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeat_ms': '1200',
            'bounds.stable_window_ms': '3000',
            'bounds.drain_ms': '2000',
            'bounds.grace_s': '8',
            'bounds.config_apply_ms': '2000',
            'bounds.retry_ratio': '0.2',
            'bounds.retry_window_s': '10',
            'bounds.retry_slack': '202',
            'platform.address': store_address,
            'platform.form': 'table',
        } | more
        self._settings = pathlib.Path(folder) / f'{self.name}.conf'
        self._settings.write_text(
            ''.join(f'{name}={text}\n' for name, text in settings.items())
        )
        self._log = open(pathlib.Path(folder) / f'{self.name}.log', 'ab')
        self.process = None

    async def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        (role,) = deploy['roles'].values()
        command = role['run'].split(' ')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= {
            'NUTMEGSPOKE_SETTINGS': str(self._settings),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )
        self.record.say(f'daemon {self.name} starts, pid {self.process.pid}')

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ready_port
                )
                writer.write(b'GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n')
                first, _ = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return ' 200 ' in first

    async def until_ready(self, limit_s=30):
        async with asyncio.timeout(limit_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)
        self.record.say(f'daemon {self.name} is ready')

    def send_signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.record.say(f'daemon {self.name} gets {number.name}')
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        self._log.close()


class Reply:
    """What a client got: status 0 stands for a connection without an answer."""

    def __init__(self, name, status=0, headers=None, body=b'', is_whole=False):
        self.name = name
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_whole = is_whole
        self.answered_s = 0.0


async def call(
    record, daemon, name, path, method='POST', body=b'', deadline_ms=3000, **more
):
    """Send a request as a client, on a new connection."""
    headers = {
        'Host': HOST,
        'Attempt-Id': name,
        'Deadline-Ms': str(deadline_ms),
        'Key': KEY,
    } | {key.replace('_', '-'): text for key, text in more.items()}
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{key}: {text}' for key, text in headers.items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    request = '\r\n'.join((*lines, '', '')).encode() + body
    record.say(f'{name} sent to {daemon.name}, {method} {path}')
    reply = Reply(name)
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            reader, writer = await asyncio.open_connection(daemon.ip, daemon.port)
            writer.write(request)
            first, reply.headers = await read_head(reader)
            reply.status = int(first.split(' ')[1])
            reply.body = await read_body(reader, reply.headers)
            reply.is_whole = True
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.say(f'{name} client: {error!r}')
    finally:
        if writer is not None:
            writer.close()
    reply.answered_s = record.now_s()
    seal = reply.headers.get('response-seal', 'none')
    record.say(f'{name} client gets {reply.status}, seal {seal}')
    return reply


def route(name, prefix, kind, service, **more):
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'route_kind': kind,
        'timeout_ms': 3000,
        'goal_ms': 300,
        'priority': 1,
        'service': service,
        'max_attempts': 1 if kind == 'non_idempotent' else 2,
        'public': False,
    } | more


def configuration(version=1, **more):
    """Return a configuration with a route of sends and one of reads."""
    return {
        'version': version,
        'routes': [
            route('sends', '/sends/', 'non_idempotent', 'records'),
            route('reads', '/reads/', 'idempotent', 'records'),
        ],
        'services': [
            {
                'name': 'records',
                'health_path': '/healthz',
                'max_conns': 110,
                'protocol': 'h1',
                'tls': False,
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'team-1', 'api_keys': [KEY], 'priority': 1}],
    } | more


def main(case, folder):
    """Run a case; exit with 1 if the rule was broken, 2 if it could not run.

    :param case: coroutine function of a record and a temporary folder, which
        returns whether the rule held.
    """
    record = Record(folder)
    try:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                has_held = asyncio.run(
                    asyncio.wait_for(case(record, temporary), 110)
                )
            finally:
                if os.environ.get('KEEP_LOGS'):
                    for log in pathlib.Path(temporary).glob('*.log'):
                        target = pathlib.Path(os.environ['KEEP_LOGS'])
                        (target / log.name).write_bytes(log.read_bytes())
    except Exception as error:
        record.say(f'the case could not run: {error!r}')
        sys.exit(2)
    record.say('the rule held' if has_held else 'the rule was broken')
    sys.exit(0 if has_held else 1)
