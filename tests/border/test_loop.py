"""Tests of the event loop's use of threads."""

from __future__ import annotations

import asyncio
import os
import socket
import unittest

from nutmegspoke.border.loop import new_runner


async def _connect_to_self() -> int:
    loop = asyncio.get_running_loop()
    before = len(os.listdir('/proc/self/task'))
    listening = socket.create_server(('127.0.0.1', 0))
    server = await loop.create_server(asyncio.Protocol, sock=listening)
    address = listening.getsockname()
    with socket.socket() as client:
        client.setblocking(False)
        await loop.sock_connect(client, address)
    server.close()
    return len(os.listdir('/proc/self/task')) - before


class LoopTest(unittest.TestCase):
    """Listening and connecting by IP address."""

    def test_starts_no_thread(self) -> None:
        """Guards against the loop's pool of four threads for resolving."""
        with new_runner() as runner:
            self.assertEqual(runner.run(_connect_to_self()), 0)
