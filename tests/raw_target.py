"""Target that breaks an HTTP exchange at a chosen point."""

from __future__ import annotations

import asyncio
import dataclasses

_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n'
_ANSWERS = {
    'half_head': b'HTTP/1.1 200 OK\r\nConte',
    'half_body': _HEAD + b'12345',
    'half_body_cut': _HEAD + b'12345',
    'whole': _HEAD + b'1234567890',
    'no_http': b'220 mail ready\r\n',
    'redirect': (
        b'HTTP/1.1 307 Go\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n'
    ),
    'refusal': (
        b'HTTP/1.1 503 No\r\nNutmegspoke-Executed: no\r\n'
        b'Retry-After: 7\r\nContent-Length: 0\r\n\r\n'
    ),
    'odd_status': b'HTTP/1.1 000 Odd\r\nContent-Length: 3\r\n\r\nodd',
    'bare_503': b'HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n',
}
_REFUSALS = {'refusal'}


@dataclasses.dataclass
class RawTarget:
    """Target with one fault for all calls; its load report has no fault.

    ``reset_at_once`` resets the connection before reading, ``reset_mid_body``
    after half of the body and ``reset_after_run`` after the call ran.
    ``silent`` sends nothing after the call ran. Other faults are keys of
    ``_ANSWERS``: the bytes that are sent after the call ran.

    :param fault: name of the fault; ``whole`` for none.
    :param heads: heads of the received calls.
    :param run_count: number of calls that ran.
    :param address: ``HOST:PORT``, once started.
    """

    fault: str = 'whole'
    heads: list[bytes] = dataclasses.field(default_factory=list)
    run_count: int = 0
    address: str = ''

    async def start(self) -> asyncio.Server:
        """Start to listen on a free port; set ``address``."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return server

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while await self._exchange(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if self.fault == 'reset_at_once':
            writer.transport.abort()
            return False
        head = await reader.readuntil(b'\r\n\r\n')
        if head.startswith(b'GET /v1/load '):
            writer.write(_ANSWERS['whole'])
            return True
        self.heads.append(head)
        size = _content_length(head)
        if self.fault == 'reset_mid_body':
            await reader.readexactly(size // 2)
            writer.transport.abort()
            return False
        await reader.readexactly(size)
        self.run_count += self.fault not in _REFUSALS
        return await self._answer(reader, writer)

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if self.fault == 'reset_after_run':
            writer.transport.abort()
            return False
        writer.write(_ANSWERS.get(self.fault, b''))
        if self.fault in {'silent', 'half_head', 'half_body'}:
            await reader.read()
        return self.fault == 'whole'


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return int(line.partition(b':')[2])
    return 0
