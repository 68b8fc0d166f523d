"""Tests of targets that name a limit for the requests of all hosts."""

from __future__ import annotations

import asyncio
import collections

from nutmegspoke.standins.wire_target import WireTarget
from tests.edge.test_daemon import DaemonCase
from tests.edge.world import CallResult, Deployment

_HOST_COUNT = 3
_REQUESTS_PER_S = 45
# Tokens of a draft of which one engine has memory for many.
_SMALL_DRAFT = '70,30'
_WINDOW_S = 4.0
# Time for all hosts to know of a limit.
_NOTICE_S = 3.0
# Requests in a window: a multiple of what the limit allows, and some more.
_FACTOR = 1.5
_SLACK = 5
# Part of the allowance that is used at least if all targets are limited.
_USED_PART = 0.8
_ODD_LIMITS = ('-5', 'nan', 'inf', '1e400', 'soon', '9' * 30, '2, 3', ' ')
# Callers without an answer by then would have been kept waiting.
_AT_ONCE_S = 1.0


def _allowed(limit_per_s: float) -> float:
    return _FACTOR * limit_per_s * _WINDOW_S + _SLACK


class LimitCase(DaemonCase):
    """Base class with several daemons that use the same targets."""

    async def asyncSetUp(self) -> None:
        """Start the daemons."""
        await super().asyncSetUp()
        self.hosts = [self.deployment]
        for number in range(2, _HOST_COUNT + 1):
            await self._add_host(f'host-{number}')
        self._number = 0
        self.answers: list[CallResult] = []
        self.durations_s: list[float] = []

    async def _add_host(self, name: str) -> Deployment:
        host = Deployment(shared=self.deployment, name=name)
        await host.start()
        self.addAsyncCleanup(host.stop)
        self.hosts.append(host)
        return host

    async def _add_services(self) -> list[WireTarget]:
        targets = [
            await self.deployment.add_service(name)
            for name in ('r1', 'r2', 'r3')
        ]
        await self._know_targets()
        return targets

    async def _add_engines(self) -> list[WireTarget]:
        """Start three engines of the first layers and one of the others."""
        await self.deployment.add_engine('last', (40, 80))
        targets = [
            await self.deployment.add_engine(name, (0, 40))
            for name in ('x1', 'x2', 'x3')
        ]
        await self._know_targets()
        return targets

    async def _know_targets(self) -> None:
        for host in self.hosts:
            await host.until(
                lambda host=host: all(
                    host.daemon.view.targets.find(name)
                    for name in self.deployment.targets
                )
            )

    async def _send(
        self, path: str, for_s: float, first_part: float | None = None
    ) -> collections.Counter[int]:
        """Send requests at a steady rate, to each host in turn.

        :param first_part: part of the requests that the first host gets; the
            same as the others by default.
        :returns: number of answers by status.
        """
        calls = []
        for _ in range(int(for_s * _REQUESTS_PER_S)):
            self._number += 1
            index = self._number % len(self.hosts)
            if first_part is not None:
                is_first = self._number % 10 < first_part * 10
                index = 0 if is_first else 1 + index % (len(self.hosts) - 1)
            calls.append(asyncio.create_task(self._call(index, path)))
            await asyncio.sleep(1 / _REQUESTS_PER_S)
        answers = await asyncio.gather(*calls)
        self.answers.extend(answers)
        return collections.Counter(answer.status for answer in answers)

    async def _call(self, index: int, path: str) -> CallResult:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        attempt = f'{index}/{self._number}'
        answer = await self.hosts[index].call(
            path, **{'Attempt-Id': attempt, 'Token-Counts': _SMALL_DRAFT}
        )
        self.durations_s.append(loop.time() - started_s)
        return answer

    async def _limit(
        self, targets: list[WireTarget], limit_per_s: float, path: str
    ) -> float:
        """Let targets name a limit, and send until all hosts should know it.

        :returns: time of the loop from which it holds.
        """
        for target in targets:
            target.limit.name(str(limit_per_s))
        await self._send(path, _NOTICE_S)
        return asyncio.get_running_loop().time()

    def _check_limits(
        self, targets: list[WireTarget], limit_per_s: float, since_s: float
    ) -> None:
        counts = [
            target.limit.most_in_window(since_s, _WINDOW_S)
            for target in targets
        ]
        self.assertLessEqual(max(counts), _allowed(limit_per_s), counts)


