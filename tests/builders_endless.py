"""Answers without end, for tests of limits on what a target may send."""

from __future__ import annotations

import asyncio
import dataclasses
from types import MappingProxyType

_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _OK + b'Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n'
_PIECE_BYTES = 65_536
_STRAY = _OK + b'Id: 2\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class EndlessAnswer:
    """Bytes of an answer that never ends.

    :param start: bytes that are sent once.
    :param repeated: bytes that follow again and again.
    """

    start: bytes
    repeated: bytes


ENDLESS_ANSWERS = MappingProxyType(
    {
        'noise': EndlessAnswer(b'', b'\x00\x01'),
        'empty lines': EndlessAnswer(b'', b'\r\n'),
        'status line': EndlessAnswer(b'HTTP/1.1 200 ', b'x'),
        'header line': EndlessAnswer(_OK + b'A: ', b'x'),
        'header name': EndlessAnswer(_OK, b'x'),
        'headers': EndlessAnswer(_OK, b'A: b\r\n'),
        'interim answers': EndlessAnswer(b'', b'HTTP/1.1 100 C\r\n\r\n'),
        'chunk size': EndlessAnswer(_CHUNKED, b'0'),
        'chunk extension': EndlessAnswer(_CHUNKED + b'1;', b'x'),
        'trailers': EndlessAnswer(_CHUNKED + b'0\r\n', b'A: b\r\n'),
        'trailer line': EndlessAnswer(_CHUNKED + b'0\r\nA: ', b'x'),
        'stray answers': EndlessAnswer(
            b'', _STRAY + b'Content-Length: 0\r\n\r\n'
        ),
        'stray body': EndlessAnswer(_STRAY + b'\r\n', b'x'),
        'stray chunks': EndlessAnswer(
            _STRAY + b'Transfer-Encoding: chunked\r\n\r\n', b'1\r\nx\r\n'
        ),
    }
)

_SEALED = _OK + b'Response-Seal: s\r\n'
# Further answers as the users' targets send them.
ENDLESS_CALL_ANSWERS = MappingProxyType(
    {
        **ENDLESS_ANSWERS,
        'body': EndlessAnswer(_SEALED + b'\r\n', b'x'),
        'chunks': EndlessAnswer(
            _SEALED + b'Transfer-Encoding: chunked\r\n\r\n', b'4\r\nbody\r\n'
        ),
        'long body': EndlessAnswer(
            _SEALED + b'Content-Length: 99999999999\r\n\r\n', b'x'
        ),
    }
)


class EndlessTarget:
    """Target that sends an answer without end to each request.

    :ivar has_ended: set when the other side has closed a connection.
    """

    def __init__(self) -> None:
        """Create a target that is not started yet."""
        self.answer = ENDLESS_ANSWERS['noise']
        self.address = ''
        self.has_ended = asyncio.Event()

    async def start(self) -> asyncio.Server:
        """Start to listen on a free port; set ``address``."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        ip, port = server.sockets[0].getsockname()[:2]
        self.address = f'{ip}:{port}'
        return server

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        answer = self.answer
        repeated = answer.repeated * (_PIECE_BYTES // len(answer.repeated))
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer.start)
            while True:
                writer.write(repeated)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            self.has_ended.set()
        finally:
            writer.close()
