"""Runs the ports of a stand-in until a signal ends it."""

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
    """Serve each application on its port until SIGTERM or SIGINT."""
    runners = [await _start(app, port) for app, port in ports]
    print('ready', flush=True)  # noqa: WPS421 -- tells the starting script
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await ended.wait()
    for runner in runners:
        await runner.cleanup()


async def _start(app: web.Application, port: int) -> web.AppRunner:
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, HOST, port, backlog=_BACKLOG)
    await site.start()
    return runner
