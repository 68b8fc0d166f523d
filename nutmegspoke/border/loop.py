"""The event loop. Imported before anything that imports uvloop."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Any

os.environ['UV_USE_IO_URING'] = '0'

import uvloop  # noqa: E402 -- libuv reads the variable when it is loaded


class StreamLoop(uvloop.Loop):
    """A loop that resolves IP numbers without a thread.

    The base class does so only if the type of the socket is known; each
    connection would otherwise go through its pool of four threads.
    """

    async def getaddrinfo(
        self,
        host: Any,
        port: Any,
        **hints: int,
    ) -> list[Any]:
        """Return the addresses of a host for stream sockets."""
        hints['type'] = hints.get('type') or socket.SOCK_STREAM
        return await super().getaddrinfo(host, port, **hints)


def new_runner() -> asyncio.Runner:
    """Return a runner whose loop uses no io_uring."""
    return asyncio.Runner(loop_factory=StreamLoop)
