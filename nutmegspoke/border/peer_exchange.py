"""Carries the messages of the exchange over links to peers."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Protocol

from nutmegspoke.border.peer_sockets import PeerLink, PeerListener
from nutmegspoke.border.peer_wire import Misaddressed, Opened, PeerWire
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
    from nutmegspoke.membership.gossip_types import Received, PeerAddress, Send
    from nutmegspoke.membership.messages import Message

logger = logging.getLogger(__name__)
_MAX_LINKS = 64


class PeerHandler(Protocol):
    """What is done with the content of messages."""

    def heard(self, heard: Received) -> None:
        """Take what a message brought."""

    def tables_reply(self, request: TablesRequest) -> TablesReply | None:
        """Return what leads from a peer's revision to the one in force."""

    def take_tables(self, reply: TablesReply) -> None:
        """Take rows that a peer passed on."""

    def answered(self, digest: Digest, asked_s: float) -> None:
        """Take what a peer answered about its revision."""

    def unanswered(self, peer: PeerAddress, asked_s: float) -> None:
        """Take that a peer did not answer."""


class PeerExchange:
    """Sends requests to peers and answers theirs."""

    def __init__(
        self,
        gossip: Gossip,
        wire: PeerWire,
        clock: Clock,
        handler: PeerHandler,
    ) -> None:
        """Prepare the exchange without connections."""
        self.wire = wire
        self._gossip = gossip
        self._clock = clock
        self._handler = handler
        self._listener = PeerListener(gossip.own.entry.address, self.answer)
        self._links: dict[str, PeerLink] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Listen."""
        self._listener.start()

    async def stop(self) -> None:
        """End all requests and listen no more."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._listener.stop()
        for link in self._links.values():
            link.close()

    def send(self, send: Send) -> None:
        """Send a request, unless one to the same peer is under way."""
        link = self._link(send.peer.address)
        if link.is_busy:
            return
        task = asyncio.create_task(self._request(link, send))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def answer(self, received: bytes) -> bytes | None:
        """Return the answer to a request; ``None`` if it is dropped."""
        opened = self.wire.open_request(received)
        if isinstance(opened, Opened):
            answer = self._reply(opened.message)
        elif isinstance(opened, Misaddressed):
            answer = Hello(self._gossip.own.entry)
        else:
            logger.warning('peers: request dropped fault=%s', opened)
            return None
        envelope = opened.envelope
        sealed = self.wire.seal(answer, envelope.sender_start, envelope.number)
        self._gossip.budget.spend(len(sealed), self._clock.now_s())
        return sealed

    def _link(self, address: str) -> PeerLink:
        link = self._links.pop(address, None) or PeerLink(address)
        self._links[address] = link
        while len(self._links) > _MAX_LINKS:
            oldest = next(iter(self._links))
            self._links.pop(oldest).close()
        return link

    async def _request(self, link: PeerLink, send: Send) -> None:
        number = self.wire.next_number()
        asked_s = self._clock.now_s()
        sealed = self.wire.seal(send.message, send.peer.start, number)
        self._gossip.budget.spend(len(sealed), self._clock.now_s())
        received = await link.request(sealed, self._clock.now_s())
        if received is None:
            self._unanswered(send.peer)
            self._handler.unanswered(send.peer, asked_s)
            return
        opened = self.wire.open_answer(received, number)
        if not isinstance(opened, Opened):
            address = send.peer.address
            logger.warning(
                'peers: bad answer peer=%s fault=%s', address, opened
            )
            return
        if send.peer.start not in {0, opened.envelope.sender_start}:
            self._unanswered(send.peer)
        self._take(opened.message)
        if isinstance(opened.message, Digest):
            self._handler.answered(opened.message, asked_s)

    def _unanswered(self, peer: PeerAddress) -> None:
        if self._gossip.suspect_peer(peer, self._clock.now_s()):
            logger.warning(
                'peers: daemon suspected name=%s start=%d address=%s',
                peer.name,
                peer.start,
                peer.address,
            )

    def _reply(self, message: Message) -> Message:
        if isinstance(message, TablesRequest):
            return self._handler.tables_reply(message) or Nothing()
        self._take(message)
        now_s = self._clock.now_s()
        if isinstance(message, Hello):
            return self._gossip.answer_hello(now_s)
        return self._gossip.answer(now_s)

    def _take(self, message: Message) -> None:
        now_s = self._clock.now_s()
        match message:
            case Hello():
                self._handler.heard(self._gossip.receive_hello(message, now_s))
            case Digest():
                self._handler.heard(self._gossip.receive(message, now_s))
            case TablesReply():
                self._handler.take_tables(message)
