"""In-memory gossip network of daemons for measurements and tests."""

from __future__ import annotations

import random

import msgspec

from nutmegspoke.membership.gossip import Gossip
from nutmegspoke.membership.gossip_types import (
    GossipSettings,
    MergeResult,
    OwnState,
    PeerAddress,
    OutgoingMessage,
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
    """Build the gossip entry of a daemon."""
    return DaemonEntry(
        f'daemon-{number}',
        start,
        sequence,
        f'10.0.{number // 256}.{number % 256}:7000',
        'pnw-1',
        revision,
    )


def gossip(number: int = 1, start: int = 1) -> Gossip:
    """Build the gossip state of a daemon whose seed is daemon 1."""
    return Gossip(
        entry(number, start),
        GossipSettings(),
        random.Random(number),
        (PeerAddress(entry(1).address),),
    )


class PeerNetwork:
    """Network that delivers messages without delay.

    Messages to or from daemons that are cut off, and to daemons that have
    been removed from ``daemons``, are lost.

    :ivar daemons: gossip state of each daemon by address.
    :ivar cut_off: addresses that can neither send nor receive messages.
    :ivar sent_bytes: encoded bytes sent by each address.
    :ivar received: notices received by each address.
    :ivar now_s: simulated time.
    :ivar message_count: number of messages sent by all daemons.
    """

    def __init__(self, count: int) -> None:
        """Create ``count`` daemons that know only the address of the first."""
        built = [gossip(number) for number in range(1, count + 1)]
        self.daemons = {item.own.entry.address: item for item in built}
        self.cut_off: set[str] = set()
        self.sent_bytes = dict.fromkeys(self.daemons, 0)
        self.received: dict[str, list[Notice]] = {
            address: [] for address in self.daemons
        }
        self.now_s = 0.0
        self.message_count = 0

    def run(self, duration_s: float, state: OwnState | None = None) -> None:
        """Advance the time in steps; deliver the messages that are due.

        :param duration_s: simulated time to run.
        :param state: state that every daemon announces.
        """
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            for address, daemon in self.daemons.items():
                daemon.renew(state or OwnState(), self.now_s)
                for send in daemon.due_messages(self.now_s):
                    self._transmit(address, send)

    def others(self, address: str) -> list[Gossip]:
        """Return all daemons except the one at ``address``."""
        return [
            daemon for other, daemon in self.daemons.items() if other != address
        ]

    def _transmit(self, address: str, send: OutgoingMessage) -> None:
        sender = self.daemons[address]
        receiver = self.daemons.get(send.peer.address)
        self._count_message(address, send.message)
        if receiver is None or self.cut_off & {address, send.peer.address}:
            sender.suspect_peer(send.peer, self.now_s)
            return
        answer = self._deliver(receiver, send)
        self._count_message(send.peer.address, answer)
        self._receive(sender, answer)

    def _deliver(
        self, receiver: Gossip, send: OutgoingMessage
    ) -> Hello | Digest:
        if isinstance(send.message, Hello):
            self._receive(receiver, send.message)
            return receiver.answer_hello(self.now_s)
        if send.peer.start != receiver.own.entry.start:
            return Hello(receiver.own.entry)
        self._receive(receiver, send.message)
        return receiver.answer(self.now_s)

    def _receive(
        self, receiver: Gossip, message: Hello | Digest
    ) -> MergeResult:
        if isinstance(message, Hello):
            return receiver.receive_hello(message, self.now_s)
        received = receiver.receive(message, self.now_s)
        self.received[receiver.own.entry.address].extend(received.notices)
        return received

    def _count_message(self, address: str, message: Hello | Digest) -> None:
        self.message_count += 1
        size_bytes = len(msgspec.msgpack.encode(message)) + ENVELOPE_BYTES
        self.sent_bytes[address] += size_bytes
        self.daemons[address].budget.spend(size_bytes, self.now_s)
