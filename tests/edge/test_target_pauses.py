"""Tests of targets that ask hosts for a pause."""

from __future__ import annotations

import asyncio
import collections

from nutmegspoke.border.clock import SystemClock
from nutmegspoke.standins.wire_target import WireTarget
from tests.edge.host_group import HostGroupCase
from tests.edge.world import CallResult

_REQUESTS_PER_S = 25
# Tokens of a draft of which one engine has memory for many.
_SMALL_DRAFT = '70,30'
_PAUSE_S = 2.0
_LONG_PAUSE_S = 4.0
# Requests that may reach a target in a pause that it has asked for.
_MAX_LATE = 2
_ODD_PAUSES = ('-5', 'nan', 'inf', '1e400', 'soon', '9' * 20, '', '0')
# Longer than a report takes.
_REPORTS_S = 0.5
# Callers without an answer by then would have been kept waiting.
_AT_ONCE_S = 1.0


class PauseCase(HostGroupCase):
    """Base class with two daemons that use the same targets."""

    async def asyncSetUp(self) -> None:
        """Start the daemons."""
        await super().asyncSetUp()
        self._number = 0

    async def _send(self, path: str, for_s: float) -> collections.Counter[int]:
        """Send requests at a steady rate, to each host in turn.

        :returns: number of answers by status.
        """
        calls = []
        for _ in range(int(for_s * _REQUESTS_PER_S)):
            self._number += 1
            index = self._number % len(self.hosts)
            calls.append(asyncio.create_task(self._call(index, path)))
            await asyncio.sleep(1 / _REQUESTS_PER_S)
        answers = await asyncio.gather(*calls)
        return collections.Counter(answer.status for answer in answers)

    async def _call(self, index: int, path: str) -> CallResult:
        attempt = f'{index}/{self._number}'
        return await self.hosts[index].call(
            path, **{'Attempt-Id': attempt, 'Token-Counts': _SMALL_DRAFT}
        )

    def _check_rests(self, targets: list[WireTarget]) -> None:
        counts = [target.rest.most_late_requests() for target in targets]
        self.assertLessEqual(max(counts), _MAX_LATE, counts)


class ServicePauseTest(PauseCase):
    """Targets of a plain service ask for a pause."""

    async def test_two_of_three(self) -> None:
        """Guards against requests to a target that has asked for a pause."""
        targets = await self._add_services()
        for target in targets[:2]:
            target.rest.ask(_PAUSE_S)
        statuses = await self._send('/calls/1', _PAUSE_S)
        self._check_rests(targets)
        # Each host learns of each pause from a refusal.
        self.assertLessEqual(statuses.pop(503, 0), 2 * len(self.hosts))
        self.assertEqual(set(statuses), {200})

    async def test_all(self) -> None:
        """Guards against the use of targets in a pause as there is no other."""
        targets = await self._add_services()
        for target in targets:
            target.rest.ask(_PAUSE_S)
        await self._send('/calls/1', _PAUSE_S)
        self._check_rests(targets)

    async def test_the_answer_while_all_pause(self) -> None:
        """Guards against callers that are kept waiting, or return too early."""
        targets = await self._add_services()
        for target in targets:
            target.rest.ask(_LONG_PAUSE_S)
        await self._send('/calls/1', 0.5)
        answer = await asyncio.wait_for(self._call(0, '/calls/1'), _AT_ONCE_S)
        self.assertEqual(answer.status, 503)
        self.assertGreater(
            float(answer.headers['Retry-After']), _LONG_PAUSE_S / 2
        )

    async def test_pauses_that_cannot_be(self) -> None:
        """Guards against a daemon that an odd header ends or blocks."""
        (target, *_) = await self._add_services()
        for pause in _ODD_PAUSES:
            target.faults.refusals = 1
            target.faults.pause = pause
            statuses = await self._send('/calls/1', 0.4)
            self.assertLessEqual(statuses.pop(503, 0), 1, pause)
            self.assertEqual(set(statuses), {200}, pause)


class EnginePauseTest(PauseCase):
    """Engines that drafts are sent to ask for a pause."""

    async def test_two_of_three(self) -> None:
        """Guards against drafts to engines in a pause, and needless refusals.

        The third engine could run all drafts.
        """
        targets = await self._add_engines()
        for target in targets[:2]:
            target.rest.ask(_LONG_PAUSE_S)
        statuses = await self._send('/drafts/1', _LONG_PAUSE_S)
        self._check_rests(targets)
        # Each host learns of each pause from a refusal.
        self.assertLessEqual(statuses.pop(503, 0), 2 * len(self.hosts))
        self.assertEqual(set(statuses), {200})

    async def test_all(self) -> None:
        """Guards against the use of engines in a pause as there is no other."""
        targets = await self._add_engines()
        for target in targets:
            target.rest.ask(_PAUSE_S)
        await self._send('/drafts/1', _PAUSE_S)
        self._check_rests(targets)

    async def test_the_return(self) -> None:
        """Guards against an engine that gets no drafts after its pause.

        Of drafts for three engines it gets a third; less while it returns.
        """
        targets = await self._add_engines()
        targets[0].rest.ask(_LONG_PAUSE_S)
        await self._send('/drafts/1', _LONG_PAUSE_S + 0.5)
        self._check_rests(targets)
        targets[0].rest.served = 0
        statuses = await self._send('/drafts/1', _LONG_PAUSE_S)
        self.assertGreater(targets[0].rest.served, statuses.total() / 6)

    async def test_reports(self) -> None:
        """Guards against polls of reports from an engine in a pause.

        The engine wants nothing from the host.
        """
        (engine, *others) = await self._add_engines()
        await self.deployment.until(lambda: self._count_reports(engine))
        for target in others:
            await self.deployment.store.put('servers', target.name, None)
        for host in self.hosts:
            pauses = host.daemon.view.conditions.pauses
            pauses.begin(engine.name, _LONG_PAUSE_S, SystemClock().now_s())
        await asyncio.sleep(_REPORTS_S)
        before = self._count_reports(engine)
        await asyncio.sleep(_LONG_PAUSE_S / 2)
        self.assertEqual(self._count_reports(engine), before)

    def _count_reports(self, engine: WireTarget) -> int:
        return sum(request.path == '/v1/report' for request in engine.received)
