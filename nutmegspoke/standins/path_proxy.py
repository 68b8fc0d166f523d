"""TCP proxy on a path whose open connections can go mute."""

from __future__ import annotations

import asyncio
from typing import Any

from nutmegspoke.standins.tasks import end_tasks, track_current

_CHUNK_BYTES = 65_536


class PathProxy:
    """Proxy that forwards connections to one address.

    :ivar opened: number of connections opened so far.
    """

    def __init__(self, address: str) -> None:
        """Create a proxy for ``IP:PORT`` that is not started yet."""
        ip, _, port = address.rpartition(':')
        self._target = (ip, int(port))
        self.opened = 0
        self._pairs: list[_Pair] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Start to listen on the loopback address.

        :returns: address as ``IP:PORT``.
        """
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        ip, port = self._server.sockets[0].getsockname()[:2]
        return f'{ip}:{port}'

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for pair in self._pairs:
            pair.abort()
        await end_tasks(self._tasks)

    def mute_open(self) -> None:
        """Deliver nothing more on the connections that are open now.

        Neither end sees them closed; new connections work.
        """
        for pair in self._pairs:
            pair.is_mute = True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        track_current(self._tasks)
        self.opened += 1
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair((writer, far_writer))
        self._pairs.append(pair)
        await asyncio.gather(
            pair.forward(reader, far_writer), pair.forward(far_reader, writer)
        )
        pair.abort()
        self._pairs.remove(pair)


class _Pair:
    """The two connections of one forwarded connection."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, ...]) -> None:
        self._writers = writers
        self.is_mute = False

    def abort(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def forward(self, reader: asyncio.StreamReader, writer: Any) -> None:
        """Forward bytes until one of the ends closes."""
        try:
            while received := await reader.read(_CHUNK_BYTES):
                if not self.is_mute:
                    writer.write(received)
        except ConnectionError:
            pass  # noqa: WPS420 -- an end has closed
        self.abort()
