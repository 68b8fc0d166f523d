"""Tests of the exchange between daemons over real sockets."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import unittest

import pynng

from nutmegspoke.border import peer_sockets
from nutmegspoke.border.clock import SystemClock
from nutmegspoke.border.peer_exchange import PeerExchange
from nutmegspoke.border.peer_sockets import PeerLink, PeerListener
from nutmegspoke.border.peer_wire import PeerWire, WireFault
from nutmegspoke.membership.gossip import Gossip
from nutmegspoke.membership.gossip_types import (
    GossipSettings,
    MergeResult,
    PeerAddress,
    OutgoingMessage,
)
from nutmegspoke.membership.messages import (
    DaemonEntry,
    Digest,
    TablesReply,
    TablesRequest,
)
from nutmegspoke.membership.table_passing import EncodedTables, TableHistory

peer_sockets.limit_threads()
_MAX_THREADS = 6


def _free_address() -> str:
    with socket.create_server(('127.0.0.1', 0)) as reserved:
        return f'127.0.0.1:{reserved.getsockname()[1]}'


class _Daemon:
    """The exchange of one daemon, with its tables."""

    def __init__(self, number: int, address: str = '') -> None:
        """Create a daemon that does not listen yet."""
        address = address or _free_address()
        name = f'daemon-{number}'
        entry = DaemonEntry(name, number, 1, address)
        self.gossip = Gossip(entry, GossipSettings(), random.Random(number))
        self.history = TableHistory()
        self.message_received = asyncio.Event()
        self.tables_received = asyncio.Event()
        self.answered_by: list[str] = []
        self.unanswered_by: list[str] = []
        wire = PeerWire(b'a key that all daemons share', name, number)
        self.exchange = PeerExchange(self.gossip, wire, SystemClock(), self)

    def peer(self, start: int = 0) -> PeerAddress:
        """Return the address of this daemon."""
        entry = self.gossip.own.entry
        return PeerAddress(entry.address, entry.name, start)

    def handle_received(self, received: MergeResult) -> None:
        """Record that a message was received."""
        self.message_received.set()

    def build_tables_reply(self, request: TablesRequest) -> TablesReply | None:
        """Return the rows from the history."""
        return self.history.reply(request.revision)

    def record_answer(self, digest: Digest, asked_s: float) -> None:
        """Record the peer that answered."""
        self.answered_by.append(digest.entries[0].name)

    def record_no_answer(self, peer: PeerAddress, asked_s: float) -> None:
        """Record the peer that did not answer."""
        self.unanswered_by.append(peer.name)

    def apply_tables_reply(self, reply: TablesReply) -> None:
        """Adopt the received tables."""
        tables = self.history.apply(reply)
        if tables is not None:
            self.history.keep(tables)
            self.tables_received.set()


class PeerExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Exchange between two daemons in one process."""

    async def asyncSetUp(self) -> None:
        """Start two daemons."""
        self.first = await self._started(_Daemon(1))
        self.second = await self._started(_Daemon(2))

    async def _started(self, daemon: _Daemon) -> _Daemon:
        daemon.exchange.start()
        self.addAsyncCleanup(daemon.exchange.stop)
        return daemon

    async def _exchange_digests(self, peer: PeerAddress) -> None:
        self.first.message_received.clear()
        now_s = SystemClock().now_s()
        message = self.first.gossip._message_to(peer, now_s)
        self.first.exchange.send(OutgoingMessage(peer, message))
        await asyncio.wait_for(self.first.message_received.wait(), 10)

    def _live_starts(self, daemon: _Daemon) -> set[int]:
        daemon.gossip._update_timeouts(SystemClock().now_s())
        members = daemon.gossip.live(SystemClock().now_s())
        return {member.entry.start for member in members}

    async def test_daemons_get_to_know_each_other(self) -> None:
        """Also guards against a library that starts threads per core."""
        await self._exchange_digests(self.second.peer())
        self.assertEqual(self._live_starts(self.first), {2})
        self.assertEqual(self.first.answered_by, ['daemon-2'])
        self.assertEqual(self._live_starts(self.second), {1})
        await self._exchange_digests(self.second.peer(2))
        threads = [
            name
            for task in os.listdir('/proc/self/task')
            if (name := _thread_name(task)).startswith('nng')
        ]
        self.assertLessEqual(len(threads), _MAX_THREADS)

    async def test_a_restarted_peer_is_known_again(self) -> None:
        """It answers a message for its earlier start with a ``Hello``."""
        await self._exchange_digests(self.second.peer())
        address = self.second.gossip.own.entry.address
        await self.second.exchange.stop()
        restarted = _Daemon(3, address)
        await self._started(restarted)
        await self._exchange_digests(self.second.peer(2))
        self.assertIn(3, self._live_starts(self.first))
        member = self.first.gossip.shared_state.members.find(('daemon-2', 2))
        self.assertIsNotNone(member.suspected_s)

    async def test_tables_are_passed_on(self) -> None:
        """A peer with a lower revision requests and receives the rows."""
        tables = EncodedTables(3, {'route/a': b'row'})
        self.second.history.keep(tables)
        send = OutgoingMessage(self.second.peer(2), TablesRequest(0))
        self.first.exchange.send(send)
        await asyncio.wait_for(self.first.tables_received.wait(), 10)
        self.assertEqual(self.first.history.current, tables)

    async def test_bytes_without_signature_are_dropped(self) -> None:
        """Bytes without a valid signature are counted and not answered."""
        address = self.second.gossip.own.entry.address
        with pynng.Req0(resend_time=-1) as stranger:
            stranger.dial(f'tcp://{address}', block=False)
            await stranger.asend(b'stray')
            while not self.second.exchange.wire.faults[WireFault.BAD_SIGNATURE]:
                await asyncio.sleep(0.01)
        await self._exchange_digests(self.second.peer())
        self.assertEqual(self._live_starts(self.first), {2})


class PeerLinkTest(unittest.IsolatedAsyncioTestCase):
    """Connections that become unresponsive."""

    async def test_a_silent_connection_is_replaced(self) -> None:
        """The peer answers on a new connection, so it is not suspected."""
        drops_message = [False, True, False]
        address = _free_address()
        listener = PeerListener(
            address,
            lambda received: None if drops_message.pop(0) else received,
        )
        listener.start()
        self.addAsyncCleanup(listener.stop)
        link = PeerLink(address)
        self.addCleanup(link.close)
        for message in (b'one', b'two'):
            self.assertEqual(await link.request(message, 0.0), message)
        self.assertEqual(drops_message, [])

    async def test_an_unreachable_peer_returns_none(self) -> None:
        """An unreachable peer returns ``None``, also after an earlier answer."""
        address = _free_address()
        listener = PeerListener(address, bytes)
        listener.start()
        link = PeerLink(address)
        self.addCleanup(link.close)
        self.assertEqual(await link.request(b'one', 0.0), b'one')
        await listener.stop()
        for _ in range(2):
            self.assertIsNone(await link.request(b'two', 0.0))


def _thread_name(task: str) -> str:
    with open(f'/proc/self/task/{task}/comm', encoding='utf-8') as comm:
        return comm.read()
