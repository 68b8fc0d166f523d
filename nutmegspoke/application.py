"""The application object with which the daemon's extensions register."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

from nutmegspoke.kernel import Kernel

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.border.settings import Settings

BUILTIN_EXTENSIONS = (
    'nutmegspoke.border.inflight',
    'nutmegspoke.border.metrics',
    'nutmegspoke.border.http_sessions',
    'nutmegspoke.border.evidence_log',
    'nutmegspoke.border.tables_watch',
    'nutmegspoke.border.target_watch',
    'nutmegspoke.border.peer_setup',
    'nutmegspoke.border.placement',
    'nutmegspoke.border.router',
    'nutmegspoke.border.admission_gate',
    'nutmegspoke.border.team_shares',
    'nutmegspoke.border.quarantine',
    'nutmegspoke.border.drafts',
    'nutmegspoke.border.calls',
    'nutmegspoke.border.operators',
    'nutmegspoke.border.callers',
)


class Application:
    """Holds what all extensions share: settings, clock and kernel.

    :param settings: the validated settings.
    :param clock: the clock of the process.
    """

    def __init__(self, settings: Settings, clock: Clock) -> None:
        """Create an application without extensions."""
        self.settings = settings
        self.clock = clock
        self.kernel = Kernel()

    @classmethod
    def from_settings(cls, settings: Settings, clock: Clock) -> Application:
        """Create an application with all built-in extensions.

        The event loop must be running.
        """
        app = cls(settings, clock)
        for name in BUILTIN_EXTENSIONS:
            app.setup_extension(name)
        return app

    def setup_extension(self, name: str) -> None:
        """Import a module and call its ``setup``, which registers services."""
        importlib.import_module(name).setup(self)
