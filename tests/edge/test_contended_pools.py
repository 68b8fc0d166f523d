"""Tests of a pool of engines that routes of several ranks share."""

from __future__ import annotations

from tests import builders_edge as build
from tests.edge.test_daemon import DaemonCase


def _routes(*priorities: int) -> list[dict[str, object]]:
    """Return routes of drafts with these priorities, and one of calls."""
    drafts, calls = build.wire_routes()
    return [
        {
            **drafts,
            'name': f'd-{priority}',
            'prefix': f'/drafts/{priority}/',
            'priority': priority,
        }
        for priority in priorities
    ] + [calls]


class UrgencyTest(DaemonCase):
    """Urgency of requests at targets."""

    async def test_several_ranks(self) -> None:
        """Guards against engines that admit urgent drafts last."""
        await self.deployment.serve_tables(version=8, routes=_routes(0, 2))
        await self._start_chain()
        for path in ('/drafts/2/', '/drafts/0/'):
            answer = await self.deployment.call(path)
            self.assertEqual(answer.status, 200)
        resumed = await self.deployment.call(
            '/drafts/2/', **{'Last-Event-Id': '3'}
        )
        self.assertEqual(resumed.status, 200)
        runs = self.deployment.targets['x1'].caller_requests()
        classes = [int(run.headers['urgency']) for run in runs]
        fresh_late, fresh_urgent, resumed_late = classes
        self.assertLess(fresh_urgent, resumed_late)
        self.assertLess(resumed_late, fresh_late)

    async def test_one_rank(self) -> None:
        """Guards against other requests where no ranks compete."""
        await self._start_chain()
        service = await self.deployment.add_service('r1')
        await self.deployment.call('/drafts/1', Urgency='0')
        await self.deployment.call('/calls/1', Urgency='0')
        for target in (self.deployment.targets['x1'], service):
            (run,) = target.caller_requests()
            self.assertNotIn('urgency', run.headers)
