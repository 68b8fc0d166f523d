"""Several daemons that use the same targets."""

from __future__ import annotations

from nutmegspoke.standins.wire_target import WireTarget
from tests.edge.test_daemon import DaemonCase
from tests.edge.world import Deployment


class HostGroupCase(DaemonCase):
    """Base class that starts several daemons.

    :ivar host_count: number of daemons.
    """

    host_count = 2

    async def asyncSetUp(self) -> None:
        """Start the daemons."""
        await super().asyncSetUp()
        self.hosts = [self.deployment]
        for number in range(2, self.host_count + 1):
            await self._add_host(f'host-{number}')

    async def _add_host(self, name: str) -> Deployment:
        host = Deployment(shared=self.deployment, name=name)
        await host.start()
        self.addAsyncCleanup(host.stop)
        self.hosts.append(host)
        return host

    async def _add_services(self) -> list[WireTarget]:
        targets = [
            await self.deployment.add_service(name)
            for name in ('r1', 'r2', 'r3')
        ]
        await self._know_targets()
        return targets

    async def _add_engines(self) -> list[WireTarget]:
        """Start three engines of the first layers and one of the others."""
        await self.deployment.add_engine('last', (40, 80))
        targets = [
            await self.deployment.add_engine(name, (0, 40))
            for name in ('x1', 'x2', 'x3')
        ]
        await self._know_targets()
        return targets

    async def _know_targets(self) -> None:
        for host in self.hosts:
            await host.until(
                lambda host=host: all(
                    host.daemon.view.targets.find(name)
                    for name in self.deployment.targets
                )
            )
