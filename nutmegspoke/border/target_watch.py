"""Follows the targets: host list, load reports and work in flight."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from nutmegspoke.border.http_sessions import NAME as SESSIONS, HttpSessions
from nutmegspoke.border.periodic import Periodic
from nutmegspoke.border.tables_watch import NAME as TABLES, TablesWatch
from nutmegspoke.engine_protocol import LOAD_PATH, LoadReport
from nutmegspoke.layers import LayerRange
from nutmegspoke.platform import HostEntry, HostState, Unavailable
from nutmegspoke.targets import Target, TargetState

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.tables.rows import PoolRow

logger = logging.getLogger(__name__)
NAME = 'target_watch'
_LOAD_TIMEOUT_S = 1.0


class TargetWatch:
    """Keeps a view of the targets of each pool."""

    def __init__(
        self,
        sessions: HttpSessions,
        tables: TablesWatch,
        clock: Clock,
        interval_s: float,
    ) -> None:
        """Start without targets."""
        self._sessions = sessions
        self._tables = tables
        self._clock = clock
        self._targets: dict[str, Target] = {}
        self._periodic = Periodic(NAME, interval_s, self.poll)

    async def start(self) -> None:
        """Begin to poll."""
        self._periodic.start()

    async def stop(self) -> None:
        """End polling."""
        await self._periodic.stop()

    def usable(self, pool: str, now_s: float) -> tuple[Target, ...]:
        """Return the targets of a pool that may get new work."""
        return tuple(
            target
            for target in self._targets.values()
            if target.pool == pool and target.state is TargetState.LIVE
        )

    def started(self, name: str) -> None:
        """Count work sent to a target."""
        self._add_in_flight(name, 1)

    def finished(self, name: str) -> None:
        """Count work that a target has done."""
        self._add_in_flight(name, -1)

    async def poll(self) -> None:
        """Read the host list, then the load of each target."""
        entries = await self._sessions.platform.hosts.entries()
        if isinstance(entries, Unavailable):
            logger.warning('targets: no host list reason=%s', entries.reason)
        else:
            self._take_entries(entries)
        reports = [self._read_load(name) for name in self._targets]
        await asyncio.gather(*reports)

    def _take_entries(self, entries: tuple[HostEntry, ...]) -> None:
        for pool in self._tables.current.pools:
            for entry in entries:
                if pool.selector and entry.selector == pool.selector:
                    self._take_entry(pool, entry)

    def _take_entry(self, pool: PoolRow, entry: HostEntry) -> None:
        known = self._targets.get(entry.name)
        state = TargetState.LIVE
        if entry.state is HostState.LEAVING:
            state = TargetState.LEAVING
        if known is None:
            known = Target(
                name=entry.name,
                address=entry.address,
                pool=pool.name,
                availability_zone=entry.availability_zone,
                state=TargetState.SUSPECT,
            )
        elif known.state is not TargetState.SUSPECT:
            known = dataclasses.replace(known, state=state)
        self._targets[entry.name] = known

    async def _read_load(self, name: str) -> None:
        address = self._targets[name].address
        try:
            async with self._sessions.targets.get(
                f'http://{address}{LOAD_PATH}',
                timeout=aiohttp.ClientTimeout(total=_LOAD_TIMEOUT_S),
            ) as response:
                body = await response.read()
            report = msgspec.json.decode(body, type=LoadReport)
        except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as error:
            self._targets[name] = dataclasses.replace(
                self._targets[name],
                state=TargetState.SUSPECT,
            )
            logger.info('targets: no load target=%s error=%r', name, error)
            return
        self._take_report(name, report)

    def _take_report(self, name: str, report: LoadReport) -> None:
        layers = None
        if report.stop_layer:
            layers = LayerRange(report.first_layer, report.stop_layer)
        state = TargetState.LEAVING if report.leaving else TargetState.LIVE
        self._targets[name] = dataclasses.replace(
            self._targets[name],
            state=state,
            layers=layers,
            model=report.model,
            version=report.version,
            layer_tokens_per_s=report.layer_tokens_per_s,
            link_bytes_per_s=report.link_bytes_per_s,
            reported_in_flight=report.in_flight,
            reported_at_s=self._clock.now_s(),
        )

    def _add_in_flight(self, name: str, count: int) -> None:
        target = self._targets.get(name)
        if target is not None:
            self._targets[name] = dataclasses.replace(
                target,
                own_in_flight=max(0, target.own_in_flight + count),
            )


def setup(app: Application) -> None:
    """Register the watch."""
    watch = TargetWatch(
        app.kernel.find(SESSIONS, HttpSessions),
        app.kernel.find(TABLES, TablesWatch),
        app.clock,
        app.settings.routing.load_poll_interval_s,
    )
    app.kernel.register(NAME, watch)
