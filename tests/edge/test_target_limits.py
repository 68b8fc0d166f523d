"""Tests of targets that name a limit for the requests of all hosts."""

from __future__ import annotations

import asyncio
import collections
import random

from nutmegspoke.edge.target_notices import find_demand
from nutmegspoke.standins.wire_target import WireTarget
from tests.edge.host_group import HostGroupCase
from tests.edge.world import WAIT_S, CallResult, Deployment

_REQUESTS_PER_S = 30
_PATHS = ('/calls/1', '/drafts/1')
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


class LimitCase(HostGroupCase):
    """Base class with several daemons that use the same targets."""

    host_count = 3

    async def asyncSetUp(self) -> None:
        """Start the daemons, and count from 0."""
        await super().asyncSetUp()
        self._number = 0
        self.answers: list[CallResult] = []
        self.refused_s: list[float] = []
        self._source = random.Random(1)

    async def _send_all(
        self, for_s: float, *paths: str, first_part: float | None = None
    ) -> collections.Counter[int]:
        """Send requests for each path at the same time.

        :param first_part: part of the requests that the first host gets; the
            same as the others by default.
        :returns: number of answers by status.
        """
        counts = await asyncio.gather(
            *(self._send(path, for_s, first_part) for path in paths)
        )
        return sum(counts, collections.Counter())

    async def _send(
        self, path: str, for_s: float, first_part: float | None
    ) -> collections.Counter[int]:
        """Send requests at a steady rate, to each host in turn."""
        calls = []
        for _ in range(int(for_s * _REQUESTS_PER_S)):
            self._number += 1
            index = self._number % len(self.hosts)
            if first_part is not None:
                is_first = self._source.random() < first_part
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
        if answer.status != 200:
            self.refused_s.append(loop.time() - started_s)
        return answer

    async def _limit(
        self,
        targets: list[WireTarget],
        limit_per_s: float,
        *paths: str,
        first_part: float | None = None,
    ) -> float:
        """Let targets name a limit, and send until all hosts should know it.

        :returns: time of the loop from which it holds.
        """
        for target in targets:
            target.limit.name(str(limit_per_s))
        await self._send_all(_NOTICE_S, *paths, first_part=first_part)
        return asyncio.get_running_loop().time()

    def _check_limits(
        self, targets: list[WireTarget], limit_per_s: float, since_s: float
    ) -> None:
        counts = [
            target.limit.most_in_window(since_s, _WINDOW_S)
            for target in targets
        ]
        self.assertLessEqual(max(counts), _allowed(limit_per_s), counts)

    def _check_use(
        self, targets: list[WireTarget], limit_per_s: float, since_s: float
    ) -> None:
        """Check that most of what limits allow is used, mostly by one host."""
        hosts = [
            host
            for target in targets
            for time_s, host in target.limit.received_s
            if time_s >= since_s
        ]
        allowed = len(targets) * limit_per_s * 1.25 * _WINDOW_S
        self.assertGreaterEqual(len(hosts), _USED_PART * allowed)
        self.assertGreaterEqual(hosts.count('0'), _USED_PART * 0.8 * allowed)

    def _check_demand(self) -> None:
        """Check that each host knows the requests of all for the service."""
        now_s = asyncio.get_running_loop().time()
        for host in self.hosts:
            demand = find_demand(host.daemon.view, 'records', now_s)
            self.assertGreater(demand.requests_per_s, _REQUESTS_PER_S / 2)


class TargetLimitTest(LimitCase):
    """Targets of a plain service and engines name a limit.

    Calls and drafts are sent at the same time, as they use different targets.
    """

    async def test_one_of_three(self) -> None:
        """Guards against a limit that is kept by no host, or by each alone.

        The other targets have room for all requests.
        """
        services, engines = (
            await self._add_services(),
            await self._add_engines(),
        )
        targets = [services[0], engines[0]]
        since_s = await self._limit(targets, 1.0, *_PATHS)
        statuses = await self._send_all(1.25 * _WINDOW_S, *_PATHS)
        self._check_limits(targets, 1.0, since_s)
        self.assertEqual(set(statuses), {200})

    async def test_all(self) -> None:
        """Guards against use beyond the limits as there is no other target.

        Most of what they allow is used, and by the host that has most of the
        requests; the rest is refused at once.
        """
        services, engines = (
            await self._add_services(),
            await self._add_engines(),
        )
        targets = [*services, *engines]
        since_s = await self._limit(targets, 3.0, *_PATHS, first_part=0.8)
        self.refused_s.clear()
        statuses = await self._send_all(
            1.25 * _WINDOW_S, *_PATHS, first_part=0.8
        )
        self._check_limits(targets, 3.0, since_s)
        for group in (services, engines):
            self._check_use(group, 3.0, since_s)
        self._check_demand()
        self.assertGreater(statuses[503], 0)
        refusals = [each for each in self.answers if each.status == 503]
        self.assertTrue(all('Retry-After' in each.headers for each in refusals))
        self.assertLess(max(self.refused_s), _AT_ONCE_S)

    async def test_all_refuse(self) -> None:
        """Guards against use of a limited target as all are left out."""
        targets = await self._add_services()
        for target in targets:
            target.faults.refusals = 10**6
        since_s = await self._limit(targets, 1.0, _PATHS[0])
        await self._send_all(_WINDOW_S, _PATHS[0])
        self._check_limits(targets, 1.0, since_s)

    async def test_a_host_that_starts(self) -> None:
        """Guards against a host that does not know what the others know."""
        targets = await self._add_services()
        await self._limit(targets[:1], 0.5, _PATHS[0])
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
        await self._send_all(_WINDOW_S, _PATHS[0])
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
        async with asyncio.timeout(WAIT_S):
            while (await self._call(0, _PATHS[0])).status != 200:
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
