"""Exchanges updates between daemons in UDP datagrams."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from nutmegspoke.edge.followers import batch_pause_s
from nutmegspoke.membership.feed_versions import FeedVersion, FeedVersions
from nutmegspoke.membership.load_news import (
    LoadUpdate,
    TargetFault,
    update_interval_s,
)
from nutmegspoke.membership.table_news import TableUpdate

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.feeds import Feeds
    from nutmegspoke.edge.followers import TableFollower
    from nutmegspoke.edge.listeners import DaemonsListener
    from nutmegspoke.edge.view import View

logger = logging.getLogger(__name__)

# A reader reads tables at the same interval.
_TABLE_UPDATE_INTERVAL_S = 0.4
# An unchanged update is sent at this interval, as a heartbeat. It is well below
# ``load_news.SILENCE_LIMIT_S``, from which a daemon is ignored.
_HEARTBEAT_INTERVAL_S = 0.5
# Updates that contain the same notice.
_NOTICE_REPEATS = 3


class LeaderLease(Protocol):
    """The lease on placement, which determines the leader."""

    def is_leader(self) -> bool:
        """Return whether this daemon holds the lease on placement."""

    def row(self) -> tuple[int, bytes] | None:
        """Return version and body of the lease row if this daemon is leader."""

    def receive_row(self, version: int, body: bytes) -> None:
        """Record the lease row received from another daemon."""


class ReportReader(Protocol):
    """Reader of the engines' reports."""

    def is_report_reader(self, now_s: float) -> bool:
        """Return whether this daemon reads the reports for all daemons."""


