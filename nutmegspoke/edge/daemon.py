"""The daemon of an entry host: its parts, its start and its stop."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from nutmegspoke.admission.socket_shares import (
    caller_sockets,
    target_sockets,
)
from nutmegspoke.border.periodic import Periodic
from nutmegspoke.edge.announcing import announce
from nutmegspoke.edge.edge_metrics import EdgeMetrics
from nutmegspoke.edge.engine_polls import EnginePolls
from nutmegspoke.edge.feeds import Listeners, new_feeds
from nutmegspoke.edge.held_lease import HeldLease
from nutmegspoke.edge.http_server import ConnectionSet, listen
from nutmegspoke.edge.layer_keeper import LayerKeeper
from nutmegspoke.edge.listeners import (
    DaemonsListener,
    TablesListener,
    TargetsListener,
)
from nutmegspoke.edge.news_exchange import NewsExchange
from nutmegspoke.edge.serving import new_callers
from nutmegspoke.edge.settings_watch import SettingsWatch
from nutmegspoke.edge.status_pages import MetricsPage, ReadyPage
from nutmegspoke.edge.target_connections import TargetConnections
from nutmegspoke.edge.view import View

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.platform_parts import PlatformParts
    from nutmegspoke.entry_host import EntryHost, EntryTables

logger = logging.getLogger(__name__)

METRICS_PORT = 9_100
_TICK_S = 0.25
# A tick that comes so much late shows that the host was suspended.
_FREEZE_S = 1.0
# The balancer asks each second and takes a host out after two misses.
_OUT_OF_ROTATION_S = 2.5
# Part of the grace period in which requests may end by themselves; the rest
# is for closing connections before the process is killed.
_FINISH_SHARE = 0.93


class EdgeDaemon:
    """All parts of the daemon.

    :param host: the host, as the platform describes it.
    :param parts: the platform's store, discovery, engines and headers.
    :param log: the log of decisions.
    :param clock: clock of the process.
    """

    def __init__(
        self,
        host: EntryHost,
        parts: PlatformParts,
        log: DecisionLog,
        clock: Clock,
        metrics_port: int = METRICS_PORT,
    ) -> None:
        """Create the parts; the event loop must be running."""
        self._metrics_port = metrics_port
        self._parts = parts
        self._log = log
        self._clock = clock
        self.view = View(host)
        self.metrics = EdgeMetrics()
        log.counted = self.metrics.event
        self._connections = TargetConnections(
            target_sockets(host.limits),
        )
        self._ready = ConnectionSet(ReadyPage(self.is_ready))
        self._metrics_pages = ConnectionSet(MetricsPage(self.metrics))
        self._callers = ConnectionSet(
            new_callers(
                parts,
                self.view,
                self._connections,
                self.metrics,
                log,
                clock,
            ),
        )
        self._share_sockets(host)
        self._daemons = DaemonsListener(host.name)
        tables = TablesListener(
            parts.tables_row,
            parts.decode_tables,
            self.view,
            log,
            self._tables_changed,
        )
        self._targets = TargetsListener(parts.decode_target, self.view, log)
        self._lease = HeldLease(self.view, parts.store, log, clock)
        self._keeper = LayerKeeper(
            self.view,
            parts.engines,
            self._lease,
            self._targets,
            log,
            clock,
        )
        self._polls = EnginePolls(
            self.view,
            parts.engines,
            self._lease.leads,
            log,
            clock,
        )
        self._followers = new_feeds(
            parts,
            self.view,
            Listeners(tables, self._targets, self._daemons),
            self._lease.leads,
            log,
            clock,
        )
        self._news = NewsExchange(
            self.view,
            self._daemons,
            self._lease,
            self._polls,
            self._followers,
            clock,
        )
        self._servers: list[asyncio.Server] = []
        self._settings = SettingsWatch(
            parts.read_host,
            self.view,
            self._take_host,
            log,
        )
        self._ticker = Periodic('tick', _TICK_S, self._tick)
        self._ticked_s = clock.now_s()
        self._turned_away = 0

    def is_ready(self) -> bool:
        """Tell whether the daemon can serve."""
        if self._callers.is_stopping:
            return False
        return self.view.tables is not None and self._targets.is_listed

    async def start(self) -> None:
        """Listen and begin to follow the store."""
        host = self.view.host
        pages = (
            (self._callers, host.callers_port),
            (self._ready, host.ready_port),
            (self._metrics_pages, self._metrics_port),
        )
        for connections, port in pages:
            server = await listen(connections.connect, host.ip, port)
            self._servers.append(server)
        for follower in self._followers:
            await follower.start()
        await self._news.start()
        await self._keeper.start()
        await self._polls.start()
        self._announcing = asyncio.create_task(
            announce(host, self._parts.store, self._daemons),
        )
        self._ticker.start()
        self._settings.start()
        self._log.decided(
            'started',
            zone=host.availability_zone,
            cpu_cores=host.limits.cpu_cores,
            memory_bytes=host.limits.memory_bytes,
            store=host.store_address,
        )

    async def stop(self) -> None:
        """Leave rotation, let requests end, and cut what is left in time."""
        started_s = self._clock.now_s()
        self._log.decided('stopping', busy=self._callers.busy())
        self._callers.is_stopping = True
        await self._polls.stop()
        await self._keeper.stop()
        limit_s = self.view.host.bounds.stop_grace_s * _FINISH_SHARE
        await asyncio.sleep(min(_OUT_OF_ROTATION_S, limit_s))
        self._servers[0].close()
        self._callers.close_idle()
        while self._callers.busy():
            if self._clock.now_s() - started_s > limit_s:
                break
            await asyncio.sleep(0.05)
        self._log.decided('stopped', cut=self._callers.busy())
        await self.close()

    async def close(self) -> None:
        """End all work at once."""
        self._callers.cut()
        self._announcing.cancel()
        parts = (
            self._ticker,
            self._settings,
            self._polls,
            self._keeper,
            self._news,
        )
        for part in parts:
            await part.stop()
        for follower in self._followers:
            await follower.stop()
        for server in self._servers:
            server.close()
        self._connections.close_idle()

    def reload(self) -> None:
        """Read the settings again."""
        self._settings.reload()

    async def restart_feeds(self) -> None:
        """Read all tables of the store anew."""
        for follower in self._followers:
            await follower.restart()

    def _take_host(self, host: EntryHost) -> None:
        self._parts.store.use_address(host.store_address)
        self._share_sockets(host)

    def _share_sockets(self, host: EntryHost) -> None:
        self._connections.max_open = target_sockets(host.limits)
        self._callers.max_open = caller_sockets(host.limits)

    def _tables_changed(self, tables: EntryTables) -> None:
        self._callers.limits = tables.limits

    async def _tick(self) -> None:
        now_s = self._clock.now_s()
        late_s = now_s - self._ticked_s - _TICK_S
        self._ticked_s = now_s
        if late_s > _FREEZE_S:
            await self._woke(late_s)
        self._connections.close_idle(now_s)
        self._note_turned_away()
        for feed in self._news.silent_feeds(now_s):
            self._log.decided(
                'feed_silent',
                table=feed.table,
                newest_change=feed.newest_change,
            )
            await feed.restart()
        for name in self.view.targets.drop_lapsed(now_s):
            self._log.decided('target_gone', target=name, may_have_lapsed=False)

    def _note_turned_away(self) -> None:
        count = self._callers.turned_away
        if count != self._turned_away:
            self._turned_away = count
            self._log.decided(
                'callers_turned_away',
                count=count,
                open=len(self._callers.open),
                limit=self._callers.max_open,
            )

    async def _woke(self, late_s: float) -> None:
        """Read everything anew: what was believed is as old as the sleep."""
        self._log.decided('woke', late_s=round(late_s, 2))
        self._connections.close_idle()
        await self.restart_feeds()
