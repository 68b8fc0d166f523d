"""Tests of targets whose open connections go mute, while new ones work."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from nutmegspoke.standins.path_proxy import PathProxy
from nutmegspoke.standins.wire_target import WireTarget
from tests import builders_edge as build
from tests.edge.test_daemon import DaemonCase

# Connections that are idle when the path goes mute.
_IDLE = 6
_REQUESTS = 6
# Requests in a row that one mute path may cost.
_MAX_LOST = 1
_DEADLINE_MS = '500'


def _idempotent_routes() -> list[dict[str, Any]]:
    drafts, calls = json.loads(build.wire_configuration(weights=(1, 0)))[
        'routes'
    ]
    reads = {**calls, 'route_kind': 'idempotent', 'max_attempts': 2}
    return [drafts, reads]


class MuteTargetTest(DaemonCase):
    """The only target is reached over a path whose connections go mute."""

    async def test_requests_that_a_mute_path_costs(self) -> None:
        """Guards against a request lost for each connection that was open."""
        await self.deployment.serve_tables(
            version=8, routes=_idempotent_routes()
        )
        target = WireTarget('r1', None)
        self.deployment.targets['r1'] = target
        path = PathProxy(await target.start())
        address = await path.start()
        self.addAsyncCleanup(path.stop)
        await self.deployment.list_target(
            'r1', address, service='records', layers=None, slots=_IDLE
        )
        target.silence.begin()
        calls = [
            asyncio.create_task(self.deployment.call('/calls/1'))
            for _ in range(_IDLE)
        ]
        await self.deployment.until(
            lambda: len(target.caller_requests()) == _IDLE
        )
        target.silence.end()
        await asyncio.gather(*calls)
        path.mute_open()
        statuses = []
        for _ in range(_REQUESTS):
            answer = await self.deployment.call(
                '/calls/1', **{'Deadline-Ms': _DEADLINE_MS}
            )
            statuses.append(answer.status)
        lost = len(statuses) - statuses.count(200)
        self.assertLessEqual(lost, _MAX_LOST, statuses)
