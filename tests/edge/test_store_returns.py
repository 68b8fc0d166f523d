"""Daemons whose store comes back from an older copy again and again, by seeds.

``python -m tests.edge.test_store_returns FIRST LAST`` runs more seeds by hand.
"""

from __future__ import annotations

import asyncio
import random
import sys
import unittest

from nutmegspoke.standins.row_store import StoreCopy
from tests import builders_edge as build
from tests.edge.world import CallResult, Deployment

_SEEDS = (1, 2, 3)
_HOSTS = 3
_TARGETS = ('r1', 'r2', 'r3', 'r4')
_RETURNS = 2
# Times that the rules allow: until what was written around an outage is known,
# and until a leaving target gets nothing more.
_STABLE_S = 3.0
_DRAIN_S = 2.0
# Targets write the rows that the copy lacks within this time.
_REWRITE_S = 1.5
_CALL_INTERVAL_S = 0.05


class Fleet:
    """Daemons, targets and callers around one store."""

    def __init__(self, seed: int) -> None:
        """Create a fleet that is not started yet."""
        self.draw = random.Random(seed)  # noqa: S311 -- seeded on purpose
        self.hosts: list[Deployment] = []
        self.version = 7
        self.answers: list[CallResult] = []
        # Versions that each start of a daemon has had in force, in order.
        self.versions: dict[Deployment, list[int]] = {}
        self.drained: dict[str, int] = {}
        # All starts of daemons, ended ones included.
        self.starts: list[Deployment] = []

    @property
    def first(self) -> Deployment:
        """Return the host that runs the store and the targets."""
        return self.hosts[0]

    async def start(self) -> None:
        """Start all daemons and targets."""
        for number in range(_HOSTS):
            await self._start_host(f'host-{number + 1}')
        for name in _TARGETS:
            await self.first.add_service(name)
        for host in self.hosts:
            await self._until_known(host)

    async def _start_host(self, name: str) -> None:
        shared = self.hosts[0] if self.hosts else None
        host = Deployment(shared, name)
        await host.start()
        self.hosts.append(host)
        self.starts.append(host)
        if shared is None:
            await host.serve_tables(version=self.version)
        await host.until(lambda: host.daemon.view.version)

    async def _until_known(self, host: Deployment) -> None:
        names = [name for name in _TARGETS if name not in self.drained]
        targets = host.daemon.view.targets
        await host.until(lambda: all(map(targets.find, names)))

    async def stop(self) -> None:
        """Stop all daemons, that with the store last."""
        for host in reversed(self.hosts):
            await host.stop()

    async def change_tables(self) -> None:
        """Write the next version of the tables."""
        self.version += 1
        await self.first.store.put('op', 'config', self.tables())

    def tables(self) -> bytes:
        """Return the newest version of the tables."""
        return build.wire_configuration(version=self.version, weights=(1, 0))

    async def drain(self) -> None:
        """Let one target say that it leaves."""
        live = [name for name in _TARGETS if name not in self.drained]
        name = self.draw.choice(live)
        self.drained[name] = -1
        await self._write_target(name)
        loop = asyncio.get_running_loop()
        loop.call_later(_DRAIN_S, self._count_drained, name)

    def _count_drained(self, name: str) -> None:
        self.drained[name] = self.count_requests(name)

    def count_requests(self, name: str) -> int:
        """Return the number of requests that a target has received."""
        return len(self.first.targets[name].caller_requests())

    async def _write_target(self, name: str) -> None:
        entry = self.first.daemon.view.targets.find(name)
        assert entry is not None
        body = build.wire_server(
            address=entry.address,
            zone='a',
            service='records',
            layers=None,
            slots=6,
            state='draining' if name in self.drained else 'ready',
        )
        await self.first.store.put('servers', name, body)

    async def restart_host(self) -> None:
        """Stop one daemon, and start it again."""
        host = self.hosts.pop()
        await host.stop()
        await self._start_host(host.host.name)
        await self._until_known(self.hosts[-1])

    async def lose_writes(self) -> None:
        """Let the store be away, and come back without the last writes."""
        steps = [self.change_tables, self.restart_host, self.change_tables]
        if len(self.drained) < 2:
            steps.append(self.drain)
        self.draw.shuffle(steps)
        copy: StoreCopy = self.first.store.copy()
        for step in steps:
            await step()
            await asyncio.sleep(self.draw.uniform(0.0, 0.4))
        faults = self.first.store.faults
        is_silent = self.draw.random() < 0.5
        faults.is_silent, faults.refuses = is_silent, not is_silent
        await asyncio.sleep(self.draw.uniform(0.2, 1.5))
        await self.first.store.come_back_from(copy)
        faults.is_silent = faults.refuses = False
        await asyncio.gather(
            self._rewrite_tables(), *map(self._rewrite_target, _TARGETS)
        )

    async def _rewrite_tables(self) -> None:
        await asyncio.sleep(self.draw.uniform(0.0, 0.5))
        await self.change_tables()

    async def _rewrite_target(self, name: str) -> None:
        await asyncio.sleep(self.draw.uniform(0.0, _REWRITE_S))
        await self._write_target(name)

    async def call_forever(self) -> None:
        """Send calls to the daemons in turn, and watch their versions."""
        number = 0
        while True:
            number += 1
            host = self.hosts[number % len(self.hosts)]
            self.versions.setdefault(host, []).append(host.daemon.view.version)
            if host is not self.hosts[-1]:
                self.answers.append(await host.call('/calls/1'))
            await asyncio.sleep(_CALL_INTERVAL_S)


