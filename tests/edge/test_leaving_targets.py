"""Tests of targets that say in their answers that they leave."""

from __future__ import annotations

import asyncio

from nutmegspoke.standins.wire_target import WireTarget
from tests.edge.host_group import HostGroupCase
from tests.edge.world import WAIT_S, CallResult, Deployment

_CALLS = 30
# Longer than it takes to tell the other daemons.
_TOLD_S = 1.0


class LeavingCase(HostGroupCase):
    """Base class with two daemons; the store says that all targets are live."""

    async def _call_all(
        self, host: Deployment, path: str, count: int = _CALLS
    ) -> list[CallResult]:
        """Send requests, one after the other."""
        return [await host.call(path) for _ in range(count)]

    async def _find_out(self, target: WireTarget, path: str) -> None:
        """Call until the first daemon has passed on an answer of a target."""
        target.faults.is_leaving = True
        async with asyncio.timeout(WAIT_S):
            while not target.caller_requests():
                await self.deployment.call(path)

    async def _assert_unused(
        self, target: WireTarget, host: Deployment, path: str
    ) -> None:
        """Check that a host sends nothing to a target any more."""
        target.received.clear()
        answers = await self._call_all(host, path)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(target.caller_requests(), [])


class LeavingServiceTest(LeavingCase):
    """Targets of a plain service leave."""

    async def test_an_answer(self) -> None:
        """Guards against requests to a target until it exits.

        Only the store told who leaves, and a host may be cut off from it.
        """
        first, *_ = await self._add_services()
        await self._find_out(first, '/calls/1')
        await self._assert_unused(first, self.deployment, '/calls/2')

    async def test_a_refusal(self) -> None:
        """A target that refuses a request as it leaves says so, too."""
        target = await self.deployment.add_service('r1')
        target.faults.is_leaving = True
        target.faults.refusals = 1
        for _ in range(_CALLS):
            answer = await self.deployment.call('/calls/1')
            self.assertEqual(answer.status, 503)
        self.assertEqual(len(target.caller_requests()), 1)

    async def test_another_daemon_is_told(self) -> None:
        """Guards against a daemon that has to find out by itself."""
        first, *_ = await self._add_services()
        await self._find_out(first, '/calls/1')
        await asyncio.sleep(_TOLD_S)
        await self._assert_unused(first, self.hosts[1], '/calls/2')
        self.assertEqual(len(self.deployment.events('target_says_leaving')), 1)
        self.assertEqual(self.hosts[1].events('target_says_leaving'), [])

    async def test_a_row_that_says_ready(self) -> None:
        """Guards against a target in use again as its heartbeat is read."""
        first, *_ = await self._add_services()
        await self._find_out(first, '/calls/1')
        entry = self.deployment.daemon.view.targets.find('r1')
        assert entry is not None
        await self._write_row(entry.address, entry.started_ms)
        await self._assert_unused(first, self.deployment, '/calls/2')

    async def test_the_next_start(self) -> None:
        """Guards against a target that is out of use for good."""
        first, *_ = await self._add_services()
        await self._find_out(first, '/calls/1')
        first.faults.is_leaving = False
        first.received.clear()
        entry = self.deployment.daemon.view.targets.find('r1')
        assert entry is not None
        await self._write_row(entry.address, entry.started_ms + 1)
        await self._call_all(self.deployment, '/calls/2')
        self.assertTrue(first.caller_requests())

    async def test_none_is_left(self) -> None:
        """Callers are refused at once, with a time to return."""
        for target in await self._add_services():
            await self._find_out(target, '/calls/1')
        answer = await self.deployment.call('/calls/2')
        self.assertEqual(answer.status, 503)
        self.assertIn('Retry-After', answer.headers)

    async def _write_row(self, address: str, started_ms: int) -> None:
        """Write the row of target r1 as ready, and wait until it is known."""
        await self.deployment.list_target(
            'r1',
            address,
            service='records',
            layers=None,
            slots=7,
            born=started_ms,
        )
        view = self.deployment.daemon.view
        await self.deployment.until(
            lambda: getattr(view.targets.find('r1'), 'slots', 0) == 7
        )


class LeavingEngineTest(LeavingCase):
    """Engines leave that drafts run on."""

    async def test_a_stream(self) -> None:
        """The head of a stream tells; the stream itself goes on to its end."""
        await self._start_chain()
        first = self.deployment.targets['x1']
        first.faults.is_leaving = True
        answer = await self.deployment.call('/drafts/1')
        self.assertEqual((answer.status, answer.is_whole), (200, True))
        answer = await self.deployment.call('/drafts/2')
        self.assertEqual(answer.status, 503)
        self.assertEqual(len(first.caller_requests()), 1)

    async def test_a_report(self) -> None:
        """Guards against drafts to a later engine of chains that leaves.

        Its answers are not seen by hosts, only its reports.
        """
        await self._add_engines()
        last = self.deployment.targets['last']
        await self.deployment.add_engine('other', (40, 80))
        last.faults.is_leaving = True
        for host in self.hosts:
            entry = host.daemon.view.targets.find('last')
            assert entry is not None
            await host.until(
                lambda host=host, entry=entry: (
                    host.daemon.view.targets.is_leaving(entry)
                )
            )
