"""Tests of answers that end inside their heads."""

from __future__ import annotations

import itertools

from nutmegspoke.retries.target_faults import TargetFaults
from tests.cut_target import FRAMINGS, CutTarget
from tests.edge.test_daemon import DaemonCase

_LAYERS = {'from': 0, 'to': 40, 'version': 1}
# Step of the bytes at which other than the usual answers are cut off.
_STEP = 4
# All ids of requests have this length, so that heads have.
_FIRST_NUMBER = 1_000


class CutHeadsTest(DaemonCase):
    """A target ends its connection in the middle of an answer's head."""

    async def asyncSetUp(self) -> None:
        """Start the target."""
        await super().asyncSetUp()
        self.target = CutTarget()
        server, self.address = await self.target.start()
        self.addCleanup(server.close)
        self.number = _FIRST_NUMBER

    async def test_calls(self) -> None:
        """Guards against a success made of a head that was cut off."""
        await self.deployment.list_target(
            'c', self.address, service='records', layers=None, slots=6
        )
        await self._check_cuts('/calls/1')

    async def test_drafts(self) -> None:
        """Guards against a stream made of a head that was cut off."""
        await self.deployment.add_engine('last', (40, 80))
        await self.deployment.list_target('c', self.address, layers=_LAYERS)
        await self._check_cuts('/drafts/1')

    async def _check_cuts(self, path: str) -> None:
        for framing, is_reset in itertools.product(FRAMINGS, (False, True)):
            self.target.framing, self.target.is_reset = framing, is_reset
            head = self.target.head(str(self.number).encode())
            is_usual = framing == FRAMINGS[0] and not is_reset
            for cut in range(0, len(head), 1 if is_usual else _STEP):
                await self._check_cut(path, cut)

    async def _check_cut(self, path: str, cut: int) -> None:
        self.number += 1
        self.target.cut = cut
        # The target's faults must not keep the next request from it.
        self.deployment.daemon.view.faults = TargetFaults()
        received = self.target.received
        answer = await self.deployment.call(
            path, **{'Attempt-Id': str(self.number)}
        )
        is_success = answer.status < 300 and answer.is_whole
        self.assertFalse(is_success, (self.target.framing, cut, answer))
        self.assertGreater(self.target.received, received, cut)
