"""A crowd of clients that stay outside the limits and read nothing."""

from __future__ import annotations

import asyncio
import dataclasses
import socket

_PIECE_BYTES = 65_536
# A crowd that is neither done nor cut off by then is left as it is.
_SEND_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Flood:
    """What one client sends before it stays open.

    :param start: bytes that are sent once.
    :param repeated: bytes that follow.
    :param times: how often they follow.
    :param end: bytes at the end.
    :param is_half_closed: whether the client closes its side then.
    """

    start: bytes = b''
    repeated: bytes = b''
    times: int = 0
    end: bytes = b''
    is_half_closed: bool = False


class Crowd:
    """Clients that all send the same at once.

    :param address: IP address and port of the entry host.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Create a crowd without clients."""
        self._address = address
        self._clients: list[socket.socket] = []

    async def send(self, flood: Flood, count: int) -> None:
        """Let clients connect and send, until all are done or cut off."""
        tasks = [
            asyncio.create_task(self._send_one(flood)) for _ in range(count)
        ]
        _, late = await asyncio.wait(tasks, timeout=_SEND_S)
        for task in late:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def leave(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.close()
        self._clients.clear()

    async def _send_one(self, flood: Flood) -> None:
        loop = asyncio.get_running_loop()
        client = socket.socket()
        client.setblocking(False)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _PIECE_BYTES)
        self._clients.append(client)
        try:
            await loop.sock_connect(client, self._address)
            await loop.sock_sendall(client, flood.start)
            await self._repeat(client, flood)
            await loop.sock_sendall(client, flood.end)
            if flood.is_half_closed:
                client.shutdown(socket.SHUT_WR)
        except OSError:
            # The entry host has closed the connection.
            return

    async def _repeat(self, client: socket.socket, flood: Flood) -> None:
        loop = asyncio.get_running_loop()
        if not flood.repeated:
            return
        at_once = max(1, _PIECE_BYTES // len(flood.repeated))
        piece = flood.repeated * at_once
        for _ in range(flood.times // at_once):
            await loop.sock_sendall(client, piece)
        rest = flood.repeated * (flood.times % at_once)
        await loop.sock_sendall(client, rest)