class ServiceLimitTest(LimitCase):
    """Targets of a plain service name a limit."""

    async def test_one_of_three(self) -> None:
        """Guards against a limit that is kept by no host, or by each alone.

        The other targets have room for all requests.
        """
        targets = await self._add_services()
        since_s = await self._limit(targets[:1], 2.0, '/calls/1')
        statuses = await self._send('/calls/1', 1.25 * _WINDOW_S)
        self._check_limits(targets[:1], 2.0, since_s)
        self.assertEqual(set(statuses), {200})

    async def test_all(self) -> None:
        """Guards against use beyond the limits as there is no other target.

        Most of what they allow is used, and the rest is refused at once.
        """
        targets = await self._add_services()
        since_s = await self._limit(targets, 3.0, '/calls/1')
        self.durations_s.clear()
        statuses = await self._send('/calls/1', 1.25 * _WINDOW_S)
        self._check_limits(targets, 3.0, since_s)
        used = sum(target.limit.count_since(since_s) for target in targets)
        allowed = len(targets) * 3.0 * 1.25 * _WINDOW_S
        self.assertGreaterEqual(used, _USED_PART * allowed)
        self.assertGreater(statuses[503], 0)
        self.assertLess(max(self.durations_s), _AT_ONCE_S)

    async def test_most_requests_at_one_host(self) -> None:
        """Guards against shares of hosts that have no use for them."""
        targets = await self._add_services()
        since_s = asyncio.get_running_loop().time() + _NOTICE_S
        for target in targets:
            target.limit.name('3.0')
        await self._send('/calls/1', _NOTICE_S, first_part=0.8)
        await self._send('/calls/1', 1.25 * _WINDOW_S, first_part=0.8)
        self._check_limits(targets, 3.0, since_s)
        used = sum(
            time_s >= since_s and host == '0'
            for target in targets
            for time_s, host in target.limit.received_s
        )
        allowed = len(targets) * 3.0 * 1.25 * _WINDOW_S
        self.assertGreaterEqual(used, _USED_PART * 0.8 * allowed)

    async def test_a_host_that_starts(self) -> None:
        """Guards against a host that does not know what the others know."""
        targets = await self._add_services()
        await self._limit(targets[:1], 0.5, '/calls/1')
        host = await self._add_host('host-9')
        await self._know_targets()
        limits = host.daemon.view.conditions.limits
        clock = asyncio.get_running_loop()
        self.assertTrue(
            await host.is_within(
                _AT_ONCE_S, lambda: limits.find('r1', clock.time())
            )
        )
        since_s = clock.time()
        await self._send('/calls/1', _WINDOW_S)
        self._check_limits(targets[:1], 0.5, since_s)

    async def test_limits_that_cannot_be(self) -> None:
        """Guards against a daemon that an odd header ends or blocks."""
        target = await self.deployment.add_service('r1')
        for text in _ODD_LIMITS:
            target.limit.name(text)
            for _ in range(3):
                answer = await self._call(0, '/calls/1')
                self.assertEqual(answer.status, 200, text)
        self.assertEqual(len(self.deployment.events('limit_invalid')), 1)
        self.assertEqual(self.deployment.events('target_names_limit'), [])

    async def test_the_end(self) -> None:
        """Guards against limits that outlast the answers that name them.

        One host hears of the end from a target; the others from that host.
        """
        target = await self.deployment.add_service('r1')
        await self._know_targets()
        target.limit.name('0.5')
        await self._call(0, '/calls/1')
        for host in self.hosts:
            await host.until(lambda host=host: self._knows_limit(host))
        target.limit.name('')
        while (await self._call(0, '/calls/1')).status != 200:
            self._number += 1
        for host in self.hosts:
            self.assertTrue(
                await host.is_within(
                    _AT_ONCE_S, lambda host=host: not self._knows_limit(host)
                )
            )

    def _knows_limit(self, host: Deployment) -> bool:
        now_s = asyncio.get_running_loop().time()
        limits = host.daemon.view.conditions.limits
        return limits.find('r1', now_s) is not None


class EngineLimitTest(LimitCase):
    """Engines that drafts are sent to name a limit."""

    async def test_one_of_three(self) -> None:
        """Guards against drafts beyond a limit, and needless refusals."""
        targets = await self._add_engines()
        since_s = await self._limit(targets[:1], 1.0, '/drafts/1')
        statuses = await self._send('/drafts/1', 1.25 * _WINDOW_S)
        self._check_limits(targets[:1], 1.0, since_s)
        self.assertEqual(set(statuses), {200})

    async def test_all(self) -> None:
        """Guards against drafts beyond the limits as there is no other engine.

        Most of what they allow is used, and the rest is refused at once.
        """
        targets = await self._add_engines()
        since_s = await self._limit(targets, 3.0, '/drafts/1')
        statuses = await self._send('/drafts/1', 1.25 * _WINDOW_S)
        self._check_limits(targets, 3.0, since_s)
        used = sum(target.limit.count_since(since_s) for target in targets)
        allowed = len(targets) * 3.0 * 1.25 * _WINDOW_S
        self.assertGreaterEqual(used, _USED_PART * allowed)
        self.assertGreater(statuses[503], 0)
        refusals = [each for each in self.answers if each.status == 503]
        self.assertTrue(all('Retry-After' in each.headers for each in refusals))
