"""The event loop; must be imported before any module that imports uvloop."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Any

os.environ['UV_USE_IO_URING'] = '0'

import uvloop  # noqa: E402 -- libuv reads the variable on import


class StreamLoop(uvloop.Loop):
    """An event loop that resolves IP addresses without a thread.

    The base class does so only if the socket type is given; otherwise each
    connection would be resolved in its pool of four threads.
    """

    async def getaddrinfo(
        self,
        host: Any,
        port: Any,
        **hints: int,
    ) -> list[Any]:
        """Return the addresses of a host; sockets are streams by default."""
        hints['type'] = hints.get('type') or socket.SOCK_STREAM
        return await super().getaddrinfo(host, port, **hints)


def new_runner() -> asyncio.Runner:
    """Return a runner with a loop that doesn't use io_uring."""
    return asyncio.Runner(loop_factory=StreamLoop)
