"""Follows the targets: feeds host list and load reports to the directory."""

from __future__ import annotations

import asyncio
import functools
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
from nutmegspoke.metadata_store import Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.membership.states import LeavingNote, StateChange
    from nutmegspoke.targets import Target

logger = logging.getLogger(__name__)
NAME = 'target_watch'
_LOAD_TIMEOUT_S = 1.0


class TargetWatch:
    """Polls the host list and the targets, and keeps the directory.

    Each target is asked in a task of its own, and the host list in another,
    so that one that is slow delays no other.

    :ivar on_change: is told of each change of a target's state.
    """

    def __init__(
        self,
        sessions: HttpSessions,
        tables: TablesWatch,
        clock: Clock,
        interval_s: float,
    ) -> None:
        """Start without targets."""
        self.directory = Directory()
        self.on_change: Callable[[StateChange], None] | None = None
        self._sessions = sessions
        self._tables = tables
        self._clock = clock
        self._asking: dict[str, asyncio.Task[None]] = {}
        self._loads = Periodic(NAME, interval_s, self._ask_all)
        self._hosts = Periodic('host_list', interval_s, self._read_hosts)

    async def start(self) -> None:
        """Begin to poll."""
        self._hosts.start()
        self._loads.start()

    async def stop(self) -> None:
        """End polling."""
        await self._hosts.stop()
        await self._loads.stop()
        tasks = tuple(self._asking.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

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
        self._tell(self.directory.refused_as_leaving(address, now_s))

    def peer_reported_leaving(self, note: LeavingNote) -> None:
        """Take a peer's word that a target is leaving."""
        now_s = self._clock.now_s()
        self._tell(self.directory.peer_reported_leaving(note, now_s))

    def connection_failed(self, address: str, *, refused: bool) -> None:
        """Note a connection that was refused or reset."""
        now_s = self._clock.now_s()
        self._tell(
            self.directory.connection_failed(address, now_s, refused=refused),
        )

    def connection_silent(self, address: str, *, is_new: bool) -> None:
        """Note a connection that gave no answer in its time."""
        now_s = self._clock.now_s()
        self._tell(
            self.directory.connection_silent(address, now_s, is_new=is_new),
        )

    async def _ask_all(self) -> None:
        self.directory.apply_tables(self._tables.current)
        for address in self.directory.polled_addresses(self._clock.now_s()):
            if address not in self._asking:
                task = asyncio.create_task(self._read_load(address))
                self._asking[address] = task
                task.add_done_callback(functools.partial(self._asked, address))

    def _asked(self, address: str, task: asyncio.Task[None]) -> None:
        self._asking.pop(address, None)

    async def _read_hosts(self) -> None:
        read_s = self._clock.now_s()
        entries = await self._sessions.platform.hosts.entries()
        if isinstance(entries, Unavailable):
            logger.warning('targets: no host list reason=%s', entries.reason)
            return
        for change in self.directory.apply_hosts(entries, read_s):
            self._tell(change)

    async def _read_load(self, address: str) -> None:
        """Ask a target, and on silence once more over a new connection."""
        for session in (self._sessions.targets, self._sessions.fresh):
            is_new = session is self._sessions.fresh
            asked_s = self._clock.now_s()
            try:
                report = await _ask_load(session, address)
            except TimeoutError:
                self.connection_silent(address, is_new=is_new)
            except (
                aiohttp.ClientError,
                OSError,
                msgspec.MsgspecError,
            ) as error:
                refused = isinstance(error, aiohttp.ClientConnectorError)
                self.connection_failed(address, refused=refused)
                return
            else:
                self._reported(address, report, asked_s)
                return

    def _reported(
        self,
        address: str,
        report: LoadReport,
        asked_s: float,
    ) -> None:
        now_s = self._clock.now_s()
        change = self.directory.load_reported(address, report, asked_s, now_s)
        self._tell(change)

    def _tell(self, change: StateChange | None) -> None:
        if change is None:
            return
        logger.info(
            'targets: state changed address=%s state=%s source=%s',
            change.address,
            change.state,
            change.source,
        )
        if self.on_change is not None:
            self.on_change(change)


async def _ask_load(
    session: aiohttp.ClientSession,
    address: str,
) -> LoadReport:
    async with session.get(
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
