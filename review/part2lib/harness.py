"""Stand-ins of the platform, servers and clients for the cases 6 to 10.

It uses the standard library only. All addresses are loopback addresses, and
the clock is the real one.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
BORN_MS = 1_780_000_000_000


class CannotRunError(Exception):
    """The case can't run here; this says nothing about the rule."""


class Record:
    """The file ``record.txt`` of a case, with the time of each line."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._start_s

    def line(self, text: str) -> None:
        self._file.write(f'{self.now_s():8.3f} {text}\n')
        self._file.flush()

    def close(self) -> None:
        self._file.close()


def free_ip(ports: tuple[int, ...]) -> str:
    """Return a loopback address on which these ports are free."""
    for _ in range(200):
        ip = f'127.{random.randint(10, 250)}.{random.randint(0, 250)}.' + str(
            random.randint(2, 250)
        )
        try:
            for port in ports:
                with socket.socket() as tried:
                    tried.bind((ip, port))
        except OSError:
            continue
        return ip
    raise CannotRunError('no free loopback address')


# ---------------------------------------------------------------- HTTP


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    headers = {}
    for line in lines:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, str, dict[str, str], bytes]:
    first, headers = await read_head(reader)
    method, target, _ = first.split(' ')
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return method, target, headers, body


def encode_answer(
    status: int, headers: dict[str, str], body: bytes, reason: str = 'X'
) -> bytes:
    lines = [f'HTTP/1.1 {status} {reason}']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as a process does that crashes in its work."""
    connection = writer.get_extra_info('socket')
    if connection is not None and not writer.transport.is_closing():
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


