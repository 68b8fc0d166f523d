"""The daemon, ``nutmegspoked``."""

from __future__ import annotations

import asyncio
import logging
import pathlib
import signal
import sys
from typing import Annotated

from nutmegspoke.border.loop import new_runner  # isort: skip -- sets the loop

import typer

from nutmegspoke.application import Application
from nutmegspoke.border import logs
from nutmegspoke.border.clock import SystemClock
from nutmegspoke.border.inflight import NAME as INFLIGHT
from nutmegspoke.border.inflight import InFlight
from nutmegspoke.border.settings import Settings, read_secret
from nutmegspoke.errors import SettingsError

logger = logging.getLogger(__name__)

EXIT_SETTINGS = 2
EXIT_CUT = 3


async def run(settings: Settings) -> int:
    """Serve until a signal ends the daemon.

    :param settings: the checked settings.
    :returns: exit code.
    """
    app = Application.from_settings(settings, SystemClock())
    signals = _catch_signals()
    await app.kernel.start()
    logger.info('kernel: daemon started name=%s', settings.daemon.name)
    await signals.get()
    exit_code = await _finish(app, settings, signals)
    await app.kernel.stop()
    logger.info('kernel: daemon stopped exit=%d', exit_code)
    return exit_code


def _catch_signals() -> asyncio.Queue[int]:
    signals: asyncio.Queue[int] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    return signals


async def _finish(
    app: Application,
    settings: Settings,
    signals: asyncio.Queue[int],
) -> int:
    in_flight = app.kernel.find(INFLIGHT, InFlight)
    in_flight.is_stopping = True
    logger.info('stopping: not ready, still accepting')
    await asyncio.sleep(settings.stop.notice_s)
    idle = asyncio.create_task(in_flight.wait_idle())
    second = asyncio.create_task(signals.get())
    await asyncio.wait(
        (idle, second),
        timeout=settings.stop.finish_limit_s,
        return_when=asyncio.FIRST_COMPLETED,
    )
    second.cancel()
    cut = in_flight.request_ids
    if not cut:
        return 0
    logger.error('stopping: requests cut ids=%s', ','.join(sorted(cut)))
    return EXIT_CUT


def serve(
    settings_file: Annotated[
        pathlib.Path,
        typer.Argument(help='INI file with the settings of this daemon.'),
    ],
) -> None:
    """Route requests as the settings file says."""
    try:
        settings = Settings.from_file(settings_file)
        read_secret(settings.secrets.operators_token)
        read_secret(settings.secrets.peers_key)
    except SettingsError as error:
        print(error, file=sys.stderr)  # noqa: WPS421 -- no log is set up yet
        raise typer.Exit(EXIT_SETTINGS) from error
    logs.configure(settings.log.level, settings.daemon.name)
    with new_runner() as runner:
        raise typer.Exit(runner.run(run(settings)))


def main() -> None:
    """Run the daemon."""
    app = typer.Typer(pretty_exceptions_enable=False, add_completion=False)
    app.command()(serve)
    app()


if __name__ == '__main__':
    main()
