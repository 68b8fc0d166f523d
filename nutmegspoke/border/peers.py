"""Exchanges daemon state and tables with the other daemons."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from nutmegspoke.border.peer_exchange import PeerExchange
from nutmegspoke.border.periodic import Periodic
from nutmegspoke.membership.messages import (
    Notice,
    NoticeKind,
    TablesReply,
    TablesRequest,
)
from nutmegspoke.membership.gossip_types import (
    GossipSettings,
    MergeResult,
    OwnState,
    OutgoingMessage,
)
from nutmegspoke.membership.states import LeavingNote, Source
from nutmegspoke.tables.revisions import PeerReport
from nutmegspoke.targets import TargetState

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.border.inflight import InFlight
    from nutmegspoke.border.peer_wire import PeerWire
    from nutmegspoke.border.tables_watch import TablesWatch
    from nutmegspoke.border.target_watch import TargetWatch
    from nutmegspoke.membership.gossip import Gossip
    from nutmegspoke.membership.gossip_types import PeerAddress
    from nutmegspoke.membership.members import Member
    from nutmegspoke.membership.messages import Digest, TeamDemand
    from nutmegspoke.membership.states import StateChange

logger = logging.getLogger(__name__)
NAME = 'peers'


def no_demand() -> tuple[TeamDemand, ...]:
    """Return an empty demand, the default of :attr:`Peers.get_demands`."""
    return ()


class Peers:
    """Connects this daemon's services to the exchange with its peers.

    :ivar get_demands: returns the demands of teams at this daemon, largest
        first.
    :ivar on_quarantine: called with each encoded notice of a crash or a
        quarantine that a peer has announced, and its age in seconds.
    """

    def __init__(
        self,
        gossip: Gossip,
        wire: PeerWire,
        clock: Clock,
        tables: TablesWatch,
        targets: TargetWatch,
        in_flight: InFlight,
    ) -> None:
        """Prepare the exchange; :meth:`start` opens the listener."""
        self.get_demands: Callable[[], tuple[TeamDemand, ...]] = no_demand
        self.on_quarantine: Callable[[str, float], None] | None = None
        self.gossip = gossip
        self._exchange = PeerExchange(gossip, wire, clock, self)
        self._clock = clock
        self._tables = tables
        self._targets = targets
        self._in_flight = in_flight
        self._periodic = Periodic(NAME, GossipSettings().round_s, self._round)

    @property
    def name(self) -> str:
        """Return the name of this daemon."""
        return self.gossip.own.entry.name

    @property
    def start_number(self) -> int:
        """Return the random number that identifies this start."""
        return self.gossip.own.entry.start

    async def start(self) -> None:
        """Start to listen and to run rounds."""
        self._targets.on_change = self._announce_leaving
        self._exchange.start()
        self._periodic.start()

    async def stop(self) -> None:
        """Stop the rounds and close the listener."""
        await self._periodic.stop()
        await self._exchange.stop()

    def live(self) -> tuple[Member, ...]:
        """Return the other daemons that count as live."""
        return self.gossip.live(self._clock.now_s())

    def is_cut_off(self) -> bool:
        """Return whether peers are known, but all are unreachable."""
        return self.gossip.is_cut_off(self._clock.now_s())

    def announce_quarantine(self, encoded_notice: str) -> None:
        """Announce to peers a crash of a target or a quarantine.

        :param encoded_notice: the notice, as text.
        """
        self._announce(NoticeKind.QUARANTINE, encoded_notice, '')

    def build_tables_reply(self, request: TablesRequest) -> TablesReply | None:
        """Return the rows that update a peer to the revision in force.

        :returns: ``None`` if there is nothing to send.
        """
        return self._tables.history.reply(request.revision)

    def apply_tables_reply(self, reply: TablesReply) -> None:
        """Apply table rows received from a peer."""
        self._tables.apply_peer_reply(reply)

    def handle_received(self, received: MergeResult) -> None:
        """Process the content of a received message."""
        for entry in received.joined:
            logger.info(
                'peers: daemon joined name=%s start=%d address=%s zone=%s',
                entry.name,
                entry.start,
                entry.address,
                entry.availability_zone,
            )
        for notice in received.notices:
            self._handle_notice(notice)
        if received.revision > self._tables.current.revision:
            # Request the newer tables now instead of in the next round.
            self._periodic.wake()

    def record_answer(self, digest: Digest, asked_s: float) -> None:
        """Record the revision that a peer reports in its answer."""
        if not digest.entries:
            return
        # The sender's own entry comes first.
        peer_entry = digest.entries[0]
        self._tables.tracker.record_report(
            PeerReport(
                peer_entry.address,
                peer_entry.revision,
                asked_s,
                digest.confirmed_age_s,
                peer_entry.is_store_reachable,
            ),
        )

    def record_no_answer(self, peer: PeerAddress, asked_s: float) -> None:
        """Record that a peer did not answer."""
        self._tables.tracker.record_unanswered(peer.address, asked_s)

    async def _round(self) -> None:
        now_s = self._clock.now_s()
        self.gossip.renew(self._own_state(), now_s)
        newer_peer = self.gossip.find_newer_peer(
            self._tables.current.revision, now_s
        )
        if newer_peer is not None:
            request = TablesRequest(self._tables.current.revision)
            self._exchange.send(OutgoingMessage(newer_peer, request))
        for send in self.gossip.due_messages(now_s):
            self._exchange.send(send)

    def _own_state(self) -> OwnState:
        return OwnState(
            revision=self._tables.current.revision,
            is_store_reachable=self._tables.is_store_reachable,
            is_stopping=self._in_flight.is_stopping,
            demands=self.get_demands(),
            confirmed_s=self._tables.confirmed_s,
        )

    def _handle_notice(self, notice: Notice) -> None:
        if notice.kind == NoticeKind.LEAVING_TARGET:
            note = LeavingNote(notice.subject, notice.detail, notice.age_s)
            self._targets.peer_reported_leaving(note)
        elif self.on_quarantine is not None:
            self.on_quarantine(notice.subject, notice.age_s)

    def _announce_leaving(self, change: StateChange) -> None:
        is_leaving = change.state == TargetState.LEAVING
        if is_leaving and change.source != Source.PEER:
            self._announce(
                NoticeKind.LEAVING_TARGET,
                change.address,
                change.start_id,
            )

    def _announce(
        self,
        kind: NoticeKind,
        subject: str,
        detail: str,
    ) -> None:
        notice = Notice(kind, subject, detail, 0.0)
        self.gossip.announce(notice, self._clock.now_s())
        self._periodic.wake()
