"""Exchanges updates between daemons in UDP datagrams."""

from __future__ import annotations

import asyncio
import functools
import logging
from typing import TYPE_CHECKING, Any

import msgspec

from nutmegspoke.edge.paced_sender import PacedSender
from nutmegspoke.edge.update_contents import (
    HEARTBEAT_INTERVAL_S,
    UpdateContents,
)
from nutmegspoke.edge.update_receiver import UpdateReceiver
from nutmegspoke.membership import summaries
from nutmegspoke.membership.load_news import EventUpdate, update_interval_s
from nutmegspoke.membership.relays import SUMMARY_INTERVAL_S
from nutmegspoke.membership.table_delays import TABLE_UPDATE_INTERVAL_S

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.feeds import Feeds
    from nutmegspoke.edge.listeners import DaemonsListener
    from nutmegspoke.edge.update_contents import LeaderLease, ReportReader
    from nutmegspoke.edge.view import View
    from nutmegspoke.membership.load_news import LoadUpdate
    from nutmegspoke.membership.table_news import TableUpdate

logger = logging.getLogger(__name__)

# Share of the host's link for updates that relays forward.
_LINK_SHARE = 0.5
# Events in this time are sent together, as many engines may end at once.
_EVENT_DELAY_S = 0.01
# Requests to limited targets, and departures, in this time are told together.
_UNTOLD_DELAY_S = 0.02


