"""Tests of a pool of engines that routes of several ranks share."""

from __future__ import annotations

import asyncio

from nutmegspoke.contention.demand import RankDemand
from nutmegspoke.membership.load_news import LoadUpdate
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


# Demand of another daemon, far over the room of the engines.
_URGENT_DEMAND = RankDemand(
    held_tokens=1e6,
    arrived_tokens_per_s=1e6,
    arrived_squares_per_s=1e9,
    freed_tokens_per_s=0.0,
)


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

    async def test_calls_have_no_part_of_a_stream(self) -> None:
        """Guards against calls that a header makes more urgent."""
        _, calls = build.wire_routes()
        urgent = {**calls, 'name': 'c-0', 'prefix': '/urgent/', 'priority': 0}
        await self.deployment.serve_tables(version=8, routes=[calls, urgent])
        service = await self.deployment.add_service('r1')
        await self.deployment.call('/calls/1')
        await self.deployment.call('/calls/1', **{'Last-Event-Id': '3'})
        await self.deployment.call('/urgent/1')
        low, named, high = (
            run.headers['urgency'] for run in service.caller_requests()
        )
        self.assertEqual(named, low)
        self.assertLess(high, low)

    async def test_one_rank(self) -> None:
        """Guards against other requests where no ranks compete."""
        await self._start_chain()
        service = await self.deployment.add_service('r1')
        await self.deployment.call('/drafts/1', Urgency='0')
        await self.deployment.call('/calls/1', Urgency='0')
        for target in (self.deployment.targets['x1'], service):
            (run,) = target.caller_requests()
            self.assertNotIn('urgency', run.headers)


class ProtectionTest(DaemonCase):
    """Drafts that are held back for more urgent ones elsewhere."""

    async def _hear_of_urgent_drafts(self) -> None:
        """Tell the daemon of more urgent drafts than there is room for."""
        await self._start_chain()
        await self.deployment.add_daemon('host-9')
        engine = self.deployment.daemon.view.targets.find('x1')
        profile = self.deployment.daemon.view.tables.pools['engines'].profile
        total = profile.capacity_token_layers(engine.kind, len(engine.layers))
        update = LoadUpdate(
            'host-9',
            1,
            1,
            dict.fromkeys(('x1', 'y1'), (0.3 * total, 9, 9)),
            demand={'engines': {'1.0': _URGENT_DEMAND}},
        )
        updates = self.deployment.daemon.view.load_updates
        self.deployment.send_update(update)
        await self.deployment.until(lambda: updates.daemons(self._now_s()) == 1)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def test_a_less_urgent_draft_is_refused_at_once(self) -> None:
        """Guards against the last room taken from a more urgent draft."""
        await self.deployment.serve_tables(version=8, routes=_routes(0, 2))
        await self._hear_of_urgent_drafts()
        low = await self.deployment.call('/drafts/2/')
        self.assertEqual(low.status, 503)
        self.assertGreater(float(low.headers['Retry-After']), 0)
        self.assertEqual(self.deployment.targets['x1'].caller_requests(), [])
        urgent = await self.deployment.call('/drafts/0/')
        self.assertEqual(urgent.status, 200)
        (refused,) = [
            line
            for line in self.deployment.log_lines
            if line.get('outcome') == 'not_run'
        ]
        self.assertLess(refused['admitted_share'], 1.0)
        self.assertGreater(refused['narrowest_used'], 0.29)
        await self.deployment.until(
            lambda: any(
                line['event'] == 'ranks_held_back'
                for line in self.deployment.log_lines
            )
        )
        metrics = await self.deployment.metrics()
        self.assertIn('nutmegspoke_edge_pool_free_tokens', metrics)

    async def test_one_rank(self) -> None:
        """Guards against drafts held back where no ranks compete."""
        await self._hear_of_urgent_drafts()
        answer = await self.deployment.call('/drafts/1')
        self.assertEqual(answer.status, 200)
        own = self.deployment.daemon.view.contention.own
        self.assertEqual(own.outgoing(self._now_s()), {})