class StoreReturnsTest(unittest.IsolatedAsyncioTestCase):
    """Versions of the store are given out again beside changes and restarts."""

    async def test_returns_beside_changes(self) -> None:
        """Guards against beliefs from before a return that outlast it."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                await self._check(Fleet(seed))

    async def _check(self, fleet: Fleet) -> None:
        await fleet.start()
        calls = asyncio.create_task(fleet.call_forever())
        try:
            for _ in range(_RETURNS):
                await fleet.lose_writes()
                await self._check_tables(fleet)
            await asyncio.sleep(_DRAIN_S)
            await self._check_lease(fleet)
        finally:
            calls.cancel()
            await asyncio.gather(calls, return_exceptions=True)
            await fleet.stop()
        for versions in fleet.versions.values():
            self.assertEqual(versions, sorted(versions))
        for name, counted in fleet.drained.items():
            self.assertEqual(fleet.count_requests(name), counted, name)
        self.assertEqual({answer.status for answer in fleet.answers}, {200})

    async def _check_tables(self, fleet: Fleet) -> None:
        for host in fleet.hosts:
            self.assertTrue(
                await host.is_within(
                    _STABLE_S,
                    lambda host=host: host.daemon.view.version == fleet.version,
                ),
                (host.host.name, host.daemon.view.version, fleet.version),
            )

    async def _check_lease(self, fleet: Fleet) -> None:
        """Check that one daemon leads, and that no fencing number came twice."""
        await fleet.first.until(
            lambda: sum(_is_leader(host) for host in fleet.hosts) == 1
        )
        numbers = [
            event['fencing_number']
            for host in fleet.starts
            for event in host.events('lease_taken')
        ]
        self.assertEqual(len(numbers), len(set(numbers)), numbers)


def _is_leader(host: Deployment) -> bool:
    changes = [
        line
        for line in host.log_lines
        if line['event'] in {'lease_taken', 'lease_lost'}
    ]
    return bool(changes) and changes[-1]['event'] == 'lease_taken'


if __name__ == '__main__':
    first, last = map(int, sys.argv[1:3])
    _SEEDS = tuple(range(first, last + 1))
    unittest.main(argv=sys.argv[:1])