class UpdateExchange(asyncio.DatagramProtocol):
    """UDP endpoint for updates on load, faults, tables and the lease.

    :param daemons: addresses of the other daemons.
    :param contents: creates the updates of this daemon.
    :param feeds: followers of the tables of the store.
    :ivar receiver: applies the updates of other daemons.
    """

    def __init__(
        self,
        view: View,
        daemons: DaemonsListener,
        contents: UpdateContents,
        receiver: UpdateReceiver,
        feeds: Feeds,
        clock: Clock,
    ) -> None:
        """Create an endpoint that is not started yet."""
        self._view = view
        self._relays = view.load_updates.relays
        self._daemons = daemons
        self._contents = contents
        self.receiver = receiver
        self._followers = feeds.followers
        self._clock = clock
        self._last_content: tuple[object, ...] = ()
        self._last_sent_s = float('-inf')
        self._transport: asyncio.DatagramTransport | None = None
        self._paced: PacedSender | None = None
        # Timers of the next sends, by the kind of update.
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._encoder = msgspec.msgpack.Encoder()

    async def start(self) -> None:
        """Open the endpoint and start to send updates."""
        loop = asyncio.get_running_loop()
        host = self._view.host
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(host.ip, host.peer_ports[0]),
        )
        self.start_sending()

    def start_sending(self) -> None:
        """Start to send updates at their intervals and after events."""
        self._send_load_update()
        self._send_table_updates()
        self._send_summaries()
        self._view.lost_engines.subscribe(self._send_loss)
        self._view.crashes.subscribe(self._send_crashes)
        tell = functools.partial(
            self._send_soon, 'untold', _UNTOLD_DELAY_S, self._send_untold
        )
        self._view.conditions.limits.on_sent = tell
        self._view.conditions.departures.on_announced = tell

    async def stop(self) -> None:
        """Stop the timers and close the endpoint."""
        for timer in self._timers.values():
            timer.cancel()
        if self._paced is not None:
            self._paced.stop()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: Any) -> None:
        """Store the transport.

        ``transport`` is typed ``Any`` as the class of the loop's transports
        has no common base class.
        """
        self._transport = transport
        link_bytes_per_s = self._view.host.limits.link_bytes_per_s
        self._paced = PacedSender(transport, _LINK_SHARE * link_bytes_per_s)

    def datagram_received(self, received: bytes, sender: object) -> None:
        """Apply an update from another daemon."""
        self.receiver.receive(received, sender)

    def error_received(self, error: Exception) -> None:
        """Log an error; unreachable daemons show by their missing updates."""
        logger.debug('updates: %s', error)

    def _send_loss(self, target: str) -> None:
        """Send an update at once if this daemon found that an engine ended."""
        now_s = self._clock.now_s()
        if target in self._view.lost_engines.recent_losses(now_s):
            self._send_soon('event', _EVENT_DELAY_S, self._send_event)

    def _send_crashes(self) -> None:
        """Send the crashes that this daemon found, at once if it uses no relays.

        All daemons find the crash of an engine that all use; relays merge what
        they send with their next updates.
        """
        if not self._relays.is_relayed:
            self._send_soon('event', _EVENT_DELAY_S, self._send_event)

    def _send_soon(
        self, name: str, delay_s: float, send: Callable[[], None]
    ) -> None:
        """Send something to all others shortly, with what comes until then."""
        if name not in self._timers:
            self._schedule(name, delay_s, send)

    def _send_event(self) -> None:
        self._timers.pop('event')
        event = self._contents.new_event(self._clock.now_s())
        if self._relays.is_relayed:
            event = msgspec.structs.replace(event, notices=())
        self._send(event, self._daemons.addresses)

    def _send_untold(self) -> None:
        """Tell all others what was sent to limited targets, and who leaves.

        Summaries would tell it too late for limits of few requests a second.
        """
        self._timers.pop('untold')
        conditions = self._view.conditions
        event = EventUpdate(
            self._view.host.name,
            sent=conditions.limits.take_untold(),
            leaving=conditions.departures.take_untold(),
        )
        self._send(event, self._daemons.addresses)

    def _send_load_update(self) -> None:
        pause_s = update_interval_s(self._daemons.count())
        self._schedule('load', pause_s, self._send_load_update)
        now_s = self._clock.now_s()
        self._relays.replace_hosts(self._daemons.zones)
        receivers = self._relays.update_receivers(now_s)
        update = self._contents.new_update(now_s)
        if update.lost and self._relays.is_relayed:
            # Summaries contain no losses, as they would arrive too late.
            self._send_soon('event', _EVENT_DELAY_S, self._send_event)
        # Without host, started_ms and number, which don't count as changes.
        content = (receivers, *msgspec.structs.astuple(update)[3:])
        is_same = content == self._last_content
        if is_same and now_s - self._last_sent_s < HEARTBEAT_INTERVAL_S:
            return
        self._last_content = content
        self._last_sent_s = now_s
        self._send(update, receivers)

    def _send_summaries(self) -> None:
        """Send summaries to members and other groups, if this is a relay."""
        self._schedule('summary', SUMMARY_INTERVAL_S, self._send_summaries)
        now_s = self._clock.now_s()
        received = self._view.load_updates
        if not received.is_relay(now_s):
            return
        own = self._contents.new_update(now_s)
        for hosts, update in summaries.new_summaries(own, received, now_s):
            self._send(update, hosts)

    def _send_table_updates(self) -> None:
        """Send the changes of the tables that this daemon reads for others."""
        self._schedule(
            'table', TABLE_UPDATE_INTERVAL_S, self._send_table_updates
        )
        receivers = self._table_receivers(self._clock.now_s())
        for follower in self._followers:
            if not follower.sharing.has_receivers():
                continue
            update = follower.new_update(self._view.host.name)
            if update is not None:
                self._send(update, receivers)

    def _schedule(
        self, name: str, delay_s: float, send: Callable[[], None]
    ) -> None:
        loop = asyncio.get_running_loop()
        self._timers[name] = loop.call_later(delay_s, send)

    def _table_receivers(self, now_s: float) -> Iterable[str]:
        """Return the daemons that rely on this one for tables it reads."""
        if not self._relays.is_relayed:
            return self._daemons.addresses
        members = self._view.load_updates.asking_members(now_s)
        return [member.host for member in members]

    def _send(
        self,
        update: LoadUpdate | EventUpdate | TableUpdate,
        receivers: Iterable[str],
    ) -> None:
        """Send an update to daemons whose address is known.

        :param receivers: names of their hosts.
        """
        if self._transport is None or self._paced is None:
            return
        datagram = self._encoder.encode(update)
        is_paced = self._relays.is_relayed and not isinstance(
            update, EventUpdate
        )
        send = self._paced.send if is_paced else self._transport.sendto
        for host in receivers:
            address = self._daemons.addresses.get(host)
            if address is not None:
                send(datagram, address)


def new_exchange(
    view: View,
    daemons: DaemonsListener,
    leader: LeaderLease,
    report_reader: ReportReader,
    feeds: Feeds,
    clock: Clock,
) -> UpdateExchange:
    """Return the exchange of updates of a daemon, which is not started yet.

    :param daemons: addresses of the other daemons.
    :param leader: provides and receives the lease row.
    :param report_reader: provides whether this daemon reads the reports.
    :param feeds: followers of the tables of the store.
    """
    contents = UpdateContents(view, leader, report_reader, feeds, clock)
    receiver = UpdateReceiver(view, daemons, leader, feeds, clock)
    return UpdateExchange(view, daemons, contents, receiver, feeds, clock)
