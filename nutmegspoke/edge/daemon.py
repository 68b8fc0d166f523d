"""The daemon of an entry host: its parts, startup and shutdown."""

from __future__ import annotations

import asyncio
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
from nutmegspoke.edge.held_lease import PlacementLease
from nutmegspoke.edge.http_server import (
    CloseCause,
    ConnectionSet,
    ListeningSocket,
    listen,
    stop_listening,
)
from nutmegspoke.edge.layer_keeper import LayerController
from nutmegspoke.edge.limit_log import CallerLog, LoadLogs
from nutmegspoke.edge.listeners import (
    DaemonsListener,
    TablesListener,
    TargetsListener,
)
from nutmegspoke.edge.news_exchange import new_exchange
from nutmegspoke.edge.serving import new_caller_handler, new_caller_memory
from nutmegspoke.edge.settings_watch import SettingsWatch
from nutmegspoke.edge.status_pages import MetricsPage, ReadyPage
from nutmegspoke.edge.target_connections import TargetConnections
from nutmegspoke.edge.view import View

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.platform_parts import PlatformParts
    from nutmegspoke.entry_host import EntryHost, EntryTables

METRICS_PORT = 9_100
# Connections to the page on readiness, and as many to that on metrics.
_MAX_PAGE_CONNECTIONS = 64
_TICK_S = 0.25
# A tick that is this late shows that the host was suspended.
_SUSPENDED_AFTER_S = 1.0
# The balancer checks readiness each second and removes a host after two
# failures.
_ROTATION_EXIT_S = 2.5
# Share of the grace period in which requests may finish; the rest is for
# closing connections before the process is killed.
_FINISH_GRACE_SHARE = 0.93


