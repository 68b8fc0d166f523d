"""Entry point of the daemon of an entry host on the users' platform."""

from __future__ import annotations

import signal
import sys

from nutmegspoke.errors import SettingsError
from nutmegspoke.listening import open_listener
from nutmegspoke.platform import boot_settings

EXIT_SETTINGS = 2


def main() -> None:
    """Run the daemon; exit with code 2 if its settings are invalid."""
    # Without a handler, SIGHUP would end the process. Settings that change
    # before the daemon's handler is installed are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        settings = boot_settings.SettingsFile(boot_settings.settings_path())
        host = settings.read()
    except SettingsError as error:
        print(error, file=sys.stderr)  # noqa: WPS421 -- no logging yet
        sys.exit(EXIT_SETTINGS)
    # A stop is handled by the daemon, which answers those that wait by then.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT))
    listening = open_listener(host.ip, host.callers_port)

    # Loaded while callers can connect already.
    from nutmegspoke.cmd.entry_daemon import run_daemon  # noqa: PLC0415

    run_daemon(settings, listening)


if __name__ == '__main__':
    main()
