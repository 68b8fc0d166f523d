"""Tests of targets that write an earlier refusal again, or errors after events."""

from __future__ import annotations

import asyncio
import json

from nutmegspoke.border.clock import SystemClock
from nutmegspoke.standins.wire_target import WireTarget
from tests import builders_edge as build
from tests.edge.test_daemon import DaemonCase

_ERRORS = (500, 503, 404)
_BREAK_AFTER = 4


class StaleRefusalTest(DaemonCase):
    """A target writes the refusal of an earlier request once more."""

    async def test_a_draft_that_runs(self) -> None:
        """Guards against a draft told as not run though its engine runs it.

        No other engine could run it.
        """
        await self.deployment.add_engine('last', (40, 80))
        engine = await self.deployment.add_engine('x1', (0, 40))
        engine.faults.repeats_refusals = True
        for names_refused in (False, True):
            engine.faults.names_refused = names_refused
            await self._be_refused('/drafts/1', engine)
            answer = await self.deployment.call('/drafts/1')
            self.assertEqual(
                (answer.status, answer.is_whole), (200, True), names_refused
            )

    async def test_a_read(self) -> None:
        """Guards against a read refused though its target has answered it."""
        drafts, calls = json.loads(build.wire_configuration())['routes']
        reads = {**calls, 'route_kind': 'idempotent', 'max_attempts': 2}
        await self.deployment.serve_tables(version=8, routes=[drafts, reads])
        target = await self.deployment.add_service('r1')
        target.faults.repeats_refusals = True
        for names_refused in (False, True):
            target.faults.names_refused = names_refused
            await self._be_refused('/calls/1', target)
            answer = await self.deployment.call('/calls/1')
            self.assertEqual(answer.status, 200, names_refused)

    async def test_connections_after_refusals(self) -> None:
        """Guards against a new connection after each refusal that has an id."""
        target = await self.deployment.add_service('r1')
        target.faults.names_refused = True
        await self._be_refused('/calls/1', target)
        self.assertEqual(target.disconnect_count, 0)
        target.faults.names_refused = False
        await self._be_refused('/calls/1', target)
        await self.deployment.until(lambda: target.disconnect_count == 1)

    async def _be_refused(self, path: str, target: WireTarget) -> None:
        """Send a request that its target refuses, and wait until it is usable."""
        target.faults.refusals = 1
        answer = await self.deployment.call(path)
        self.assertEqual(answer.status, 503)
        faults = self.deployment.daemon.view.faults
        await self.deployment.until(
            lambda: not faults.is_left_out(target.name, SystemClock().now_s())
        )


class ErrorAfterBreakTest(DaemonCase):
    """A stream breaks off, and the engine that goes on answers with an error."""

    async def test_the_error_is_no_part_of_the_stream(self) -> None:
        """Guards against an error's text in a stream, and a false end of it."""
        await self.deployment.add_engine('last', (40, 80))
        for status in _ERRORS:
            for name in ('x1', 'x2'):
                engine = await self.deployment.add_engine(
                    f'{name}-{status}', (0, 40)
                )
                engine.faults.break_after = _BREAK_AFTER
                engine.faults.break_count = 1
                engine.faults.error_status = status
            answer = await asyncio.wait_for(
                self.deployment.call('/drafts/1'), 10.0
            )
            self.assertNotIn(b'an error', answer.body)
            self.assertNotIn(b'HTTP/1.1', answer.body)
            self.assertFalse(answer.is_whole, status)
            self.assertEqual(answer.body.count(b'id: '), _BREAK_AFTER)
            for name in ('x1', 'x2'):
                await self.deployment.store.put(
                    'servers', f'{name}-{status}', None
                )
