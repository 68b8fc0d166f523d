"""An entry host as a process of its own, before stand-ins of the platform."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import pathlib
import re
import signal
import subprocess  # noqa: S404 -- the entry host as a process
import sys
import tempfile
import time
from typing import TYPE_CHECKING

from aiohttp import web

from nutmegspoke.bench.ports import find_free_ports
from nutmegspoke.platform.boot_settings import SETTINGS_VARIABLE
from nutmegspoke.standins import wire_target
from nutmegspoke.standins.row_store import RowStore
from tests import builders_edge as build

if TYPE_CHECKING:
    from nutmegspoke.standins.wire_target import ReceivedRequest, WireTarget

MEMORY_BYTES = 100_000_000
MAX_DESCRIPTORS = 400
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304
# Size of the answer to paths that end with ``/large``.
LARGE_ANSWER_BYTES = 2_000_000
# Long, for busy machines; a test waits only for events that must occur.
WAIT_S = 30.0
# A client retries a few times, each time on a new connection.
_ATTEMPTS = 4
# Clients wait for at most a third of the time that they have left.
_MAX_PAUSE_S = 5.0
_STEP_S = 0.02
# Descriptors of connections to targets and the store that come and go.
_OTHER_DESCRIPTORS = 16
_LARGE = '/large'

_SETTINGS = """node_name=host-1
ip={ip}
zone=zone-1
listen.front={ip}:{ports[0]}
listen.ready_address={ip}:{ports[1]}
port_range={ports[2]},{ports[2]}
platform.address=127.0.0.1:{ports[3]}
limits.cpu_share=1.0
limits.cores=1
limits.memory_mb={memory_mb}
limits.max_fds={max_fds}
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Resources of a process.

    :param peak_bytes: most memory so far, by the kernel's count.
    :param descriptors: descriptors that are open now.
    """

    peak_bytes: int
    descriptors: int


class LargeAnswers(wire_target.WireTarget):
    """Service with large answers on some paths."""

    async def _run(
        self,
        request: ReceivedRequest,
        own_headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bool:
        if not request.path.endswith(_LARGE):
            return await super()._run(request, own_headers, writer)
        body = bytes(LARGE_ANSWER_BYTES)
        return await wire_target._write_answer(  # noqa: SLF001 -- own kind
            writer, 200, own_headers, body
        )


class System:
    """A store, targets, and an entry host as a process."""

    def __init__(self) -> None:
        """Create a system that is not started yet."""
        self.store = RowStore()
        self.targets: dict[str, WireTarget] = {}
        # The port of the metrics is fixed, so each process has an address.
        process_id = os.getpid()
        self.ip = f'127.{process_id >> 8 & 127}.{process_id & 255}.7'
        self.output = b''

    async def start(self) -> None:
        """Start all parts and wait until the entry host is ready."""
        ports = find_free_ports(4)
        self.port = ports[0]
        self._runner = web.AppRunner(
            self.store.app(), access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', ports[3]).start()
        await self.store.put('op', 'config', _configuration())
        await self._add_target(LargeAnswers('r1', None))
        await self._add_target(LargeAnswers('x1', (0, 40)))
        await self._add_target(LargeAnswers('y1', (40, 80)))
        self._folder = tempfile.TemporaryDirectory()
        self._path = pathlib.Path(self._folder.name)
        settings = self._path / 'boot.conf'
        settings.write_text(
            _SETTINGS.format(
                ip=self.ip,
                ports=ports,
                memory_mb=MEMORY_BYTES // 1_000_000,
                max_fds=MAX_DESCRIPTORS,
            ),
            encoding='utf-8',
        )
        self._log = (self._path / 'log').open('wb')
        self.process = subprocess.Popen(  # noqa: S603 -- fixed arguments
            [sys.executable, '-m', 'nutmegspoke.cmd.entry'],
            env={**os.environ, SETTINGS_VARIABLE: str(settings)},
            stdout=self._log,
            stderr=self._log,
        )
        await self._wait_ready(ports[1])

    async def stop(self) -> None:
        """End the process and the stand-ins."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self._log.close()
        self._folder.cleanup()
        for target in self.targets.values():
            await target.close()
        await self._runner.cleanup()

    def log(self) -> str:
        """Return what the entry host has written."""
        return (self._path / 'log').read_text('utf-8', 'replace')

    def usage(self) -> Usage:
        """Return what the entry host uses.

        :raises FileNotFoundError: if it has ended.
        """
        process = pathlib.Path(f'/proc/{self.process.pid}')
        status = (process / 'status').read_text('ascii')
        peak = re.search(r'^VmHWM:\s+(\d+) kB', status, re.MULTILINE)
        if peak is None:
            raise FileNotFoundError(f'{process}: has ended')
        descriptors = len(list((process / 'fd').iterdir()))
        return Usage(int(peak.group(1)) * 1_024, descriptors)

    async def wait_read(self) -> None:
        """Wait until the entry host has read all that callers sent."""
        last_s = time.monotonic() + WAIT_S
        while self._unread_bytes() and time.monotonic() < last_s:
            await asyncio.sleep(_STEP_S)

    async def wait_released(self, before: Usage) -> int:
        """Wait until connections are gone; return the descriptors left over.

        :param before: use before the connections.
        """
        last_s = time.monotonic() + WAIT_S
        limit = before.descriptors + _OTHER_DESCRIPTORS
        while time.monotonic() < last_s:
            if self.usage().descriptors <= limit:
                return 0
            await asyncio.sleep(_STEP_S)
        return self.usage().descriptors - limit

    async def ask(self, path: str, body: bytes = b'') -> int:
        """Return the status of an ordinary request, as clients send it.

        They retry after a refusal, when its answer allows it; 0 stands for an
        answer that did not come.
        """
        status = 0
        for attempt in range(_ATTEMPTS):
            pause_s = 0.0
            try:
                async with asyncio.timeout(WAIT_S):
                    status, pause_s = await self._ask_once(path, body, attempt)
            except (ConnectionError, TimeoutError, asyncio.IncompleteReadError):
                status = 0
            if status not in {0, 503}:
                break
            await asyncio.sleep(min(pause_s, _MAX_PAUSE_S))
        return status

    async def _ask_once(
        self, path: str, body: bytes, attempt: int
    ) -> tuple[int, float]:
        """Return status and time after which to return, in seconds."""
        reader, writer = await asyncio.open_connection(self.ip, self.port)
        try:
            writer.write(
                request_head(path, f'Content-Length: {len(body)}')
                + b'Attempt-Id: ordinary-%d\r\nConnection: close\r\n\r\n'
                % attempt
            )
            writer.write(body)
            head = await reader.readuntil(b'\r\n\r\n')
            rest = await reader.read()
        finally:
            writer.close()
        status = int(head.split(b' ')[1])
        length = re.search(rb'content-length: (\d+)', head.lower())
        if length and int(length.group(1)) != len(rest):
            return 0, 0.0
        if length is None and not rest.endswith(b'0\r\n\r\n'):
            return 0, 0.0
        pause = re.search(rb'retry-after: ([0-9.]+)', head.lower())
        return status, float(pause.group(1)) if pause else 0.0

    def _unread_bytes(self) -> int:
        """Return the bytes that wait for the entry host in the kernel."""
        octets = bytes(int(part) for part in self.ip.split('.'))
        address = f'{octets[::-1].hex().upper()}:{self.port:04X}'
        unread = 0
        for line in pathlib.Path('/proc/net/tcp').read_text().splitlines():
            fields = line.split()
            if fields[1] == address and fields[3] == '01':
                unread += int(fields[4].partition(':')[2], 16)
            elif fields[2] == address:
                unread += int(fields[4].partition(':')[0], 16)
        return unread

    async def _add_target(self, target: WireTarget) -> None:
        self.targets[target.name] = target
        changes: dict[str, object] = {'service': 'records', 'slots': 40}
        layers = None
        if target.layers is not None:
            changes = {}
            first, end = target.layers
            layers = {'from': first, 'to': end, 'version': 1}
        row = build.wire_server(
            address=await target.start(), zone='a', layers=layers, **changes
        )
        await self.store.put('servers', target.name, row)

    async def _wait_ready(self, port: int) -> None:
        async with asyncio.timeout(WAIT_S):
            while not await self._is_ready(port):
                await asyncio.sleep(_STEP_S)

    async def _is_ready(self, port: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.ip, port)
        except ConnectionError:
            return False
        writer.write(b'GET /v1/readyz HTTP/1.1\r\nConnection: close\r\n\r\n')
        try:
            answer = await reader.read()
        finally:
            writer.close()
        return answer.startswith(b'HTTP/1.1 200')


def request_head(path: str, *lines: str) -> bytes:
    """Return the head of a proper request, without the empty line."""
    head = (
        f'POST {path} HTTP/1.1',
        f'Host: {build.HOST_NAME}',
        f'Key: {build.KEY}',
        'Deadline-Ms: 20000',
        'Token-Counts: 700,300',
        *lines,
        '',
    )
    return '\r\n'.join(head).encode()


def _configuration() -> bytes:
    """Return a configuration under which no time runs out in a test."""
    routes = [{**route, 'timeout_ms': 20_000} for route in build.wire_routes()]
    limits = {
        'max_header_bytes': MAX_HEADER_BYTES,
        'max_body_bytes': MAX_BODY_BYTES,
        'header_timeout_ms': 120_000,
        'idle_timeout_ms': 120_000,
    }
    return build.wire_configuration(routes=routes, limits=limits)