class EdgeDaemon:
    """The daemon with all its parts.

    :param host: description of the host.
    :param parts: store, discovery, engines and headers of the platform.
    :param log: log of decisions.
    :param clock: clock of the process.
    :param metrics_port: port of the metrics page.
    """

    def __init__(
        self,
        host: EntryHost,
        parts: PlatformParts,
        log: DecisionLog,
        clock: Clock,
        metrics_port: int = METRICS_PORT,
    ) -> None:
        """Create the parts. The event loop must be running."""
        self._metrics_port = metrics_port
        self._parts = parts
        self._log = log
        self._clock = clock
        self.view = View(host)
        self.metrics = EdgeMetrics()
        log.on_event = self.metrics.count_event
        self._connections = TargetConnections(
            target_sockets(host.limits), host.limits.memory_bytes
        )
        self._memory = new_caller_memory(self._connections, host.limits)
        self._ready = ConnectionSet(ReadyPage(self.is_ready), self._memory)
        self._metrics_pages = ConnectionSet(
            MetricsPage(self.metrics), self._memory
        )
        self._ready.max_open = _MAX_PAGE_CONNECTIONS
        self._metrics_pages.max_open = _MAX_PAGE_CONNECTIONS
        self._callers = ConnectionSet(
            new_caller_handler(
                parts,
                self.view,
                self._connections,
                self.metrics,
                log,
                clock,
            ),
            self._memory,
        )
        self._callers.on_close = self._caller_closed
        self._apply_socket_limits(host)
        self._daemons = DaemonsListener(host.name)
        tables = TablesListener(
            parts.tables_row,
            parts.decode_tables,
            self.view,
            log,
            self._tables_changed,
        )
        self._targets = TargetsListener(parts.decode_target, self.view, log)
        self._lease = PlacementLease(self.view, parts.store, log, clock)
        self._layer_controller = LayerController(
            self.view,
            parts.engines,
            self._lease,
            self._targets,
            log,
            clock,
        )
        self._engine_polls = EnginePolls(
            self.view,
            parts.engines,
            self._lease.is_leader,
            log,
            clock,
        )
        feeds = new_feeds(
            parts,
            self.view,
            Listeners(tables, self._targets, self._daemons),
            self._lease.is_leader,
            log,
            clock,
        )
        self._followers = feeds.followers
        self._quarantine_rows = feeds.quarantine_rows
        self._update_exchange = new_exchange(
            self.view,
            self._daemons,
            self._lease,
            self._engine_polls,
            feeds,
            clock,
        )
        self._servers: list[asyncio.Server] = []
        self._settings = SettingsWatch(
            parts.read_host,
            self.view,
            self._apply_host,
            log,
        )
        self._ticker = Periodic('tick', _TICK_S, self._tick)
        self._last_tick_s = clock.now_s()
        self._load_logs = LoadLogs(self.view, self.metrics, log)
        self._caller_log = CallerLog(self._callers, self.metrics, log)
        self._logged_relays: tuple[str, ...] = ()

    def is_ready(self) -> bool:
        """Return whether tables and targets are known and no stop has begun."""
        if self._callers.is_stopping:
            return False
        return self.view.tables is not None and self._targets.is_listed

    async def start(self, listening: ListeningSocket | None = None) -> None:
        """Open the servers and start all background tasks.

        :param listening: socket on which callers connect already.
        """
        host = self.view.host
        pages = (
            (self._callers, host.callers_port, listening),
            (self._ready, host.ready_port, None),
            (self._metrics_pages, self._metrics_port, None),
        )
        for connections, port, opened in pages:
            server = await listen(connections.connect, host.ip, port, opened)
            self._servers.append(server)
        for follower in self._followers:
            await follower.start()
        await self._update_exchange.start()
        await self._quarantine_rows.start()
        await self._layer_controller.start()
        await self._engine_polls.start()
        self._announcing_task = asyncio.create_task(
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
        """Shut down gracefully within the grace period.

        The daemon reports not ready so that the balancer removes it, waits
        for requests to finish and then aborts those that are left.
        """
        started_s = self._clock.now_s()
        self._log.decided('stopping', busy=self._callers.count_busy())
        self._callers.is_stopping = True
        # The store may be slow, and callers must not wait for it.
        leading = asyncio.create_task(self._stop_leading())
        limit_s = self.view.host.bounds.stop_grace_s * _FINISH_GRACE_SHARE
        await asyncio.sleep(min(_ROTATION_EXIT_S, limit_s))
        await stop_listening(self._servers[0], self._callers.connect)
        self._callers.close_idle()
        while self._callers.count_busy():
            if self._clock.now_s() - started_s > limit_s:
                break
            await asyncio.sleep(0.05)
        self._log.decided('stopped', cut=self._callers.count_busy())
        self._callers.abort_all()
        await leading
        await self.close()

    async def close(self) -> None:
        """Abort all connections and stop all background tasks."""
        self._callers.abort_all()
        self._announcing_task.cancel()
        parts = (
            self._ticker,
            self._settings,
            self._engine_polls,
            self._layer_controller,
            self._update_exchange,
            self._quarantine_rows,
        )
        for part in parts:
            await part.stop()
        for follower in self._followers:
            await follower.stop()
        for server in self._servers:
            server.close()
        self._connections.close_idle()

    async def _stop_leading(self) -> None:
        """Stop the polls and orders, and let another daemon lead."""
        await self._engine_polls.stop()
        await self._layer_controller.stop()

    def reload(self) -> None:
        """Read the settings again."""
        self._settings.reload()

    async def restart_feeds(self) -> None:
        """Read all tables of the store again from the start."""
        for follower in self._followers:
            await follower.restart()

    def _apply_host(self, host: EntryHost) -> None:
        self._parts.store.use_address(host.store_address)
        self._apply_socket_limits(host)

    def _apply_socket_limits(self, host: EntryHost) -> None:
        self._connections.max_open = target_sockets(host.limits)
        self._connections.answer_memory.set_memory_limit(
            host.limits.memory_bytes
        )
        self._memory.set_memory_limit(host.limits.memory_bytes)
        self._callers.max_open = caller_sockets(host.limits)

    def _caller_closed(self, cause: CloseCause, unanswered: int) -> None:
        """Count the end of a connection; log one with unanswered requests."""
        self.metrics.count_closed_connection(cause.value, unanswered == 0)
        if unanswered and cause != CloseCause.CALLER:
            now_s = self._clock.now_s()
            self._log.decided(
                'closed_unanswered',
                cause=cause.value,
                requests=unanswered,
                tables_version=self.view.version,
                tables_age_s=round(self.view.tables_age_s(now_s), 3),
            )

    def _tables_changed(self, tables: EntryTables) -> None:
        self._callers.limits = tables.limits

    async def _tick(self) -> None:
        now_s = self._clock.now_s()
        late_s = now_s - self._last_tick_s - _TICK_S
        self._last_tick_s = now_s
        if late_s > _SUSPENDED_AFTER_S:
            await self._recover_from_suspend(late_s)
        self._connections.close_idle(now_s)
        self._caller_log.tick()
        self._log_relays(now_s)
        self._load_logs.tick(now_s)
        self._measure_followers(now_s)
        memory = self._connections.answer_memory
        self.metrics.observe_held_answers(
            memory.held_bytes, memory.refused_count
        )
        for follower in self._update_exchange.receiver.find_stale_followers(
            now_s
        ):
            self._log.decided(
                'feed_silent',
                table=follower.table,
                newest_change=follower.newest_change,
            )
            await follower.restart()
        for name in self.view.targets.drop_lapsed(now_s):
            self._log.decided('target_gone', target=name, may_have_lapsed=False)

    def _measure_followers(self, now_s: float) -> None:
        self.metrics.observe_tables(self.view.version)
        for follower in self._followers:
            self.metrics.observe_feed_age(
                follower.table, now_s - follower.results.confirmed_s
            )

    def _log_relays(self, now_s: float) -> None:
        """Log the relays of this daemon when they change."""
        updates = self.view.load_updates
        self.metrics.observe_daemons(updates.daemons(now_s))
        relays: tuple[str, ...] = ()
        if updates.relays.is_relayed:
            relays = updates.relays.update_receivers(now_s)
        if relays != self._logged_relays:
            self._logged_relays = relays
            self._log.decided(
                'relays_selected',
                relays=relays,
                is_relay=updates.is_relay(now_s),
                daemons_heard=updates.daemons(now_s),
            )

    async def _recover_from_suspend(self, late_s: float) -> None:
        """Discard idle connections and read all tables again.

        State from before the suspension is stale.
        """
        self._log.decided('woke', late_s=round(late_s, 2))
        self._connections.close_idle()
        await self.restart_feeds()
