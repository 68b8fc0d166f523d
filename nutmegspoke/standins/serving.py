"""Serving of the ports of a stand-in until a stop signal."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Sequence

HOST = '127.0.0.1'
_BACKLOG = 1024


async def serve(ports: Sequence[tuple[web.Application, int]]) -> None:
    """Serve each application on its port until SIGTERM or SIGINT.

    Prints ``ready`` when all ports accept connections.

    :param ports: applications and their ports on the loopback address.
    """
    runners = [await _start_site(app, port) for app, port in ports]
    print('ready', flush=True)  # noqa: WPS421 -- for the parent process
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await stop_requested.wait()
    for runner in runners:
        await runner.cleanup()


async def _start_site(app: web.Application, port: int) -> web.AppRunner:
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, HOST, port, backlog=_BACKLOG)
    await site.start()
    return runner
