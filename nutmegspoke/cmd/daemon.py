"""Entry point of the daemon, ``nutmegspoked``."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import pathlib
import signal
import sys
from typing import Annotated

from nutmegspoke.border.loop import new_runner  # isort: skip -- sets up uvloop

import typer

from nutmegspoke.application import Application
from nutmegspoke.border import logs
from nutmegspoke.border.clock import SystemClock
from nutmegspoke.border.inflight import NAME as INFLIGHT
from nutmegspoke.border.inflight import InFlight
from nutmegspoke.border.settings import Settings, read_secret
from nutmegspoke.border.stopping import PlannedStop
from nutmegspoke.errors import SettingsError
from nutmegspoke.membership.stopping import StopDecider, StopSettings

logger = logging.getLogger(__name__)

EXIT_SETTINGS = 2
EXIT_CUT = 3
_STOP_TIMEOUT_AFTER_CUT_S = 2.0


async def run(settings: Settings) -> int:
    """Serve requests until a stop signal arrives, then stop as planned.

    :param settings: validated settings.
    :returns: exit code; ``EXIT_CUT`` if requests in flight were cut off.
    """
    app = Application.from_settings(settings, SystemClock())
    signals = _install_signal_handlers()
    await app.kernel.start()
    logger.info('kernel: daemon started name=%s', settings.daemon.name)
    stop = settings.stop
    decider = StopDecider(StopSettings(stop.notice_s, stop.finish_limit_s))
    await _build_planned_stop(app, decider, signals).run()
    exit_code = await _stop_kernel(app, decider)
    logger.info('kernel: daemon stopped exit=%d', exit_code)
    return exit_code


def _install_signal_handlers() -> asyncio.Queue[int]:
    signals: asyncio.Queue[int] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    return signals


def _build_planned_stop(
    app: Application,
    decider: StopDecider,
    signals: asyncio.Queue[int],
) -> PlannedStop:
    in_flight = app.kernel.find(INFLIGHT, InFlight)
    return PlannedStop(decider, in_flight, signals, app.clock)


async def _stop_kernel(app: Application, decider: StopDecider) -> int:
    if not decider.cut:
        await app.kernel.stop()
        return 0
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(app.kernel.stop(), _STOP_TIMEOUT_AFTER_CUT_S)
    return EXIT_CUT


def serve(
    settings_file: Annotated[
        pathlib.Path,
        typer.Argument(help='INI file with the settings of this daemon.'),
    ],
) -> None:
    """Route requests as configured by a settings file."""
    try:
        settings = Settings.from_file(settings_file)
        read_secret(settings.secrets.operators_token)
        read_secret(settings.secrets.peers_key)
    except SettingsError as error:
        print(error, file=sys.stderr)  # noqa: WPS421 -- no logging yet
        raise typer.Exit(EXIT_SETTINGS) from error
    logs.configure(settings.log.level, settings.daemon.name)
    with new_runner() as runner:
        raise typer.Exit(runner.run(run(settings)))


def main() -> None:
    """Parse the command line and run the daemon."""
    app = typer.Typer(pretty_exceptions_enable=False, add_completion=False)
    app.command()(serve)
    app()


if __name__ == '__main__':
    main()
