"""The exchange of soft state between daemons."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from nutmegspoke.membership.budget import ByteBudget
from nutmegspoke.membership.dissemination import copies_for
from nutmegspoke.membership.gossip_types import (
    GossipSettings,
    Received,
    OwnState,
    PeerAddress,
    Send,
)
from nutmegspoke.membership.members import Member, Members
from nutmegspoke.membership.messages import (
    DaemonEntry,
    Digest,
    Hello,
    Notice,
    NoticeKind,
)
from nutmegspoke.membership.news import News
from nutmegspoke.membership.own_entries import OwnEntries
from nutmegspoke.membership.view import PeerView

if TYPE_CHECKING:
    from collections.abc import Iterable

    from nutmegspoke.membership.randomness import RandomSource

_MISSED_HEARTBEATS = 4.0
_FORGET_AFTER_S = 300.0
_BURST_S = 4.0
_HEARTBEAT_SHARE = 0.5
_ENTRY_BYTES = 64
_JOIN_BYTES = 49_152


class Gossip:
    """Decides what to tell which peer, and keeps what peers have told.

    Each round writes to a few peers of a random view. A message holds the
    sender's own entry and the news passed on least often so far, up to a size;
    its answer is made the same way. News is passed on a number of times that
    grows with the logarithm of the number of daemons. With many daemons
    heartbeats grow rarer, to fit the bound on bytes; a daemon that does not
    answer is found by those that have it in view, and has time to contradict.
    """

    def __init__(
        self,
        own: DaemonEntry,
        settings: GossipSettings,
        random_source: RandomSource,
        seeds: Iterable[PeerAddress] = (),
    ) -> None:
        """Create an exchange that knows of no other daemon.

        :param own: first entry of this daemon.
        :param seeds: addresses of peers from the settings.
        """
        self.own = OwnEntries.from_entry(own)
        self.view = PeerView(settings, random_source, tuple(seeds))
        self.budget = ByteBudget(
            settings.bytes_per_s,
            settings.bytes_per_s * _BURST_S,
        )
        self.shared_state = News(Members(0.0, 0.0, _FORGET_AFTER_S))
        self._settings = settings
        self._heard_s = -math.inf
        self._round_s = -math.inf
        self._highest_revision = own.revision

    def renew(self, state: OwnState, now_s: float) -> None:
        """Renew this daemon's entry and demand if they changed or are due."""
        self.own.renew(state, now_s, self.heartbeat_s())
        self._highest_revision = max(self._highest_revision, state.revision)

    def announce(self, notice: Notice, now_s: float) -> None:
        """Tell the peers something that this daemon has found."""
        self.shared_state.notices.take(notice, now_s)
        self._round_s = -math.inf

    def due_messages(self, now_s: float) -> tuple[Send, ...]:
        """Return the messages of a round, if one is due."""
        if now_s - self._round_s < self._settings.round_s:
            return ()
        self._round_s = now_s
        self._scale(now_s)
        if self.budget.left_bytes(now_s) <= 0:
            return ()
        peers = self.view.next_peers(
            self.shared_state.members,
            self.own.entry.address,
            now_s,
        )
        return tuple(
            Send(peer, self._message_to(peer, now_s)) for peer in peers
        )

    def receive_hello(self, hello: Hello, now_s: float) -> Received:
        """Take the first message of a peer."""
        return self.receive(Digest(entries=(hello.entry,)), now_s)

    def receive(self, digest: Digest, now_s: float) -> Received:
        """Take a message or an answer of a peer."""
        self._heard_s = now_s
        entries = [
            entry for entry in digest.entries if _key(entry) != self.own.key
        ]
        joined = tuple(
            entry
            for entry in entries
            if self.shared_state.take_entry(entry, now_s)
        )
        if joined:
            self.view.redraw()
        for demand in digest.demands:
            self.shared_state.take_demand(demand)
        revisions = [entry.revision for entry in entries]
        self._highest_revision = max(self._highest_revision, *revisions, 0)
        notices = tuple(
            notice
            for notice in digest.notices
            if self._take_notice(notice, now_s)
        )
        self._accuse_again(entries, now_s)
        return Received(joined, notices, self._highest_revision)

    def answer(self, now_s: float) -> Digest:
        """Return the answer to a digest."""
        is_overdrawn = self.budget.left_bytes(now_s) <= 0
        room_bytes = 0 if is_overdrawn else self._settings.message_bytes
        return self.shared_state.compose(self.own, now_s, room_bytes)

    def answer_hello(self, now_s: float) -> Digest:
        """Return the answer to a peer that has just joined."""
        left_bytes = self.budget.left_bytes(now_s)
        room_bytes = max(self._settings.message_bytes, left_bytes)
        return self.shared_state.compose_all(
            self.own,
            now_s,
            min(_JOIN_BYTES, room_bytes),
        )

    def unanswered(self, peer: PeerAddress, now_s: float) -> bool:
        """Note that a peer did not answer, on a new connection either.

        :returns: whether it was not suspected before.
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
        """Return the other daemons that count as live."""
        return self.shared_state.members.live(now_s)

    def is_cut_off(self, now_s: float) -> bool:
        """Tell whether peers are known and none of them is heard.

        A daemon that was frozen is cut off until it hears one again.
        """
        if not self.view.knows_peers(
            self.shared_state.members, self.own.entry.address
        ):
            return False
        return now_s - self._heard_s > self._settings.cut_off_after_s

    def peer_ahead(self, revision: int, now_s: float) -> PeerAddress | None:
        """Return a live peer that has seen a higher revision, if any."""
        members = self.shared_state.members.live(now_s)
        best = max(members, key=_revision, default=None)
        if best is None or best.entry.revision <= revision:
            return None
        entry = best.entry
        return PeerAddress(entry.address, entry.name, entry.start)

    def heartbeat_s(self) -> float:
        """Return the time between two entries with so many daemons."""
        count = len(self.shared_state.members)
        spread_bytes = count * _ENTRY_BYTES * copies_for(count)
        bytes_per_s = self._settings.bytes_per_s * _HEARTBEAT_SHARE
        return max(self._settings.heartbeat_s, spread_bytes / bytes_per_s)

    def _message_to(self, peer: PeerAddress, now_s: float) -> Digest | Hello:
        if not peer.start:
            return Hello(self.own.entry)
        return self.shared_state.compose(
            self.own, now_s, self._settings.message_bytes
        )

    def _take_notice(self, notice: Notice, now_s: float) -> bool:
        if not self.shared_state.notices.take(notice, now_s):
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

    def _accuse_again(self, entries: list[DaemonEntry], now_s: float) -> None:
        """Let a suspected daemon that speaks know, so that it contradicts."""
        if not entries:
            return
        member = self.shared_state.members.find(_key(entries[0]))
        if member is not None and member.suspected_s is not None:
            self.shared_state.notices.take(
                _build_suspicion(member.entry), now_s
            )

    def _scale(self, now_s: float) -> None:
        self.shared_state.forget_silent(now_s)
        members = self.shared_state.members
        rounds = copies_for(len(members)) - 2
        members.confirm_after_s = self._settings.round_s * rounds
        silence_s = self.heartbeat_s() * _MISSED_HEARTBEATS
        members.suspect_after_s = silence_s + members.confirm_after_s
        members.forget_after_s = _FORGET_AFTER_S + members.suspect_after_s


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
