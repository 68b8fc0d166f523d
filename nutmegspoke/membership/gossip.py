"""Gossip protocol that exchanges soft state between daemons."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from nutmegspoke.membership.budget import ByteBudget
from nutmegspoke.membership.dissemination import transmission_limit
from nutmegspoke.membership.gossip_types import (
    GossipSettings,
    MergeResult,
    OutgoingMessage,
    OwnState,
    PeerAddress,
)
from nutmegspoke.membership.members import Member, Members
from nutmegspoke.membership.messages import (
    DaemonEntry,
    Digest,
    Hello,
    Notice,
    NoticeKind,
)
from nutmegspoke.membership.news import SharedState
from nutmegspoke.membership.own_entries import OwnEntries
from nutmegspoke.membership.view import PeerView

if TYPE_CHECKING:
    from collections.abc import Iterable

    from nutmegspoke.membership.randomness import RandomSource

# Heartbeats missed before a daemon is considered silent.
_MISSED_HEARTBEATS = 4.0
# Additional silence until the entry of a daemon is removed.
_FORGET_AFTER_S = 300.0
# Burst of the byte budget, as the time in which the limit allows these bytes.
_BURST_DURATION_S = 4.0
# Share of the limit on bytes that is available for heartbeats.
_HEARTBEAT_SHARE = 0.5
# Approximate size of an entry.
_ENTRY_BYTES = 64
# Limit on the answer to a daemon that joins.
_MAX_JOIN_BYTES = 49_152


class Gossip:
    """Composes the messages to peers and merges the state they send.

    It does no I/O. In each round it sends to a few peers of a random view. A
    message contains the sender's entry and the items sent least often so far,
    up to a size; the answer is composed in the same way. Each item is sent a
    number of times that grows with the logarithm of the number of daemons.

    With many daemons the heartbeat interval grows, to keep within the limit on
    bytes per second, and silence alone is noticed late. Therefore peers also
    suspect a daemon that does not answer their messages, and announce this to
    the others. A suspected daemon that is still running receives the suspicion
    and has time to refute it, as in the SWIM protocol.
    """

    def __init__(
        self,
        own_entry: DaemonEntry,
        settings: GossipSettings,
        random_source: RandomSource,
        seeds: Iterable[PeerAddress] = (),
    ) -> None:
        """Start without other daemons.

        :param own_entry: first entry of this daemon.
        :param random_source: draws the view of peers.
        :param seeds: addresses of peers from the settings.
        """
        self.own = OwnEntries.from_entry(own_entry)
        self.view = PeerView(settings, random_source, tuple(seeds))
        self.budget = ByteBudget(
            settings.bytes_per_s,
            settings.bytes_per_s * _BURST_DURATION_S,
        )
        # The timeouts are 0 until the first call of due_messages().
        self.shared_state = SharedState(Members(0.0, 0.0, _FORGET_AFTER_S))
        self._settings = settings
        self._last_received_s = -math.inf
        self._last_round_s = -math.inf
        self._highest_revision = own_entry.revision

    def renew(self, state: OwnState, now_s: float) -> None:
        """Renew this daemon's entry and demand if they changed or are due."""
        self.own.renew(state, now_s, self.heartbeat_interval_s())
        self._highest_revision = max(self._highest_revision, state.revision)

    def announce(self, notice: Notice, now_s: float) -> None:
        """Add a notice of this daemon and make the next round due at once."""
        self.shared_state.notices.add(notice, now_s)
        self._last_round_s = -math.inf

    def due_messages(self, now_s: float) -> tuple[OutgoingMessage, ...]:
        """Return the messages of a round; empty if no round is due.

        No message is sent while the limit on bytes is overdrawn. A round that
        is due also removes members that have been silent for long, and adapts
        the timeouts to the number of members.
        """
        if now_s - self._last_round_s < self._settings.round_s:
            return ()
        self._last_round_s = now_s
        self._update_timeouts(now_s)
        if self.budget.left_bytes(now_s) <= 0:
            return ()
        peers = self.view.next_peers(
            self.shared_state.members,
            self.own.entry.address,
            now_s,
        )
        return tuple(
            OutgoingMessage(peer, self._message_to(peer, now_s))
            for peer in peers
        )

    def receive_hello(self, hello: Hello, now_s: float) -> MergeResult:
        """Merge the first message of a peer."""
        return self.receive(Digest(entries=(hello.entry,)), now_s)

    def receive(self, digest: Digest, now_s: float) -> MergeResult:
        """Merge a message or an answer of a peer.

        :returns: what was not known before.
        """
        self._last_received_s = now_s
        entries = [
            entry for entry in digest.entries if _key(entry) != self.own.key
        ]
        joined = tuple(
            entry
            for entry in entries
            if self.shared_state.receive_entry(entry, now_s)
        )
        if joined:
            self.view.redraw()
        for demand in digest.demands:
            self.shared_state.receive_demand(demand)
        revisions = [entry.revision for entry in entries]
        self._highest_revision = max(self._highest_revision, *revisions, 0)
        notices = tuple(
            notice
            for notice in digest.notices
            if self._receive_notice(notice, now_s)
        )
        self._repeat_suspicion(entries, now_s)
        return MergeResult(joined, notices, self._highest_revision)

    def answer(self, now_s: float) -> Digest:
        """Return the answer to a digest.

        While the limit on bytes is overdrawn, it contains only this daemon's
        entry and demand and a few items.
        """
        is_overdrawn = self.budget.left_bytes(now_s) <= 0
        limit_bytes = 0 if is_overdrawn else self._settings.message_bytes
        return self.shared_state.compose(self.own, now_s, limit_bytes)

    def answer_hello(self, now_s: float) -> Digest:
        """Return the answer to a peer that has just joined.

        It may use all bytes that are available now, up to a limit.
        """
        left_bytes = self.budget.left_bytes(now_s)
        limit_bytes = max(self._settings.message_bytes, left_bytes)
        return self.shared_state.compose_all(
            self.own,
            now_s,
            min(_MAX_JOIN_BYTES, limit_bytes),
        )

    def suspect_peer(self, peer: PeerAddress, now_s: float) -> bool:
        """Suspect a peer that did not answer, not even on a new connection.

        :returns: ``False`` if the peer is unknown or suspected already.
        """
        key = (peer.name, peer.start)
        member = self.shared_state.members.find(key)
        if member is None:
            return False
        refutations = member.entry.refutations
        if not self.shared_state.members.suspect(key, refutations, now_s):
            return False
        self.announce(_build_suspicion(member.entry), now_s)
        return True

    def live(self, now_s: float) -> tuple[Member, ...]:
        """Return the other daemons that are considered live."""
        return self.shared_state.members.live(now_s)

    def is_cut_off(self, now_s: float) -> bool:
        """Return whether peers are known, but none has recently sent a message.

        The limit is ``cut_off_after_s`` of the settings. A daemon that was
        frozen is cut off until it receives a message.
        """
        if not self.view.knows_peers(
            self.shared_state.members, self.own.entry.address
        ):
            return False
        return now_s - self._last_received_s > self._settings.cut_off_after_s

    def find_newer_peer(
        self, revision: int, now_s: float
    ) -> PeerAddress | None:
        """Return the live peer with the highest revision of the tables.

        :returns: ``None`` if no peer has a higher one than ``revision``.
        """
        members = self.shared_state.members.live(now_s)
        best = max(members, key=_revision, default=None)
        if best is None or best.entry.revision <= revision:
            return None
        entry = best.entry
        return PeerAddress(entry.address, entry.name, entry.start)

    def heartbeat_interval_s(self) -> float:
        """Return the heartbeat interval for the current number of daemons."""
        count = len(self.shared_state.members)
        spread_bytes = count * _ENTRY_BYTES * transmission_limit(count)
        bytes_per_s = self._settings.bytes_per_s * _HEARTBEAT_SHARE
        return max(self._settings.heartbeat_s, spread_bytes / bytes_per_s)

    def _message_to(self, peer: PeerAddress, now_s: float) -> Digest | Hello:
        if not peer.start:
            return Hello(self.own.entry)
        return self.shared_state.compose(
            self.own, now_s, self._settings.message_bytes
        )

    def _receive_notice(self, notice: Notice, now_s: float) -> bool:
        """Return whether a notice is new and to be reported to the caller.

        Suspicions are handled here and not reported.
        """
        if not self.shared_state.notices.add(notice, now_s):
            return False
        if notice.kind != NoticeKind.SUSPECTED_DAEMON:
            return True
        if not notice.detail.isdecimal():
            return False
        key = (notice.subject, int(notice.detail))
        if key == self.own.key:
            self.own.refute(notice.number, now_s)
        else:
            self.shared_state.members.suspect(key, notice.number, now_s)
        return False

    def _repeat_suspicion(
        self, entries: list[DaemonEntry], now_s: float
    ) -> None:
        """Send a suspicion again if the suspected daemon itself sent a message.

        The daemon is evidently running and can refute the suspicion.
        """
        if not entries:
            return
        # The first entry of a message is the sender's.
        member = self.shared_state.members.find(_key(entries[0]))
        if member is not None and member.suspected_s is not None:
            self.shared_state.notices.add(_build_suspicion(member.entry), now_s)

    def _update_timeouts(self, now_s: float) -> None:
        self.shared_state.forget_silent(now_s)
        members = self.shared_state.members
        # Without its constant 2, the limit is the logarithm of the number of
        # daemons, with which the rounds to reach all of them grow.
        rounds = transmission_limit(len(members)) - 2
        members.refutation_timeout_s = self._settings.round_s * rounds
        heartbeat_timeout_s = self.heartbeat_interval_s() * _MISSED_HEARTBEATS
        members.silence_timeout_s = (
            heartbeat_timeout_s + members.refutation_timeout_s
        )
        members.forget_after_s = _FORGET_AFTER_S + members.silence_timeout_s


def _build_suspicion(entry: DaemonEntry) -> Notice:
    return Notice(
        NoticeKind.SUSPECTED_DAEMON,
        entry.name,
        str(entry.start),
        0.0,
        entry.refutations,
    )


def _key(entry: DaemonEntry) -> tuple[str, int]:
    return entry.name, entry.start


def _revision(member: Member) -> int:
    return member.entry.revision
