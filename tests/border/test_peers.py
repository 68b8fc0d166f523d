"""Tests of the exchange over real sockets."""

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
    Received,
    PeerAddress,
    Send,
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
    with socket.create_server(('127.0.0.1', 0)) as taken:
        return f'127.0.0.1:{taken.getsockname()[1]}'


class _Daemon:
    """The exchange of one daemon, with its tables."""

    def __init__(self, number: int, address: str = '') -> None:
        """Create a daemon that does not listen yet."""
        address = address or _free_address()
        name = f'daemon-{number}'
        entry = DaemonEntry(name, number, 1, address)
        self.gossip = Gossip(entry, GossipSettings(), random.Random(number))
        self.history = TableHistory()
        self.heard_something = asyncio.Event()
        self.took_tables = asyncio.Event()
        self.answered_by: list[str] = []
        self.silent: list[str] = []
        wire = PeerWire(b'a key that all daemons share', name, number)
        self.exchange = PeerExchange(self.gossip, wire, SystemClock(), self)

    def peer(self, start: int = 0) -> PeerAddress:
        """Return where this daemon is reached."""
        entry = self.gossip.own.entry
        return PeerAddress(entry.address, entry.name, start)

    def heard(self, heard: Received) -> None:
        """Note that a message came."""
        self.heard_something.set()

    def tables_reply(self, request: TablesRequest) -> TablesReply | None:
        """Answer from the history."""
        return self.history.reply(request.revision)

    def answered(self, digest: Digest, asked_s: float) -> None:
        """Keep who answered."""
        self.answered_by.append(digest.entries[0].name)

    def unanswered(self, peer: PeerAddress, asked_s: float) -> None:
        """Keep who did not answer."""
        self.silent.append(peer.name)

    def take_tables(self, reply: TablesReply) -> None:
        """Keep what was passed on."""
        tables = self.history.apply(reply)
        if tables is not None:
            self.history.keep(tables)
            self.took_tables.set()


class PeerExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Daemons in one process."""

    async def asyncSetUp(self) -> None:
        """Start two daemons."""
        self.first = await self._started(_Daemon(1))
        self.second = await self._started(_Daemon(2))

    async def _started(self, daemon: _Daemon) -> _Daemon:
        daemon.exchange.start()
        self.addAsyncCleanup(daemon.exchange.stop)
        return daemon

    async def _greet(self, peer: PeerAddress) -> None:
        self.first.heard_something.clear()
        now_s = SystemClock().now_s()
        message = self.first.gossip._message_to(peer, now_s)
        self.first.exchange.send(Send(peer, message))
        await asyncio.wait_for(self.first.heard_something.wait(), 10)

    def _names(self, daemon: _Daemon) -> set[int]:
        daemon.gossip._update_timeouts(SystemClock().now_s())
        members = daemon.gossip.live(SystemClock().now_s())
        return {member.entry.start for member in members}

    async def test_daemons_get_to_know_each_other(self) -> None:
        """The library has started few threads for it."""
        await self._greet(self.second.peer())
        self.assertEqual(self._names(self.first), {2})
        self.assertEqual(self.first.answered_by, ['daemon-2'])
        self.assertEqual(self._names(self.second), {1})
        await self._greet(self.second.peer(2))
        threads = [
            name
            for task in os.listdir('/proc/self/task')
            if (name := _comm(task)).startswith('nng')
        ]
        self.assertLessEqual(len(threads), _MAX_THREADS)

    async def test_a_restarted_peer_is_known_again(self) -> None:
        """It answers what was meant for its earlier start with a greeting."""
        await self._greet(self.second.peer())
        address = self.second.gossip.own.entry.address
        await self.second.exchange.stop()
        third = _Daemon(3, address)
        await self._started(third)
        await self._greet(self.second.peer(2))
        self.assertIn(3, self._names(self.first))
        member = self.first.gossip.shared_state.members.find(('daemon-2', 2))
        self.assertIsNotNone(member.suspected_s)

    async def test_tables_are_passed_on(self) -> None:
        """A peer that is behind asks and gets the rows."""
        tables = EncodedTables(3, {'route/a': b'row'})
        self.second.history.keep(tables)
        send = Send(self.second.peer(2), TablesRequest(0))
        self.first.exchange.send(send)
        await asyncio.wait_for(self.first.took_tables.wait(), 10)
        self.assertEqual(self.first.history.current, tables)

    async def test_stray_bytes_disturb_nobody(self) -> None:
        """They are counted and get no answer."""
        address = self.second.gossip.own.entry.address
        with pynng.Req0(resend_time=-1) as stranger:
            stranger.dial(f'tcp://{address}', block=False)
            await stranger.asend(b'stray')
            while not self.second.exchange.wire.faults[WireFault.BAD_SEAL]:
                await asyncio.sleep(0.01)
        await self._greet(self.second.peer())
        self.assertEqual(self._names(self.first), {2})


class PeerLinkTest(unittest.IsolatedAsyncioTestCase):
    """Connections that go silent."""

    async def test_a_silent_connection_is_replaced(self) -> None:
        """The peer still answers on a new one, so it is not blamed."""
        silences = [False, True, False]
        address = _free_address()
        listener = PeerListener(
            address,
            lambda received: None if silences.pop(0) else received,
        )
        listener.start()
        self.addAsyncCleanup(listener.stop)
        link = PeerLink(address)
        self.addCleanup(link.close)
        for message in (b'one', b'two'):
            self.assertEqual(await link.request(message, 0.0), message)
        self.assertEqual(silences, [])

    async def test_nobody_there_is_told(self) -> None:
        """There is no answer, whether or not there was one before."""
        address = _free_address()
        listener = PeerListener(address, bytes)
        listener.start()
        link = PeerLink(address)
        self.addCleanup(link.close)
        self.assertEqual(await link.request(b'one', 0.0), b'one')
        await listener.stop()
        for _ in range(2):
            self.assertIsNone(await link.request(b'two', 0.0))


def _comm(task: str) -> str:
    with open(f'/proc/self/task/{task}/comm', encoding='utf-8') as comm:
        return comm.read()
