"""Tests of what silent drafts do to other drafts and to connections."""

from __future__ import annotations

import asyncio

from tests import builders_edge as build
from tests.edge.test_silent_engines import SilentEnginesCase

# The daemon searches for a chain, pauses and searches again in this time.
_SEARCHES_S = 1.5
_CALL_PAUSE_S = 0.1


class SilentDraftEffectsTest(SilentEnginesCase):
    """Other drafts and connections while a draft is silent."""

    async def test_a_silent_draft_without_a_further_target_does_not_queue(
        self,
    ) -> None:
        """Guards against refused drafts for which a chain has free memory.

        A silent draft that may not be sent to another target waited for memory
        in front of all other drafts.
        """
        await self.deployment.serve_tables(
            version=9, routes=build.wire_routes(max_attempts=1)
        )
        self.first.faults.silent_after = 3
        silent_call = self._call()
        await self.deployment.until(lambda: self.first.silence.is_held)
        await self._add_replica()
        await self._until_noticed()
        statuses = []
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _SEARCHES_S
        while loop.time() < end_s:
            statuses.append((await self._call()).status)
            await asyncio.sleep(_CALL_PAUSE_S)
        self.first.silence.end()
        self.assertTrue((await silent_call).is_whole)
        self.assertEqual(set(statuses), {200}, statuses)

    async def test_a_failed_replacement_leaves_no_connection(self) -> None:
        """Guards against open connections of complete failures.

        A replacement that answered with a failure was neither closed nor used
        again.
        """
        self.first.faults.silent_after = 3
        silent_call = self._call()
        await self.deployment.until(lambda: self.first.silence.is_held)
        replica = await self._add_replica()
        replica.faults.failures = 9
        await self.deployment.until(replica.caller_requests)
        await self._end_silence(self.first)
        self._assert_whole(await silent_call)
        await self.deployment.until(lambda: replica.disconnect_count)
