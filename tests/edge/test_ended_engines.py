"""Tests of drafts that wait for an engine that has ended."""

from __future__ import annotations

import asyncio

from tests import builders_edge as build
from tests.edge.test_silent_engines import SilentEnginesCase

# Longer than an interrupted stream waits for a chain.
_ENDED_S = 2.5


class EndedLaterEngineTest(SilentEnginesCase):
    """A later engine ends; the first one keeps the stream open."""

    async def test_a_stream_waits_for_a_chain_while_its_engine_holds_it(
        self,
    ) -> None:
        """Guards against a stream that is cut before its first engine ends it."""
        await self._hold_next_engine()
        pending_call = self._call()
        await self.deployment.until(lambda: self.first.silence.is_held)
        view = self.deployment.daemon.view
        now_s = asyncio.get_running_loop().time()
        view.lost_engines.record_loss('y1', now_s)
        await asyncio.sleep(_ENDED_S)
        self.assertEqual(self.first.disconnect_count, 0)
        await self._start_replicas()
        self._assert_whole(await pending_call)


class LostAfterSilenceTest(SilentEnginesCase):
    """The connection to a silent engine is lost; its route allows one."""

    async def asyncSetUp(self) -> None:
        """Put tables into force that allow one target."""
        await super().asyncSetUp()
        await self.deployment.serve_tables(
            version=9, routes=build.wire_routes(max_attempts=1)
        )

    async def test_an_engine_that_ends_does_not_count(self) -> None:
        """Guards against a cut stream whose silent engine turns out as ended."""
        self.first.faults.silent_after = 3
        pending_call = self._call()
        await self._until_noticed()
        await self._add_replica()
        await self.first.stop()
        self.first.reset_connections()
        self._assert_whole(await pending_call)

    async def test_an_engine_that_is_reached_counts(self) -> None:
        """Guards against a target too many, as a missing report is no end."""
        self.first.faults.silent_after = 3
        pending_call = self._call()
        await self._until_noticed()
        replica = await self._add_replica()
        self.first.reset_connections()
        await pending_call
        self.assertEqual(replica.caller_requests(), [])
        self._assert_nothing_reserved()
