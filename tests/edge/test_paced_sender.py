"""Tests of sending datagrams at a limited rate."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from nutmegspoke.edge.paced_sender import PacedSender

_ADDRESS = ('10.0.0.1', 7000)
_DATAGRAM = bytes(1_000)


class _Transport:
    """A transport that records the datagrams."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def sendto(self, datagram: bytes, address: tuple[str, int]) -> None:
        self.sent.append(datagram)


class PacedSenderTest(unittest.IsolatedAsyncioTestCase):
    """Datagrams wait for their turn, and none gets lost."""

    def setUp(self) -> None:
        """Create a sender of 1 MB/s, which is ten datagrams in 10 ms."""
        self.transport = _Transport()
        self.sender = PacedSender(self.transport, 1e6)

    async def test_a_burst_is_spread(self) -> None:
        """Guards against members that each summary of a relay misses.

        A link that is full dropped the end of each burst, always to the same
        members.
        """
        for _ in range(100):
            self.sender.send(_DATAGRAM, _ADDRESS)
        self.assertLessEqual(len(self.transport.sent), 11)
        async with asyncio.timeout(20.0):
            while len(self.transport.sent) < 100:
                await asyncio.sleep(0.01)
        self.assertEqual(self.sender.dropped, 0)

    async def test_the_rate_holds_after_the_first_datagrams(self) -> None:
        """Guards against a burst that is held back once and then sent whole."""
        loop = mock.Mock()
        with mock.patch.object(asyncio, 'get_running_loop', lambda: loop):
            for _ in range(100):
                self.sender.send(_DATAGRAM, _ADDRESS)
            for _ in range(5):
                sent = len(self.transport.sent)
                pause_s, send_some = loop.call_later.call_args.args
                send_some()
                sent = len(self.transport.sent) - sent
                self.assertGreater(sent, 0)
                self.assertLessEqual(sent * len(_DATAGRAM), 1e6 * pause_s)

    async def test_a_large_datagram_is_sent(self) -> None:
        """A datagram above the size of one interval only delays the next."""
        self.sender.send(bytes(50_000), _ADDRESS)
        self.sender.send(_DATAGRAM, _ADDRESS)
        self.assertEqual(len(self.transport.sent), 1)

    async def test_the_queue_is_bounded(self) -> None:
        """Guards against a queue that a slow link lets grow forever."""
        for number in range(5_000):
            self.sender.send(number.to_bytes(2, 'big') * 500, _ADDRESS)
        self.assertGreater(self.sender.dropped, 3_000)
        self.sender.stop()
        sent = len(self.transport.sent)
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.transport.sent), sent)
