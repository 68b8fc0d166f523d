"""Sends this daemon's news to the others and takes theirs, by datagrams."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from nutmegspoke.edge.followers import gather_s
from nutmegspoke.membership.feed_versions import FeedVersions
from nutmegspoke.membership.load_news import (
    LoadUpdate,
    TargetFault,
    update_interval_s,
)
from nutmegspoke.membership.table_news import TableUpdate

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.followers import TableFollower
    from nutmegspoke.edge.listeners import DaemonsListener
    from nutmegspoke.edge.view import View

logger = logging.getLogger(__name__)

# Pause between news of tables: a reader reads them as often.
_TABLES_S = 0.4
# Unchanged news are sent this often, as a sign of life.
_SIGN_OF_LIFE_S = 0.5


class Leader(Protocol):
    """Tells whether this daemon leads, and hears who else does."""

    def leads(self) -> bool:
        """Tell whether this daemon holds the lease on placement."""

    def row(self) -> tuple[int, bytes] | None:
        """Return version and body of the lease row, if this daemon leads."""

    def heard(self, version: int, body: bytes) -> None:
        """Take the lease row as another daemon tells it."""


class ReportReader(Protocol):
    """Tells who reads the engines' reports."""

    def reads_for_all(self, now_s: float) -> bool:
        """Tell whether this daemon reads the reports that the others use."""


class NewsExchange(asyncio.DatagramProtocol):
    """Tells the other daemons the load and the faults that this one sees.

    :param daemons: addresses of the others.
    :param leader: tells whether this daemon leads.
    :param polls: tells whether this daemon reads the engines' reports.
    :param feeds: feeds of the store that this daemon follows.
    """

    def __init__(
        self,
        view: View,
        daemons: DaemonsListener,
        leader: Leader,
        polls: ReportReader,
        feeds: Sequence[TableFollower],
        clock: Clock,
    ) -> None:
        """Prepare to exchange."""
        self._view = view
        self._daemons = daemons
        self._leader = leader
        self._polls = polls
        self._feeds = feeds
        self._feed_versions = FeedVersions()
        self._clock = clock
        self._started_ms = int(clock.wall_s() * 1_000)
        self._number = 0
        self._sent: tuple[object, ...] = ()
        self._sent_s = float('-inf')
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._table_timer: asyncio.TimerHandle | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(LoadUpdate | TableUpdate)

    async def start(self) -> None:
        """Listen and begin to send."""
        loop = asyncio.get_running_loop()
        host = self._view.host
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(host.ip, host.peer_ports[0]),
        )
        self._tick()
        self._tell_tables()
        self._view.lost_engines.subscribe(self._tell_loss)

    async def stop(self) -> None:
        """Send and listen no more."""
        for timer in (self._timer, self._table_timer):
            if timer is not None:
                timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Take the transport; the loop's own class shares no base class."""
        self._transport = transport

    def datagram_received(self, received: bytes, sender: object) -> None:
        """Take another daemon's news."""
        try:
            news = self._decoder.decode(received)
        except msgspec.MsgspecError as error:
            logger.info('news: not read from %s: %s', sender, error)
            return
        if isinstance(news, TableUpdate):
            self._heard_table(news)
        else:
            self._heard_load(news, self._clock.now_s())

    def _heard_table(self, news: TableUpdate) -> None:
        for feed in self._feeds:
            if feed.table == news.table and not feed.is_reader():
                feed.heard(news)

    def _heard_load(self, news: LoadUpdate, now_s: float) -> None:
        if not self._view.board.receive(news, now_s):
            return
        for fault in news.faults:
            self._view.faults.heard_of(fault.target, fault.left_s, now_s)
        self._feed_versions.heard(news.feeds, now_s)
        self._view.reports.heard(news.reports, now_s)
        self._view.reassignments.heard(news.reassignments, now_s)
        self._view.lost_engines.heard(news.lost, now_s)
        if news.lease is not None:
            self._leader.heard(*news.lease)

    def error_received(self, error: Exception) -> None:
        """Ignore that a daemon is not there: its silence tells it."""
        logger.debug('news: %s', error)

    def silent_feeds(self, now_s: float) -> list[TableFollower]:
        """Return the feeds that others show to be behind."""
        return [
            feed
            for feed in self._feeds
            if self._feed_versions.must_restart(
                feed.table,
                feed.newest_change,
                self._lag_s(feed),
                now_s,
            )
        ]

    def _lag_s(self, feed: TableFollower) -> float:
        """Return how old what a feed has read may be."""
        lag_s = gather_s(self._daemons.count())
        return lag_s if feed.is_reader() else lag_s + 2 * _TABLES_S

    def _tell_loss(self, target: str) -> None:
        """Tell at once that this daemon has found that an engine has ended."""
        now_s = self._clock.now_s()
        if target in self._view.lost_engines.recent_losses(now_s):
            self._send(self._encoder.encode(self._news(now_s)))

    def _tick(self) -> None:
        pause_s = update_interval_s(len(self._daemons.addresses))
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(pause_s, self._tick)
        now_s = self._clock.now_s()
        news = self._news(now_s)
        content = msgspec.structs.astuple(news)[3:]
        is_same = content == self._sent
        if is_same and now_s - self._sent_s < _SIGN_OF_LIFE_S:
            return
        self._sent = content
        self._sent_s = now_s
        self._send(self._encoder.encode(news))

    def _news(self, now_s: float) -> LoadUpdate:
        self._number += 1
        reservations = self._view.ledger.promised()
        return LoadUpdate(
            host=self._view.host.name,
            started_ms=self._started_ms,
            number=self._number,
            reservations={
                engine: (
                    round(promise.token_layers),
                    promise.requests,
                    promise.firsts,
                )
                for engine, promise in reservations.items()
            },
            faults=tuple(
                TargetFault(target, round(left_s, 2))
                for target, left_s in self._view.faults.own_faults(
                    now_s
                ).items()
            ),
            leads=self._leader.leads(),
            lease=self._leader.row(),
            reports=self._reports(now_s),
            reassignments=self._moves(now_s),
            used=self._view.budgets.used(now_s),
            lost=self._view.lost_engines.recent_losses(now_s),
            feeds={feed.table: feed.newest_change or 0 for feed in self._feeds},
        )

    def _moves(self, now_s: float) -> dict[str, tuple[int, int, float]]:
        if not self._leader.leads():
            return {}
        return self._view.reassignments.pending(now_s)

    def _reports(self, now_s: float) -> dict[str, tuple[float, float]]:
        if not self._polls.reads_for_all(now_s):
            return {}
        return self._view.reports.find_unusual(now_s)

    def _tell_tables(self) -> None:
        """Tell the changes of the tables that this daemon reads for all."""
        loop = asyncio.get_running_loop()
        self._table_timer = loop.call_later(_TABLES_S, self._tell_tables)
        for feed in self._feeds:
            if not feed.is_passed_on or not feed.is_reader():
                continue
            news = feed.news(self._view.host.name)
            if news is not None:
                self._send(self._encoder.encode(news))

    def _send(self, datagram: bytes) -> None:
        if self._transport is None:
            return
        for address in self._daemons.addresses.values():
            self._transport.sendto(datagram, address)
