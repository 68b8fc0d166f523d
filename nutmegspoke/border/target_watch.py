"""Updates the directory of targets from host list and load reports."""

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

    Each target and the host list are polled in separate tasks, so that a slow
    one doesn't delay the others.

    :ivar on_change: called with each change of a target's state.
    """

    def __init__(
        self,
        sessions: HttpSessions,
        tables: TablesWatch,
        clock: Clock,
        interval_s: float,
    ) -> None:
        """Start with an empty directory."""
        self.directory = Directory()
        self.on_change: Callable[[StateChange], None] | None = None
        self._sessions = sessions
        self._tables = tables
        self._clock = clock
        self._load_tasks: dict[str, asyncio.Task[None]] = {}
        self._load_poll = Periodic(NAME, interval_s, self._poll_loads)
        self._host_poll = Periodic('host_list', interval_s, self._read_hosts)

    async def start(self) -> None:
        """Start to poll."""
        self._host_poll.start()
        self._load_poll.start()

    async def stop(self) -> None:
        """Stop polling and cancel the calls in flight."""
        await self._host_poll.stop()
        await self._load_poll.stop()
        tasks = tuple(self._load_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def usable(self, pool: str, now_s: float) -> tuple[Target, ...]:
        """Return the targets of a pool that may get new work."""
        return self.directory.usable(pool, now_s)

    def started(self, address: str) -> None:
        """Count a request sent to a target."""
        self.directory.work_started(address, self._clock.now_s())

    def finished(self, address: str) -> None:
        """Count a request that has ended at a target."""
        self.directory.work_finished(address)

    def refused_as_leaving(self, address: str) -> None:
        """Record that a target refused work because it is leaving."""
        now_s = self._clock.now_s()
        self._report_change(self.directory.refused_as_leaving(address, now_s))

    def peer_reported_leaving(self, note: LeavingNote) -> None:
        """Record a peer's report that a target is leaving."""
        now_s = self._clock.now_s()
        self._report_change(self.directory.peer_reported_leaving(note, now_s))

    def connection_failed(self, address: str, *, refused: bool) -> None:
        """Record a connection that was refused or reset."""
        now_s = self._clock.now_s()
        self._report_change(
            self.directory.connection_failed(address, now_s, refused=refused),
        )

    def connection_silent(self, address: str, *, is_new: bool) -> None:
        """Record a connection on which a call timed out."""
        now_s = self._clock.now_s()
        self._report_change(
            self.directory.connection_silent(address, now_s, is_new=is_new),
        )

    async def _poll_loads(self) -> None:
        self.directory.apply_tables(self._tables.current)
        for address in self.directory.polled_addresses(self._clock.now_s()):
            if address not in self._load_tasks:
                task = asyncio.create_task(self._read_load(address))
                self._load_tasks[address] = task
                task.add_done_callback(
                    functools.partial(self._remove_load_task, address)
                )

    def _remove_load_task(self, address: str, task: asyncio.Task[None]) -> None:
        self._load_tasks.pop(address, None)

    async def _read_hosts(self) -> None:
        read_s = self._clock.now_s()
        entries = await self._sessions.platform.hosts.entries()
        if isinstance(entries, Unavailable):
            logger.warning(
                'targets: host list unavailable reason=%s', entries.reason
            )
            return
        for change in self.directory.apply_hosts(entries, read_s):
            self._report_change(change)

    async def _read_load(self, address: str) -> None:
        """Fetch a load report; after a timeout, retry over a new connection."""
        for session in (self._sessions.targets, self._sessions.fresh):
            is_new = session is self._sessions.fresh
            asked_s = self._clock.now_s()
            try:
                report = await _fetch_load(session, address)
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
                self._record_load(address, report, asked_s)
                return

    def _record_load(
        self,
        address: str,
        report: LoadReport,
        asked_s: float,
    ) -> None:
        now_s = self._clock.now_s()
        change = self.directory.load_reported(address, report, asked_s, now_s)
        self._report_change(change)

    def _report_change(self, change: StateChange | None) -> None:
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


async def _fetch_load(
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
    """Register the watch of the targets."""
    watch = TargetWatch(
        app.kernel.find(SESSIONS, HttpSessions),
        app.kernel.find(TABLES, TablesWatch),
        app.clock,
        app.settings.routing.load_poll_interval_s,
    )
    app.kernel.register(NAME, watch)