class Server:
    """An HTTP server of a stand-in; ``answer`` writes to the connection."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ''

    async def start(self, ip: str = '127.0.0.1', port: int = 0) -> str:
        self._server = await asyncio.start_server(self._serve, ip, port)
        ip, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{ip}:{port}'
        return self.address

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.answer(*request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        raise NotImplementedError


# --------------------------------------------------------------- store


class Store(Server):
    """The platform's store: rows, transactions and feeds.

    Rows of servers expire after three heartbeats without one.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.era = 1
        self.ver = 0
        self.rows: dict[tuple[str, str, str], tuple[int, str]] = {}
        self.history: list[dict[str, Any]] = []
        self.beats: dict[str, float] = {}
        self.is_away = False
        self._changed = asyncio.Condition()
        self._expiry: asyncio.Task[None] | None = None

    async def start(self, ip: str = '127.0.0.1', port: int = 0) -> str:
        self._expiry = asyncio.create_task(self._expire())
        return await super().start(ip, port)

    async def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write or remove a row, as the operator or a server does."""
        self.ver += 1
        self._apply(table, '', key, value)
        async with self._changed:
            self._changed.notify_all()

    async def beat(self, name: str, value: bytes) -> None:
        """Take the heartbeat of a server; the row changes if it differs."""
        if self.is_away:
            return
        self.beats[name] = time.monotonic()
        known = self.rows.get(('servers', '', name))
        if known is None or base64.b64decode(known[1]) != value:
            await self.put('servers', name, value)

    async def forget(self, name: str) -> None:
        """Remove the row of a server that leaves."""
        self.beats.pop(name, None)
        if ('servers', '', name) in self.rows:
            await self.put('servers', name, None)

    def copy(self) -> tuple[Any, ...]:
        return self.ver, dict(self.rows), list(self.history), dict(self.beats)

    async def go_away(self) -> None:
        """Answer nothing and end all connections."""
        self.is_away = True
        for writer in tuple(self._writers):
            reset(writer)

    async def come_back_from(self, copy: tuple[Any, ...]) -> None:
        """Continue from a copy; heartbeats count from now on."""
        self.era += 1
        self.ver, rows, history, beats = copy
        self.rows, self.history = dict(rows), list(history)
        self.beats = dict.fromkeys(beats, time.monotonic())
        self.is_away = False
        async with self._changed:
            self._changed.notify_all()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            if self.is_away:
                continue
            limit_s = time.monotonic() - 3 * HEARTBEAT_S
            for name, beat_s in tuple(self.beats.items()):
                if beat_s < limit_s:
                    self.record.line(f'store: entry of {name} has expired')
                    await self.forget(name)

    def _apply(
        self, table: str, part: str, key: str, value: bytes | None
    ) -> None:
        change: dict[str, Any] = {
            'table': table,
            'part': part,
            'key': key,
            'ver': self.ver,
        }
        if value is None:
            self.rows.pop((table, part, key), None)
            change['removed'] = True
        else:
            text = base64.b64encode(value).decode()
            self.rows[table, part, key] = (self.ver, text)
            change['value'] = text
        self.history.append(change)

    def _row(self, name: tuple[str, str, str]) -> dict[str, Any]:
        ver, text = self.rows[name]
        table, part, key = name
        return {
            'table': table,
            'part': part,
            'key': key,
            'value': text,
            'ver': ver,
        }

    async def answer(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if self.is_away:
            reset(writer)
            return False
        path, _, query_text = target.partition('?')
        query = dict(
            part.split('=', 1) for part in query_text.split('&') if part
        )
        query = {name: _unquote(text) for name, text in query.items()}
        era = self.era
        await asyncio.sleep(STORE_ANSWER_S)
        if path == '/v1/rows-get':
            status, found = 200, self._get(query)
        elif path == '/v1/rows-feed':
            status, found = await self._feed(query, era)
        elif path == '/v1/rows-tx':
            status, found = await self._transact(json.loads(body))
        else:
            status, found = 404, {}
        if self.is_away or (self.era != era and path == '/v1/rows-feed'):
            reset(writer)
            return False
        answer = {'ver': self.ver, 'now_ms': int(time.monotonic() * 1e3)}
        answer.update(found)
        writer.write(
            encode_answer(
                status,
                {
                    'Content-Type': 'application/json',
                    'Store-Era': str(self.era),
                },
                json.dumps(answer).encode(),
            )
        )
        await writer.drain()
        return True

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        limit = min(500, int(query.get('limit', '500')))
        names = sorted(
            name
            for name in self.rows
            if name[0] == query['table']
            and name[1] == query.get('part', '')
            and name[2] >= query.get('from', '')
            and ('to' not in query or name[2] < query['to'])
        )
        rows = [self._row(name) for name in names[:limit]]
        return {'rows': rows, 'truncated': len(names) > limit}

    async def _feed(
        self, query: dict[str, str], era: int
    ) -> tuple[int, dict[str, Any]]:
        after = int(query['after'])
        if after > self.ver:
            return 410, {}
        wait_s = int(query.get('wait_ms', '0')) / 1e3

        def changes() -> list[dict[str, Any]]:
            return [
                change
                for change in self.history
                if change['table'] == query['table'] and change['ver'] > after
            ]

        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(
                        lambda: bool(changes()) or self.era != era
                    )
            except TimeoutError:
                pass
        return 200, {'rows': changes()}

    async def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for entry in (*call.get('writes', ()), *call.get('remove', ())):
            if entry['table'] in {'op', 'servers'}:
                return 403, {}
        expected = call.get('precondition', ())
        for entry in expected:
            found = self.rows.get(_name(entry), (0, ''))
            if found[0] != entry['ver']:
                names = [_name(other) for other in expected]
                rows = [self._row(name) for name in names if name in self.rows]
                return 412, {'rows': rows}
        self.ver += 1
        for entry in call.get('writes', ()):
            value = base64.b64decode(entry['value'])
            self._apply(*_name(entry), value)
        for entry in call.get('remove', ()):
            self._apply(*_name(entry), None)
        async with self._changed:
            self._changed.notify_all()
        return 200, {}


def _name(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry['table'], entry.get('part', ''), entry['key']


def _unquote(text: str) -> str:
    from urllib.parse import unquote_plus

    return unquote_plus(text)


# ------------------------------------------------------------- servers


class Target(Server):
    """A plain server that registers itself and beats."""

    def __init__(
        self, name: str, service: str, store: Store, record: Record
    ) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.store = store
        self.record = record
        self.born = BORN_MS + random.randint(1, 10**6)
        self.state = 'ready'
        self.is_registered = True
        self.is_leaving = False
        self.slots = 6
        self.running = 0
        self._beats: asyncio.Task[None] | None = None

    def row(self) -> bytes:
        return json.dumps(
            {
                'service': self.service,
                'address': self.address,
                'zone': 'pnw-a',
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'cold_left_ms': 0,
                'born': self.born,
            }
        ).encode()

    async def start(self, ip: str = '127.0.0.1', port: int = 0) -> str:
        address = await super().start(ip, port)
        self._beats = asyncio.create_task(self._beat())
        return address

    def stop(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
        super().stop()

    async def _beat(self) -> None:
        while True:
            if self.is_registered:
                await self.store.beat(self.name, self.row())
            await asyncio.sleep(HEARTBEAT_S if not self.store.is_away else 0.3)

    def own_headers(self, headers: dict[str, str]) -> dict[str, str]:
        own = {
            'Attempt-Id': headers.get('attempt-id', ''),
            'Instance-Id': self.name,
            'Server-Load': f'{self.running},0,{self.slots}',
        }
        if self.is_leaving:
            own['Server-Leaving'] = '1'
        return own

    async def answer(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        own = self.own_headers(headers)
        if target == '/healthz':
            writer.write(encode_answer(200, own, b''))
            await writer.drain()
            return True
        expected = headers.get('expect-instance')
        if expected is not None and expected != self.name:
            writer.write(
                encode_answer(421, {**own, 'Not-Executed': '1'}, b'')
            )
            await writer.drain()
            return True
        self.running += 1
        try:
            return await self.run(
                method, target, headers, body, reader, writer
            )
        finally:
            self.running -= 1

    async def run(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        raise NotImplementedError

    def seal(self, headers: dict[str, str]) -> str:
        return f'seal.{self.name}.{headers.get("attempt-id", "")}'


# -------------------------------------------------------------- daemon


def deploy_run() -> list[str]:
    """Return the command of the deploy file."""
    import tomllib

    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    (role,) = deploy['roles'].values()
    return role['run'].split()


class Daemon:
    """A process of the project, started with the deploy file's command."""

    def __init__(
        self, name: str, store_address: str, folder: pathlib.Path, **changes: str
    ) -> None:
        self.name = name
        self.front_port, self.ready_port = 8227, 8220
        self.ip = free_ip(
            (self.front_port, self.ready_port, 7340, 9100, 8229)
        )
        self.address = f'{self.ip}:{self.front_port}'
        self._folder = folder
        self._settings = folder / f'{name}.conf'
        self._log = folder / f'{name}.log'
        values = {
            'node_name': name,
            'role': 'router',
            'machine_class': 'front',
            'serves': 'front',
            'ip': self.ip,
            'zone': 'pnw-a',
            'region': 'pnw',
            'zones.pnw-a': 'pnw',
            'listen.front': self.address,
            'listen.ready_address': f'{self.ip}:{self.ready_port}',
            'port_range': '7340,7355',
            'bootstrap': 'true',
            'counts_as_loss': 'false',
            'limits.cpu_share': '0.537',
            'limits.cores': '2',
            'limits.memory_mb': '300',
            'limits.max_fds': '4100',
            'limits.link_mbps': '1000.0',
            'limits.disk_mb': '0',
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeat_ms': '1200',
            'contracts': 'base,drain,config,cost,retry,recover,engine,stream,'
            'tenants,platform,layers',
            'bounds.stable_window_ms': '3000',
            'bounds.drain_ms': '2000',
            'bounds.grace_s': '8',
            'bounds.config_apply_ms': '2000',
            'bounds.retry_ratio': '0.2',
            'bounds.retry_window_s': '10',
            'bounds.retry_slack': '202',
            'platform.address': store_address,
            'platform.form': 'table',
        }
        values.update(changes)
        self._settings.write_text(
            ''.join(f'{name}={text}\n' for name, text in values.items())
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['NUTMEGSPOKE_SETTINGS'] = str(self._settings)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                deploy_run(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def until_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until the readiness page answers 200."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if self.process is not None and self.process.poll() is not None:
                raise CannotRunError(f'{self.name} has ended: {self.log_tail()}')
            try:
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ready_port
                )
                writer.write(b'GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                first, _ = await read_head(reader)
                writer.close()
                if ' 200 ' in f'{first} ':
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRunError(f'{self.name} is not ready: {self.log_tail()}')

    def log_tail(self) -> str:
        return self._log.read_text(errors='replace')[-1500:]

    def log_lines(self, word: str) -> list[str]:
        text = self._log.read_text(errors='replace')
        return [line for line in text.splitlines() if word in line]

    def end(self) -> None:
        if self.process is None or self.process.poll() is not None:
            return
        self.process.kill()
        self.process.wait()


# -------------------------------------------------------------- clients


class ClientAnswer:
    """What a client received.

    :ivar status: 0 if no head was received.
    :ivar is_whole: whether the answer is complete.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.is_whole = False


async def send(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 25.0,
    stop_after: int | None = None,
) -> ClientAnswer:
    """Send a request on a new connection and read its answer.

    :param stop_after: bytes of the body after which the connection is reset.
    """
    answer = ClientAnswer()
    ip, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST_NAME}']
                lines.extend(f'{name}: {text}' for name, text in headers.items())
                if body or method != 'GET':
                    lines.append(f'Content-Length: {len(body)}')
                head = '\r\n'.join((*lines, '', '')).encode('latin-1')
                writer.write(head + body)
                first, answer.headers = await read_head(reader)
                answer.status = int(first.split(' ')[1])
                await _read_body(reader, answer, stop_after)
            finally:
                reset(writer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    return answer


async def _read_body(
    reader: asyncio.StreamReader, answer: ClientAnswer, stop_after: int | None
) -> None:
    if 'chunked' not in answer.headers.get('transfer-encoding', ''):
        left = int(answer.headers.get('content-length', '0'))
        while left:
            part = await reader.read(min(left, 64))
            if not part:
                return
            answer.body += part
            left -= len(part)
            if stop_after is not None and len(answer.body) >= stop_after:
                return
        answer.is_whole = True
        return
    while True:
        size = int((await reader.readuntil(b'\r\n')).strip(), 16)
        answer.body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            answer.is_whole = True
            return
        if stop_after is not None and len(answer.body) >= stop_after:
            return


# ------------------------------------------------------------- frame


def configuration(
    routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> bytes:
    return json.dumps(
        {
            'version': 7,
            'routes': routes,
            'services': services,
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 4194304,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
            'tenants': [
                {'name': 'hule930', 'api_keys': [KEY], 'priority': 1}
            ],
        }
    ).encode()


def plain_service(name: str) -> dict[str, Any]:
    return {
        'name': name,
        'health_path': '/healthz',
        'max_conns': 110,
        'protocol': 'h1',
        'tls': False,
    }


def run_case(case: Any, folder: pathlib.Path) -> None:
    """Run ``case(record, folder, trouble)`` and exit with its verdict.

    It returns whether the rule held.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder / 'record.txt')
    record.line(f'the case runs {"with" if trouble else "without"} trouble')
    code = 2
    try:
        with tempfile.TemporaryDirectory() as scratch:
            held = asyncio.run(
                asyncio.wait_for(
                    case(record, pathlib.Path(scratch), trouble), 115
                )
            )
        code = 0 if held else 1
        record.line('the rule held' if held else 'the rule was broken')
    except (CannotRunError, TimeoutError, AssertionError) as error:
        record.line(f'the case could not run: {error!r}')
        print(f'the case could not run: {error!r}', file=sys.stderr)
    finally:
        record.close()
    sys.exit(code)


def send_signal(daemon: Daemon, number: signal.Signals) -> None:
    assert daemon.process is not None
    daemon.process.send_signal(number)
