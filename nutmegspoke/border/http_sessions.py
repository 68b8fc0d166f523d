"""HTTP sessions of the daemon and clients of the platform's services."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from nutmegspoke.border.platform_client import Connections, PlatformClient
from nutmegspoke.border.platform_guard import guard_platform

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.border.settings import Settings

NAME = 'http_sessions'
KEEPALIVE_S = 30.0


class HttpSessions:
    """HTTP sessions for calls to the platform and to targets.

    :ivar platform_session: pooled connections to the platform.
    :ivar targets: pooled connections to targets.
    :ivar fresh: opens a new connection for each call.
    :ivar platform: guarded clients of the platform's services.
    :param settings: the daemon's settings.
    :param clock: the process's clock.
    """

    def __init__(self, settings: Settings, clock: Clock) -> None:
        """Open the sessions; the event loop must be running."""
        self.platform_session = _session(force_close=False)
        self.targets = _session(force_close=False)
        self.fresh = _session(force_close=True)
        client = PlatformClient.from_settings(
            settings.platform,
            Connections(self.platform_session, self.fresh, KEEPALIVE_S),
        )
        self.platform = guard_platform(client, clock, settings.daemon.name)

    async def start(self) -> None:
        """Do nothing; the sessions are opened on creation."""

    async def stop(self) -> None:
        """Close all sessions."""
        await self.platform_session.close()
        await self.targets.close()
        await self.fresh.close()


def setup(app: Application) -> None:
    """Register the sessions."""
    app.kernel.register(NAME, HttpSessions(app.settings, app.clock))


def _session(*, force_close: bool) -> aiohttp.ClientSession:
    keepalive_s = None if force_close else KEEPALIVE_S
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=force_close,
        keepalive_timeout=keepalive_s,
    )
    return aiohttp.ClientSession(connector=connector, auto_decompress=False)
