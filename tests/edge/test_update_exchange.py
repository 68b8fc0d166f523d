"""Tests of the exchange of updates between many daemons."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import msgspec

from nutmegspoke.membership.load_news import EventUpdate, LoadUpdate
from nutmegspoke.membership.relays import SUMMARY_INTERVAL_S
from nutmegspoke.outcomes import NotRun
from nutmegspoke.retries.notices import RunAtRisk
from tests.edge.exchanges import Daemon, Network

_SETTLED_S = 2.5
_LOGGER = 'nutmegspoke.edge.update_receiver'


class UpdateExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Daemons of a large deployment hear of each other through relays."""

    async def asyncSetUp(self) -> None:
        """Start forty daemons."""
        self.network = Network(40)
        self.addAsyncCleanup(self.network.stop)
        self.network.start()

    async def test_all_hear_of_all(self) -> None:
        """Guards against daemons that never receive the summaries of relays.

        All then took themselves for relays, and read the store for the others.
        """
        await asyncio.sleep(_SETTLED_S)
        self.assertEqual(self.network.heard(), {39})
        readers = [
            daemon
            for daemon in self.network.daemons.values()
            if daemon.follower.is_reader()
        ]
        self.assertEqual(len(readers), 4)

    async def test_tables_reach_all(self) -> None:
        """Relays read the table of targets for the members of their group."""
        await asyncio.sleep(_SETTLED_S)
        for daemon in self.network.daemons.values():
            if not daemon.follower.is_reader():
                self.assertTrue(daemon.follower.received)

    async def test_a_loss_is_sent_to_all(self) -> None:
        """Guards against streams that wait for an engine that has ended."""
        await asyncio.sleep(_SETTLED_S)
        lost: list[str] = []
        daemons = tuple(self.network.daemons.values())
        for daemon in daemons:
            daemon.view.lost_engines.subscribe(lost.append)
        daemons[0].view.lost_engines.record_loss(
            'engine', self.network.clock.now_s()
        )
        await asyncio.sleep(0.1)
        self.assertEqual(lost, ['engine'] * len(daemons))

    async def test_an_error_while_sending(self) -> None:
        """Guards against a daemon that one error silences for good."""
        daemon = next(iter(self.network.daemons.values()))
        relays = daemon.view.load_updates.relays
        errors: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        with mock.patch.object(relays, 'replace_hosts', _raise_error):
            await asyncio.sleep(0.5)
        self.assertTrue(errors)
        await asyncio.sleep(_SETTLED_S)
        self.assertEqual(self.network.heard(), {39})

    async def test_a_crash_found_by_all(self) -> None:
        """Guards against a storm of datagrams when an engine crashes.

        Each of 195 daemons found the crashes of seven engines, and told all
        others at once.
        """
        await asyncio.sleep(_SETTLED_S)
        now_s = self.network.clock.now_s()
        sent = self.network.sent
        for daemon in self.network.daemons.values():
            crashes = daemon.view.crashes
            for target in ('x', 'y'):
                crashes.quarantine.started('request', (target,))
                crashes.quarantine.crashed(target, now_s)
                crashes.collect(now_s)
        await asyncio.sleep(0.1)
        self.assertLess(self.network.sent - sent, 39 * 40)

    async def test_a_quarantine_reaches_all(self) -> None:
        """Guards against crash notices that relays do not forward."""
        await asyncio.sleep(_SETTLED_S)
        now_s = self.network.clock.now_s()
        daemons = tuple(self.network.daemons.values())
        crashes = daemons[0].view.crashes
        for target in ('x', 'y'):
            crashes.quarantine.started('request', (target,))
            crashes.quarantine.crashed(target, now_s)
        crashes.collect(now_s)
        await asyncio.sleep(_SETTLED_S)
        for daemon in daemons:
            decision = daemon.view.crashes.quarantine.check('request', now_s)
            self.assertIsInstance(decision, NotRun)

    async def test_a_part_that_crashes_engines_of_three_daemons(self) -> None:
        """Guards against evidence on parts that relays do not forward.

        Each crash is known to one daemon, none of them a relay.
        """
        await asyncio.sleep(_SETTLED_S)
        now_s = self.network.clock.now_s()
        daemons = tuple(self.network.daemons.values())
        others = [
            daemon
            for daemon in daemons
            if not daemon.view.load_updates.is_relay(now_s)
        ]
        for number, daemon in enumerate(others[:3]):
            crashes = daemon.view.crashes
            run = RunAtRisk(f'request-{number}', ('fa7a1',))
            crashes.quarantine.started(run.fingerprint, (f't{number}',))
            crashes.crashed(f't{number}', [run], now_s)
        await asyncio.sleep(_SETTLED_S)
        for daemon in daemons:
            decision = daemon.view.crashes.parts.check(('fa7a1',), now_s)
            self.assertIsInstance(decision, NotRun)

    async def test_relays_keep_to_the_share_of_their_link(self) -> None:
        """Guards against summaries that fill a slow link all at once."""
        await asyncio.sleep(_SETTLED_S)
        now_s = self.network.clock.now_s()
        relay = next(
            daemon
            for daemon in self.network.daemons.values()
            if daemon.view.load_updates.is_relay(now_s)
        )
        paced = relay.exchange._paced  # noqa: SLF001 -- nothing shows it
        with (
            mock.patch.object(paced, 'send') as paced_send,
            # What already waits is sent by the transport of the queue.
            mock.patch.object(relay.exchange, '_transport') as transport,
        ):
            await asyncio.sleep(2 * SUMMARY_INTERVAL_S)
        self.assertGreater(paced_send.call_count, 0)
        transport.sendto.assert_not_called()