class UpdateExchange(asyncio.DatagramProtocol):
    """UDP endpoint for updates on load, faults, tables and the lease.

    :param daemons: addresses of the other daemons.
    :param leader: provides and receives the lease row.
    :param report_reader: provides whether this daemon reads the reports.
    :param feeds: followers of the tables of the store.
    """

    def __init__(
        self,
        view: View,
        daemons: DaemonsListener,
        leader: LeaderLease,
        report_reader: ReportReader,
        feeds: Feeds,
        clock: Clock,
    ) -> None:
        """Create an endpoint that is not started yet."""
        self._view = view
        self._daemons = daemons
        self._leader = leader
        self._report_reader = report_reader
        self._followers = feeds.followers
        self._health = feeds.health
        self._feed_versions = FeedVersions()
        self._clock = clock
        self._started_ms = int(clock.wall_s() * 1_000)
        self._number = 0
        self._last_content: tuple[object, ...] = ()
        self._last_sent_s = float('-inf')
        self._transport: asyncio.DatagramTransport | None = None
        self._load_timer: asyncio.TimerHandle | None = None
        self._table_timer: asyncio.TimerHandle | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(LoadUpdate | TableUpdate)

    async def start(self) -> None:
        """Open the endpoint and start to send updates."""
        loop = asyncio.get_running_loop()
        host = self._view.host
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(host.ip, host.peer_ports[0]),
        )
        self._send_load_update()
        self._send_table_updates()
        self._view.lost_engines.subscribe(self._send_loss)
        self._view.crashes.subscribe(self._send_now)

    async def stop(self) -> None:
        """Stop the timers and close the endpoint."""
        for timer in (self._load_timer, self._table_timer):
            if timer is not None:
                timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Store the transport.

        ``transport`` is typed ``Any`` as the class of the loop's transports
        has no common base class.
        """
        self._transport = transport

    def datagram_received(self, received: bytes, sender: object) -> None:
        """Apply an update from another daemon."""
        try:
            update = self._decoder.decode(received)
        except msgspec.MsgspecError as error:
            logger.info(
                'updates: datagram from %s not decoded: %s', sender, error
            )
            return
        if isinstance(update, TableUpdate):
            self._receive_table_update(update)
        else:
            self._receive_load_update(update, self._clock.now_s())

    def _receive_table_update(self, update: TableUpdate) -> None:
        for follower in self._followers:
            if follower.table == update.table and not follower.is_reader():
                follower.receive_update(update)

    def _receive_load_update(self, update: LoadUpdate, now_s: float) -> None:
        if not self._view.load_updates.receive(update, now_s):
            return
        for fault in update.faults:
            self._view.faults.add_peer_fault(fault.target, fault.left_s, now_s)
        feeds = {
            table: FeedVersion(update.era, newest_change)
            for table, newest_change in update.feeds.items()
        }
        self._feed_versions.receive(feeds, now_s)
        self._view.reports.receive(update.reports, now_s)
        self._view.reassignments.receive(update.reassignments, now_s)
        self._view.lost_engines.receive(update.lost, now_s)
        self._view.crashes.receive(update.notices, now_s)
        self._health.enter_era(update.era, now_s)
        if update.silence_age_s >= 0:
            self._health.silence_ended_elsewhere(now_s - update.silence_age_s)
        if update.lease is not None:
            self._leader.receive_row(*update.lease)

    def error_received(self, error: Exception) -> None:
        """Log an error; unreachable daemons show by their missing updates."""
        logger.debug('updates: %s', error)

    def find_stale_followers(self, now_s: float) -> list[TableFollower]:
        """Return the followers that are stale compared to other daemons.

        Each of them is recorded as restarted, so the caller must restart it.
        """
        return [
            follower
            for follower in self._followers
            if self._feed_versions.must_restart(
                follower.table,
                follower.feed_version,
                self._lag_s(follower),
                now_s,
            )
        ]

    def _lag_s(self, follower: TableFollower) -> float:
        """Return the normal delay of a follower in seconds."""
        lag_s = batch_pause_s(self._daemons.count())
        return (
            lag_s
            if follower.is_reader()
            else lag_s + 2 * _TABLE_UPDATE_INTERVAL_S
        )

    def _send_loss(self, target: str) -> None:
        """Send an update at once if this daemon found that an engine ended."""
        now_s = self._clock.now_s()
        if target in self._view.lost_engines.recent_losses(now_s):
            self._send_now()

    def _send_now(self) -> None:
        update = self._new_load_update(self._clock.now_s())
        self._send(self._encoder.encode(update))

    def _send_load_update(self) -> None:
        pause_s = update_interval_s(len(self._daemons.addresses))
        loop = asyncio.get_running_loop()
        self._load_timer = loop.call_later(pause_s, self._send_load_update)
        now_s = self._clock.now_s()
        update = self._new_load_update(now_s)
        # Without host, started_ms and number, which don't count as changes.
        content = msgspec.structs.astuple(update)[3:]
        is_same = content == self._last_content
        if is_same and now_s - self._last_sent_s < _HEARTBEAT_INTERVAL_S:
            return
        self._last_content = content
        self._last_sent_s = now_s
        self._send(self._encoder.encode(update))

    def _new_load_update(self, now_s: float) -> LoadUpdate:
        self._number += 1
        reservations = self._view.own_reservations.total_reservations()
        era = max(follower.era for follower in self._followers)
        return LoadUpdate(
            host=self._view.host.name,
            started_ms=self._started_ms,
            number=self._number,
            reservations={
                # The order of the fields of Reservation.
                engine: (
                    round(reservation.token_layers),
                    reservation.request_count,
                    reservation.first_stage_count,
                )
                for engine, reservation in reservations.items()
            },
            faults=tuple(
                TargetFault(target, round(left_s, 2))
                for target, left_s in self._view.faults.own_faults(
                    now_s
                ).items()
            ),
            leads=self._leader.is_leader(),
            lease=self._leader.row(),
            reports=self._reports(now_s),
            reassignments=self._reassignments(now_s),
            used=self._view.retry_budgets.usage(now_s),
            lost=self._view.lost_engines.recent_losses(now_s),
            feeds={
                follower.table: follower.newest_change or 0
                for follower in self._followers
                if follower.era == era
            },
            era=era,
            notices=self._view.crashes.outgoing(
                _notice_repeat_s(len(self._daemons.addresses)), now_s
            ),
            silence_age_s=round(self._health.silence_age_s(now_s), 2),
        )

    def _reassignments(self, now_s: float) -> dict[str, tuple[int, int, float]]:
        if not self._leader.is_leader():
            return {}
        return self._view.reassignments.pending(now_s)

    def _reports(self, now_s: float) -> dict[str, tuple[float, float]]:
        if not self._report_reader.is_report_reader(now_s):
            return {}
        return self._view.reports.find_unusual(now_s)

    def _send_table_updates(self) -> None:
        """Send the changes of the tables that this daemon reads for others."""
        loop = asyncio.get_running_loop()
        self._table_timer = loop.call_later(
            _TABLE_UPDATE_INTERVAL_S, self._send_table_updates
        )
        for follower in self._followers:
            if not follower.is_shared or not follower.is_reader():
                continue
            update = follower.new_update(self._view.host.name)
            if update is not None:
                self._send(self._encoder.encode(update))

    def _send(self, datagram: bytes) -> None:
        if self._transport is None:
            return
        for address in self._daemons.addresses.values():
            self._transport.sendto(datagram, address)


def _notice_repeat_s(receiver_count: int) -> float:
    """Return for how long a notice is repeated, as updates may be lost."""
    interval_s = update_interval_s(receiver_count)
    return _NOTICE_REPEATS * max(interval_s, _HEARTBEAT_INTERVAL_S)
