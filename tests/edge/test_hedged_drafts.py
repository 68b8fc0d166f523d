"""Tests of further runs of drafts whose first event is late."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.entry_host import HedgingLimits
from tests import builders_edge as build
from tests.edge.test_daemon import DaemonCase, _event_ids

if TYPE_CHECKING:
    from nutmegspoke.standins.wire_target import WireTarget
    from tests.edge.world import CallResult

_SHARE = 0.2
# Drafts that allow a copy at that share.
_DRAFTS = 8
_EVENTS = 12
# Tokens of a draft of which one engine has memory for many.
_SMALL_DRAFT = '70,30'
_LONG_S = 0.45
_MAX_DRAFTS = 40


class HedgedDraftsCase(DaemonCase):
    """Base class with two chains, whose first engines may be held.

    :cvar share: share of copies that the deployment asks for.
    """

    share = _SHARE

    async def asyncSetUp(self) -> None:
        """Allow copies, and make as many drafts as allow one."""
        await super().asyncSetUp()
        await self._start_chain()
        await self._start_replicas()
        self._set_share(self.share)
        self.firsts = [self.deployment.targets[name] for name in ('x1', 'x2')]
        for _ in range(_DRAFTS):
            self._assert_whole(await self._draft())
        for target in self.deployment.targets.values():
            target.received.clear()

    def _set_share(self, share: float) -> None:
        self.deployment.described_host = dataclasses.replace(
            self.deployment.host, hedging=HedgingLimits(share)
        )
        self.deployment.daemon.reload()

    async def _draft(self) -> CallResult:
        return await self.deployment.call(
            '/drafts/1', **{'Token-Counts': _SMALL_DRAFT}
        )

    def _begin_held_draft(self) -> asyncio.Task[CallResult]:
        """Send a draft; both first engines hold its events."""
        for target in self.firsts:
            target.faults.wait_after = 0
        return asyncio.create_task(self._draft())

    async def _begin_hedged_draft(
        self,
    ) -> tuple[asyncio.Task[CallResult], WireTarget, WireTarget]:
        """Send a draft that has two runs, without an event.

        :returns: the draft, and the first engines of its first run and copy.
        """
        draft = self._begin_held_draft()
        await self.deployment.until(
            lambda: all(target.caller_requests() for target in self.firsts)
        )
        await self.deployment.until(
            lambda: bool(self.deployment.events('hedge_sent'))
        )
        (line,) = self.deployment.events('hedge_sent')
        targets = self.deployment.targets
        return draft, targets[line['target']], targets[line['copy_target']]

    def _assert_whole(self, answer: CallResult) -> None:
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.is_whole)
        self.assertEqual(_event_ids(answer.body), list(range(1, _EVENTS + 1)))

    def _outcomes(self) -> list[str]:
        ended = self.deployment.events('hedge_ended')
        return [line['outcome'] for line in ended]

    async def _until_closed(self, target: WireTarget) -> None:
        """Wait until a target sees that its connection was closed."""
        before = target.disconnect_count
        target.silence.end()
        await self.deployment.until(lambda: target.disconnect_count > before)


class HedgedDraftsTest(HedgedDraftsCase):
    """Another run is started, and one of both has the first event."""

    async def test_the_copy_has_the_first_event(self) -> None:
        """Guards against callers that wait for a slow chain."""
        draft, first, copy = await self._begin_hedged_draft()
        copy.silence.end()
        answer = await draft
        self._assert_whole(answer)
        self.assertEqual(answer.headers['Response-Seal'], f'seal-{copy.name}')
        self.assertEqual(self._outcomes(), ['won'])
        await self._until_closed(first)

    async def test_the_first_run_has_the_first_event(self) -> None:
        """Guards against a copy that wins by its head alone, or goes on."""
        draft, first, copy = await self._begin_hedged_draft()
        first.silence.end()
        answer = await draft
        self._assert_whole(answer)
        self.assertEqual(answer.headers['Response-Seal'], f'seal-{first.name}')
        self.assertEqual(self._outcomes(), ['lost'])
        await self._until_closed(copy)

    async def test_both_have_it_at_once(self) -> None:
        """Guards against pieces of two runs in one stream."""
        draft, first, copy = await self._begin_hedged_draft()
        first.silence.end()
        copy.silence.end()
        answer = await draft
        self._assert_whole(answer)
        self.assertEqual(len(self._outcomes()), 1)

    async def test_no_engine_is_blamed(self) -> None:
        """Guards against engines left out by all hosts for one slow draft."""
        draft, _, copy = await self._begin_hedged_draft()
        copy.silence.end()
        await draft
        self.assertEqual(self.deployment.events('target_left_out'), [])
        self.assertEqual(self.deployment.events('silence_ended'), [])

    async def test_the_engine_of_the_copy_dies(self) -> None:
        """Guards against a draft that fails with its copy."""
        draft, first, copy = await self._begin_hedged_draft()
        await copy.crash()
        copy.reset_connections()
        await self.deployment.until(
            lambda: bool(self.deployment.events('target_crashed'))
        )
        first.silence.end()
        self._assert_whole(await draft)

    async def test_the_first_engine_dies(self) -> None:
        """Guards against a copy that ends with the first run."""
        draft, first, copy = await self._begin_hedged_draft()
        await first.crash()
        first.reset_connections()
        await self.deployment.until(
            lambda: bool(self.deployment.events('target_crashed'))
        )
        copy.silence.end()
        self._assert_whole(await draft)

    async def test_the_caller_leaves(self) -> None:
        """Guards against runs, and memory, for nobody."""
        draft, first, copy = await self._begin_hedged_draft()
        draft.cancel()
        await self.deployment.until(
            lambda: any(
                line['outcome'] == 'caller_left'
                for line in self.deployment.events('request_ended')
            )
        )
        reserved = self.deployment.daemon.view.own_reservations
        await self.deployment.until(lambda: not reserved.total_reservations())
        await self._until_closed(first)
        await self._until_closed(copy)

    async def test_an_engine_without_a_head(self) -> None:
        """Guards against a search that needs a head to begin."""
        self.firsts[0].faults.is_silent = True
        for _ in range(_MAX_DRAFTS):
            self._assert_whole(await self._draft())
            if self._outcomes():
                break
        self.assertEqual(self._outcomes(), ['won'])


class WithheldRunsTest(HedgedDraftsCase):
    """No other run is started."""

    async def test_none_without_the_setting(self) -> None:
        """Guards against copies in deployments that have not asked for them."""
        self._set_share(0.0)
        # A draft that made copies possible may have been slow itself.
        counted = await self._hedges_counted()
        await self._assert_one_run()
        self.assertEqual(await self._hedges_counted(), counted)

    async def test_a_stream_that_may_run_once(self) -> None:
        """Guards against a second run of what may run once at most."""
        await self.deployment.serve_tables(
            version=9, routes=build.wire_routes(resumable=False)
        )
        await self._assert_one_run()

    async def _hedges_counted(self) -> list[str]:
        page = await self.deployment.metrics()
        return [line for line in page.splitlines() if 'hedges_total{' in line]

    async def _assert_one_run(self) -> None:
        draft = self._begin_held_draft()
        await self.deployment.until(
            lambda: any(target.caller_requests() for target in self.firsts)
        )
        await asyncio.sleep(_LONG_S)
        for target in self.firsts:
            target.silence.end()
        self._assert_whole(await draft)
        runs = sum(len(target.caller_requests()) for target in self.firsts)
        self.assertEqual(runs, 1)
        self.assertEqual(self.deployment.events('hedge_sent'), [])


class WithoutSettingTest(WithheldRunsTest):
    """No draft of the deployment was ever allowed a copy."""

    share = 0.0

    async def test_nothing_is_counted(self) -> None:
        """Guards against copies in deployments that have not asked for them."""
        await self._assert_one_run()
        self.assertEqual(await self._hedges_counted(), [])
