"""Tests of a planned stop while callers send requests all the time."""

from __future__ import annotations

import asyncio
import dataclasses

import aiohttp

from nutmegspoke.entry_host import RecoveryBounds
from tests.edge.test_daemon import DaemonCase
from tests.edge.world import HOST

_GRACE_S = 4.0
# Time of requests before the stop.
_BEFORE_S = 0.3
_STEP_S = 0.02
_EVENT_PAUSE_S = 0.04
_KEPT_CONNECTIONS = 4
_PATHS = ('/calls/1', '/drafts/1')


class PlannedStopTest(DaemonCase):
    """A stop in calm, with requests at every moment of the grace."""

    async def asyncSetUp(self) -> None:
        """Start targets, and shorten the grace."""
        await super().asyncSetUp()
        await self._start_chain()
        service = await self.deployment.add_service('r1')
        self.targets = [*self.deployment.targets.values(), service]
        for target in self.targets:
            target.event_pause_s = _EVENT_PAUSE_S
        view = self.deployment.daemon.view
        view.apply_host(
            dataclasses.replace(
                view.host, bounds=RecoveryBounds(stop_grace_s=_GRACE_S)
            )
        )
        self.number = 0
        self.statuses: list[int] = []
        self.cut: list[str] = []
        self.has_stopped = False

    async def test_kept_connections(self) -> None:
        """Guards against requests that are taken late in the grace and cut."""
        callers = [
            asyncio.create_task(self._call_in_turn(_PATHS[index % 2]))
            for index in range(_KEPT_CONNECTIONS)
        ]
        await self._stop()
        await asyncio.gather(*callers)
        self._check()

    async def test_new_connections(self) -> None:
        """Guards against connections taken late in the grace and cut."""
        calls = asyncio.create_task(self._call_at_steps())
        await self._stop()
        await calls
        self._check()

    async def _stop(self) -> None:
        await asyncio.sleep(_BEFORE_S)
        await self.deployment.daemon.stop()
        self.has_stopped = True

    async def _call_in_turn(self, path: str) -> None:
        """Send requests one after the other, on one connection if it stays."""
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            while not self.has_stopped:
                await self._call(session, path)
                await asyncio.sleep(_STEP_S)

    async def _call_at_steps(self) -> None:
        calls = []
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        ) as session:
            while not self.has_stopped:
                for path in _PATHS:
                    call = self._call(session, path)
                    calls.append(asyncio.create_task(call))
                await asyncio.sleep(_STEP_S)
            await asyncio.gather(*calls)

    async def _call(self, session: aiohttp.ClientSession, path: str) -> None:
        self.number += 1
        request_id = f'request-{self.number}'
        url = f'http://127.0.0.1:{self.deployment.host.callers_port}{path}'
        headers = {
            'Host': HOST,
            'Attempt-Id': request_id,
            'Key': 'k1',
            'Deadline-Ms': '15000',
            'Token-Counts': '70,30',
        }
        try:
            async with session.post(url, headers=headers) as response:
                await response.read()
        except aiohttp.ClientConnectorError:
            # The daemon listens no more.
            return
        except aiohttp.ClientError as error:
            if self._has_reached_a_target(request_id):
                self.cut.append(f'{path}: {error!r}')
            return
        self.statuses.append(response.status)

    def _has_reached_a_target(self, request_id: str) -> bool:
        return any(
            request.headers.get('attempt-id') == request_id
            for target in self.targets
            for request in target.received
        )

    def _check(self) -> None:
        self.assertEqual(self.cut, [])
        self.assertIn(200, self.statuses)
        self.assertLessEqual(set(self.statuses), {200, 503})
