"""Runs the daemon of an entry host until it is told to stop."""

from __future__ import annotations

import asyncio
import logging
import signal
from typing import TYPE_CHECKING

from nutmegspoke.border.loop import new_runner  # isort: skip -- sets up uvloop

from nutmegspoke.border.clock import SystemClock
from nutmegspoke.edge import decision_log
from nutmegspoke.edge.daemon import EdgeDaemon
from nutmegspoke.edge.platform_parts import PlatformParts
from nutmegspoke.http_calls import HttpCalls
from nutmegspoke.platform import configuration, discovery, headers
from nutmegspoke.platform.engine_calls import (
    MAX_ENGINE_ANSWER_BYTES,
    EngineClient,
)
from nutmegspoke.platform.store_client import StoreClient

if TYPE_CHECKING:
    import socket

    from nutmegspoke.platform.boot_settings import SettingsFile

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_daemon(settings: SettingsFile, listening: socket.socket) -> None:
    """Serve requests until SIGTERM or SIGINT arrives.

    Both signals may be blocked until the handlers are installed.

    :param settings: the platform's settings file.
    :param listening: socket on which callers connect.
    """
    with new_runner() as runner:
        runner.run(_run(settings, listening))


async def _run(settings: SettingsFile, listening: socket.socket) -> None:
    host = settings.read()
    clock = SystemClock()
    log = decision_log.configure(host.name, clock, logging.INFO)
    http = HttpCalls()
    engine_http = HttpCalls(MAX_ENGINE_ANSWER_BYTES)
    parts = PlatformParts(
        read_host=settings.read,
        store=StoreClient(host.store_address, http),
        engines=EngineClient(engine_http),
        header_codec=headers,
        tables_table=configuration.TABLE,
        tables_row=configuration.ROW,
        decode_tables=configuration.decode_configuration,
        targets_table=discovery.TABLE,
        decode_target=discovery.decode_target,
    )
    daemon = EdgeDaemon(host, parts, log, clock)
    stopping = _install_signal_handlers(daemon)
    await daemon.start(listening)
    await stopping.wait()
    await daemon.stop()
    await http.close()
    await engine_http.close()


def _install_signal_handlers(daemon: EdgeDaemon) -> asyncio.Event:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _STOP_SIGNALS)
    return stopping
