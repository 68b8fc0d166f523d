"""Daemons that exchange messages in memory, for measurements and tests."""

from __future__ import annotations

import random

import msgspec

from nutmegspoke.membership.gossip import Gossip
from nutmegspoke.membership.gossip_types import (
    GossipSettings,
    Received,
    OwnState,
    PeerAddress,
    Send,
)
from nutmegspoke.membership.messages import DaemonEntry, Digest, Hello, Notice

STEP_S = 0.125
ENVELOPE_BYTES = 64


def entry(
    number: int = 1,
    start: int = 1,
    sequence: int = 1,
    revision: int = 0,
) -> DaemonEntry:
    """Build what a daemon says of itself."""
    return DaemonEntry(
        f'daemon-{number}',
        start,
        sequence,
        f'10.0.{number // 256}.{number % 256}:7000',
        'pnw-1',
        revision,
    )


def gossip(number: int = 1, start: int = 1) -> Gossip:
    """Build the exchange of one daemon with daemon 1 as its seed."""
    return Gossip(
        entry(number, start),
        GossipSettings(),
        random.Random(number),
        (PeerAddress(entry(1).address),),
    )


class PeerNetwork:
    """Carries messages at once, but for daemons that are cut off or ended.

    :param daemons: the exchanges by address.
    :param cut_off: addresses that reach nobody and are reached by nobody.
    :param sent_bytes: encoded bytes sent by each address.
    """

    def __init__(self, count: int) -> None:
        """Create daemons that know only the first one's address."""
        built = [gossip(number) for number in range(1, count + 1)]
        self.daemons = {item.own.entry.address: item for item in built}
        self.cut_off: set[str] = set()
        self.sent_bytes = dict.fromkeys(self.daemons, 0)
        self.heard: dict[str, list[Notice]] = {
            address: [] for address in self.daemons
        }
        self.now_s = 0.0
        self.message_count = 0

    def run(self, duration_s: float, state: OwnState | None = None) -> None:
        """Let time pass for all daemons that are not cut off."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            for address, daemon in self.daemons.items():
                daemon.renew(state or OwnState(), self.now_s)
                for send in daemon.due_messages(self.now_s):
                    self._carry(address, send)

    def others(self, address: str) -> list[Gossip]:
        """Return the daemons but one."""
        return [
            daemon for other, daemon in self.daemons.items() if other != address
        ]

    def _carry(self, address: str, send: Send) -> None:
        sender = self.daemons[address]
        receiver = self.daemons.get(send.peer.address)
        self._count(address, send.message)
        if receiver is None or self.cut_off & {address, send.peer.address}:
            sender.suspect_peer(send.peer, self.now_s)
            return
        answer = self._deliver(receiver, send)
        self._count(send.peer.address, answer)
        self._take(sender, answer)

    def _deliver(self, receiver: Gossip, send: Send) -> Hello | Digest:
        if isinstance(send.message, Hello):
            self._take(receiver, send.message)
            return receiver.answer_hello(self.now_s)
        if send.peer.start != receiver.own.entry.start:
            return Hello(receiver.own.entry)
        self._take(receiver, send.message)
        return receiver.answer(self.now_s)

    def _take(self, receiver: Gossip, message: Hello | Digest) -> Received:
        if isinstance(message, Hello):
            return receiver.receive_hello(message, self.now_s)
        heard = receiver.receive(message, self.now_s)
        self.heard[receiver.own.entry.address].extend(heard.notices)
        return heard

    def _count(self, address: str, message: Hello | Digest) -> None:
        self.message_count += 1
        size_bytes = len(msgspec.msgpack.encode(message)) + ENVELOPE_BYTES
        self.sent_bytes[address] += size_bytes
        self.daemons[address].budget.spend(size_bytes, self.now_s)
