"""Sends and answers the messages between daemons."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Protocol

from nutmegspoke.border.peer_sockets import PeerLink, PeerListener
from nutmegspoke.border.peer_wire import Misaddressed, PeerWire, VerifiedMessage
from nutmegspoke.membership.messages import (
    Digest,
    Hello,
    Nothing,
    TablesReply,
    TablesRequest,
)

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.membership.gossip import Gossip
    from nutmegspoke.membership.gossip_types import (
        MergeResult,
        PeerAddress,
        OutgoingMessage,
    )
    from nutmegspoke.membership.messages import Message

logger = logging.getLogger(__name__)
_MAX_LINKS = 64


class PeerHandler(Protocol):
    """Handler of the content of messages from peers."""

    def handle_received(self, received: MergeResult) -> None:
        """Process the content of a received message."""

    def build_tables_reply(self, request: TablesRequest) -> TablesReply | None:
        """Return the rows that update a peer to the revision in force."""

    def apply_tables_reply(self, reply: TablesReply) -> None:
        """Apply table rows received from a peer."""

    def record_answer(self, digest: Digest, asked_s: float) -> None:
        """Record the revision that a peer reports in its answer."""

    def record_no_answer(self, peer: PeerAddress, asked_s: float) -> None:
        """Record that a peer did not answer."""


class PeerExchange:
    """Sends requests to peers and answers requests from peers."""

    def __init__(
        self,
        gossip: Gossip,
        wire: PeerWire,
        clock: Clock,
        handler: PeerHandler,
    ) -> None:
        """Prepare the exchange; connections are opened on demand."""
        self.wire = wire
        self._gossip = gossip
        self._clock = clock
        self._handler = handler
        self._listener = PeerListener(gossip.own.entry.address, self.answer)
        self._links: dict[str, PeerLink] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start to listen for requests."""
        self._listener.start()

    async def stop(self) -> None:
        """Cancel all requests and close the listener and all links."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._listener.stop()
        for link in self._links.values():
            link.close()

    def send(self, send: OutgoingMessage) -> None:
        """Send a request, unless one to the same peer is in flight."""
        link = self._link(send.peer.address)
        if link.is_busy:
            return
        task = asyncio.create_task(self._request(link, send))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def answer(self, received: bytes) -> bytes | None:
        """Return the answer to a request; ``None`` if it is dropped."""
        result = self.wire.verify_request(received)
        if isinstance(result, VerifiedMessage):
            answer = self._reply(result.message)
        elif isinstance(result, Misaddressed):
            answer = Hello(self._gossip.own.entry)
        else:
            logger.warning('peers: request dropped fault=%s', result)
            return None
        envelope = result.envelope
        signed = self.wire.sign(answer, envelope.sender_start, envelope.number)
        self._gossip.budget.spend(len(signed), self._clock.now_s())
        return signed

    def _link(self, address: str) -> PeerLink:
        link = self._links.pop(address, None) or PeerLink(address)
        self._links[address] = link
        while len(self._links) > _MAX_LINKS:
            oldest = next(iter(self._links))
            self._links.pop(oldest).close()
        return link

    async def _request(self, link: PeerLink, send: OutgoingMessage) -> None:
        number = self.wire.next_number()
        asked_s = self._clock.now_s()
        signed = self.wire.sign(send.message, send.peer.start, number)
        self._gossip.budget.spend(len(signed), self._clock.now_s())
        received = await link.request(signed, self._clock.now_s())
        if received is None:
            self._report_unanswered(send.peer)
            self._handler.record_no_answer(send.peer, asked_s)
            return
        result = self.wire.verify_answer(received, number)
        if not isinstance(result, VerifiedMessage):
            address = send.peer.address
            logger.warning(
                'peers: invalid answer peer=%s fault=%s', address, result
            )
            return
        if send.peer.start not in {0, result.envelope.sender_start}:
            self._report_unanswered(send.peer)
        self._handle_message(result.message)
        if isinstance(result.message, Digest):
            self._handler.record_answer(result.message, asked_s)

    def _report_unanswered(self, peer: PeerAddress) -> None:
        if self._gossip.suspect_peer(peer, self._clock.now_s()):
            logger.warning(
                'peers: daemon suspected name=%s start=%d address=%s',
                peer.name,
                peer.start,
                peer.address,
            )

    def _reply(self, message: Message) -> Message:
        if isinstance(message, TablesRequest):
            return self._handler.build_tables_reply(message) or Nothing()
        self._handle_message(message)
        now_s = self._clock.now_s()
        if isinstance(message, Hello):
            return self._gossip.answer_hello(now_s)
        return self._gossip.answer(now_s)

    def _handle_message(self, message: Message) -> None:
        now_s = self._clock.now_s()
        match message:
            case Hello():
                self._handler.handle_received(
                    self._gossip.receive_hello(message, now_s)
                )
            case Digest():
                self._handler.handle_received(
                    self._gossip.receive(message, now_s)
                )
            case TablesReply():
                self._handler.apply_tables_reply(message)