class DroppedDatagramsTest(unittest.IsolatedAsyncioTestCase):
    """Datagrams that can't be used are dropped, whatever they contain."""

    def setUp(self) -> None:
        """Create two daemons that are not started."""
        self.network = Network(2)
        self.sender, self.receiver = self.network.daemons

    def test_odd_datagrams(self) -> None:
        """Guards against a daemon that any datagram can disturb."""
        reservations = {'x': (-1.0, 1, 1)}
        odd = (
            b'',
            b'\xc1',
            b'\x91' * 5_000,
            _encode(LoadUpdate('host-9', 1, 1, {})),
            _encode(LoadUpdate('host-0', 1, 1, reservations)),
            _encode(LoadUpdate('host-0', 1, 1, {}, daemons=0)),
            _encode(LoadUpdate('host-0', 1, 1, {}, daemons=10**9)),
            msgspec.msgpack.encode(['load', 'host-0', 1, 1, {}]),
            msgspec.msgpack.encode(['load3', 'host-0', 1, 1, {}, 'new']),
        )
        daemon = self._daemon()
        with self.assertLogs(_LOGGER) as logs:
            for datagram in odd:
                daemon.exchange.datagram_received(datagram, self.sender)
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(self.network.heard(), {0})

    def test_a_foreign_sender(self) -> None:
        """Guards against updates in the name of another daemon."""
        datagram = _encode(LoadUpdate('host-0', 1, 1, {}))
        daemon = self._daemon()
        with self.assertLogs(_LOGGER):
            daemon.exchange.datagram_received(datagram, ('10.0.9.9', 7000))
        self.assertEqual(self.network.heard(), {0})
        daemon.exchange.datagram_received(datagram, self.sender)
        self.assertEqual(self.network.heard(), {0, 1})

    def test_an_unexpected_error(self) -> None:
        """Guards against an error of one subscriber that ends the exchange."""
        daemon = self._daemon()
        daemon.view.lost_engines.subscribe(_raise_error)
        datagram = _encode(EventUpdate('host-0', lost=('engine',)))
        with self.assertLogs(_LOGGER):
            daemon.exchange.datagram_received(datagram, self.sender)

    def _daemon(self) -> Daemon:
        return self.network.daemons[self.receiver]


def _encode(update: LoadUpdate | EventUpdate) -> bytes:
    return msgspec.msgpack.encode(update)


def _raise_error(argument: object) -> None:
    raise LookupError(argument)
