"""Follows the targets: feeds host list and load reports to the directory."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from nutmegspoke.border.http_sessions import NAME as SESSIONS
from nutmegspoke.border.http_sessions import HttpSessions
from nutmegspoke.border.periodic import Periodic
from nutmegspoke.border.tables_watch import NAME as TABLES
from nutmegspoke.border.tables_watch import TablesWatch
from nutmegspoke.engine_protocol import LOAD_PATH, LoadReport
from nutmegspoke.membership.directory import Directory
from nutmegspoke.platform import Unavailable

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.membership.states import StateChange
    from nutmegspoke.targets import Target

logger = logging.getLogger(__name__)
NAME = 'target_watch'
_LOAD_TIMEOUT_S = 1.0


class TargetWatch:
    """Polls the host list and the targets, and keeps the directory."""

    def __init__(
        self,
        sessions: HttpSessions,
        tables: TablesWatch,
        clock: Clock,
        interval_s: float,
    ) -> None:
        """Start without targets."""
        self.directory = Directory()
        self._sessions = sessions
        self._tables = tables
        self._clock = clock
        self._periodic = Periodic(NAME, interval_s, self.poll)

    async def start(self) -> None:
        """Begin to poll."""
        self._periodic.start()

    async def stop(self) -> None:
        """End polling."""
        await self._periodic.stop()

    def usable(self, pool: str, now_s: float) -> tuple[Target, ...]:
        """Return the targets of a pool that may get new work."""
        return self.directory.usable(pool, now_s)

    def started(self, address: str) -> None:
        """Count work sent to a target."""
        self.directory.work_started(address, self._clock.now_s())

    def finished(self, address: str) -> None:
        """Count work that a target has done."""
        self.directory.work_finished(address)

    def refused_as_leaving(self, address: str) -> None:
        """Note that a target refused work because it is leaving."""
        now_s = self._clock.now_s()
        _log(self.directory.refused_as_leaving(address, now_s))

    def connection_failed(self, address: str, *, refused: bool) -> None:
        """Note a connection that was refused or reset."""
        now_s = self._clock.now_s()
        _log(
            self.directory.connection_failed(address, now_s, refused=refused),
        )

    def connection_silent(self, address: str, *, is_new: bool) -> None:
        """Note a connection that gave no answer in its time."""
        now_s = self._clock.now_s()
        _log(self.directory.connection_silent(address, now_s, is_new=is_new))

    async def poll(self) -> None:
        """Read the host list, then the load of each target."""
        self.directory.take_tables(self._tables.current)
        await self._read_hosts()
        watched = self.directory.watched(self._clock.now_s())
        await asyncio.gather(*map(self._read_load, watched))

    async def _read_hosts(self) -> None:
        read_s = self._clock.now_s()
        entries = await self._sessions.platform.hosts.entries()
        if isinstance(entries, Unavailable):
            logger.warning('targets: no host list reason=%s', entries.reason)
            return
        for change in self.directory.take_hosts(entries, read_s):
            _log(change)

    async def _read_load(self, address: str) -> None:
        asked_s = self._clock.now_s()
        try:
            report = await self._ask_load(address)
        except TimeoutError:
            self.connection_silent(address, is_new=False)
        except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as error:
            refused = isinstance(error, aiohttp.ClientConnectorError)
            self.connection_failed(address, refused=refused)
        else:
            now_s = self._clock.now_s()
            _log(
                self.directory.load_reported(address, report, asked_s, now_s),
            )

    async def _ask_load(self, address: str) -> LoadReport:
        async with self._sessions.targets.get(
            f'http://{address}{LOAD_PATH}',
            timeout=aiohttp.ClientTimeout(total=_LOAD_TIMEOUT_S),
        ) as response:
            body = await response.read()
        return msgspec.json.decode(body, type=LoadReport)


def setup(app: Application) -> None:
    """Register the watch."""
    watch = TargetWatch(
        app.kernel.find(SESSIONS, HttpSessions),
        app.kernel.find(TABLES, TablesWatch),
        app.clock,
        app.settings.routing.load_poll_interval_s,
    )
    app.kernel.register(NAME, watch)


def _log(change: StateChange | None) -> None:
    if change is not None:
        logger.info(
            'targets: state changed address=%s state=%s source=%s',
            change.address,
            change.state,
            change.source,
        )
