"""Tests of daemons whose open connections go mute, while new ones work."""

from __future__ import annotations

import asyncio
import random
import unittest

from nutmegspoke.border.clock import SystemClock
from tests import builders_edge as build
from tests.edge.world import Deployment

# Time from the acknowledgement of a version until it must be in force.
_APPLY_S = 2.0
# Time from the end of an outage until hosts must know what was written since.
_STABLE_S = 3.0
_HOSTS = 3
_SEED = 33
_OUTAGE_SEED = 9
_OUTAGES = 9
_CHANGES = 3
# Times before and after the store's return at which connections go mute.
_EARLY_S = 0.15
_LATE_S = 1.0
_HEARTBEAT_S = 0.3
# Time in which connections that are mute are replaced.
_REPLACED_S = (0.5, 1.8)


class MuteCase(unittest.IsolatedAsyncioTestCase):
    """Base class with a store that each daemon reaches by a path of its own."""

    seed = _SEED

    async def _start(self, hosts: int) -> None:
        self.hosts: list[Deployment] = []
        self._version = 7
        self.draw = random.Random(self.seed)  # noqa: S311 -- seeded on purpose
        for number in range(hosts):
            shared = self.hosts[0] if self.hosts else None
            host = Deployment(shared, f'host-{number + 1}', has_store_path=True)
            await host.start()
            self.addAsyncCleanup(host.stop)
            self.hosts.append(host)
            if shared is None:
                await host.serve_tables()
        self.store = self.hosts[0].store
        for host in self.hosts:
            await host.until(lambda: host.daemon.view.version == 7)
        await self.hosts[0].until(self._knows_others)
        heartbeats = asyncio.create_task(self._write_heartbeats())
        self.addCleanup(heartbeats.cancel)

    async def _write_heartbeats(self) -> None:
        """Write a target's row again and again, as targets do."""
        while True:
            await self.store.put('servers', 'r1', build.wire_server())
            await asyncio.sleep(_HEARTBEAT_S)

    def _knows_others(self) -> bool:
        updates = self.hosts[0].daemon.view.load_updates
        now_s = SystemClock().now_s()
        return updates.daemons(now_s) == len(self.hosts) - 1

    async def _change_tables(self) -> int:
        """Write the next version, as the operator does."""
        self._version += 1
        await self.store.put('op', 'config', self._tables())
        return self._version

    def _tables(self) -> bytes:
        return build.wire_configuration(version=self._version, weights=(1, 0))

    async def _check_in_force(
        self, version: int, case: str, limit_s: float = _APPLY_S
    ) -> None:
        """Check that a version comes into force at all hosts in time."""
        results = await asyncio.gather(
            *(
                host.is_within(
                    limit_s,
                    lambda host=host: host.daemon.view.version >= version,
                )
                for host in self.hosts
            )
        )
        self.assertEqual(results, [True] * len(self.hosts), case)

    def _mute(self, hosts: list[Deployment]) -> None:
        for host in hosts:
            assert host.store_path is not None
            host.store_path.mute_open()


class MuteAfterOutageTest(MuteCase):
    """The connections of one of several daemons go mute around an outage."""

    seed = _OUTAGE_SEED

    async def test_tables_changed_after_an_outage(self) -> None:
        """Guards against a host that keeps the tables from before an outage.

        The connections on which it waits for changes, and those that it would
        use next, carry nothing any more.
        """
        await self._start(_HOSTS)
        for number in range(_OUTAGES):
            host = self.draw.choice(self.hosts)
            offset_s = (-_EARLY_S, 0.0, self.draw.uniform(0.0, _LATE_S))
            await self._have_outage(host, offset_s[number % 3])
            limit_s = _STABLE_S - max(0.0, offset_s[number % 3])
            for _ in range(_CHANGES):
                version = await self._change_tables()
                case = f'outage {number}, mute at {offset_s[number % 3]}'
                await self._check_in_force(version, case, limit_s)
                limit_s = _APPLY_S

    async def _have_outage(self, host: Deployment, offset_s: float) -> None:
        """Let the store be away, and a host's connections go mute around it.

        :param offset_s: time from the store's return until they go mute.
        """
        faults = self.store.faults
        is_silent = self.draw.random() < 0.5
        copy = self.store.copy() if self.draw.random() < 0.5 else None
        faults.is_silent, faults.refuses = is_silent, not is_silent
        await asyncio.sleep(self.draw.uniform(0.3, 3.0))
        if offset_s < 0:
            self._mute([host])
            await asyncio.sleep(-offset_s)
        if copy is not None:
            rewritten = [('op', 'config', self._tables())]
            await self.store.come_back_from(copy, rewritten)
        faults.is_silent = faults.refuses = False
        await asyncio.sleep(max(0.0, offset_s))
        if offset_s >= 0:
            self._mute([host])


class MuteBesideChangesTest(MuteCase):
    """Connections go mute shortly before a change, without an outage."""

    async def test_one_of_several_hosts(self) -> None:
        """Guards against a poll that waits where no answer can arrive."""
        await self._start(_HOSTS)
        await self._check_changes(1)

    async def test_all_hosts(self) -> None:
        """Guards against a check that needs another host's news."""
        await self._start(_HOSTS)
        await self._check_changes(_HOSTS)

    async def test_a_host_without_others(self) -> None:
        """Guards against a check that needs another host at all."""
        await self._start(1)
        await self._check_changes(1)

    async def test_again_at_once(self) -> None:
        """Guards against new connections that are trusted for being new.

        Those that have just replaced mute ones go mute as well.
        """
        await self._start(1)
        for number in range(_CHANGES):
            self._mute(self.hosts)
            await asyncio.sleep(self.draw.uniform(*_REPLACED_S))
            self._mute(self.hosts)
            version = await self._change_tables()
            await self._check_in_force(version, f'change {number}')

    async def _check_changes(self, mute_hosts: int) -> None:
        for number in range(_CHANGES):
            await asyncio.sleep(self.draw.uniform(0.1, 1.0))
            self._mute(self.draw.sample(self.hosts, mute_hosts))
            await asyncio.sleep(self.draw.uniform(0.0, 0.1))
            version = await self._change_tables()
            await self._check_in_force(version, f'change {number}')
