"""Target whose answers are cut off inside their heads."""

from __future__ import annotations

import asyncio
import socket
import struct

_BODIES = {
    'length': (b'Content-Length: 9\r\n', b'a record\n'),
    'chunks': (
        b'Transfer-Encoding: chunked\r\n',
        b'f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n',
    ),
    'no_length': (b'', b'a record\n'),
}
FRAMINGS = tuple(_BODIES)


class CutTarget:
    """Target that writes the begin of an answer and ends the connection.

    :ivar framing: how the end of a body is told.
    :ivar cut: number of bytes that are written.
    :ivar is_reset: whether the connection is reset instead of closed.
    :ivar received: number of requests.
    """

    def __init__(self) -> None:
        """Create a target that writes nothing."""
        self.framing = FRAMINGS[0]
        self.cut = 0
        self.is_reset = False
        self.received = 0

    async def start(self) -> tuple[asyncio.Server, str]:
        """Start to listen; return the server and its address."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        ip, port = server.sockets[0].getsockname()[:2]
        return server, f'{ip}:{port}'

    def head(self, request_id: bytes) -> bytes:
        """Return the whole head of an answer."""
        framing, _ = _BODIES[self.framing]
        return b'HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%s%s\r\n' % (
            request_id,
            b'Response-Seal: seal-c\r\n',
            framing,
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            request = await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            writer.close()
            return
        if b' /v1/' in request:
            writer.close()
            return
        self.received += 1
        request_id = request.partition(b'Attempt-Id: ')[2].partition(b'\r')[0]
        answer = self.head(request_id) + _BODIES[self.framing][1]
        writer.write(answer[: self.cut])
        await writer.drain()
        if self.is_reset:
            linger = struct.pack('ii', 1, 0)
            opened = writer.get_extra_info('socket')
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()
