"""Tests of engines that crash under each prompt that has a certain part."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.edge.test_daemon import DaemonCase
from tests.edge.world import CallResult, Deployment

if TYPE_CHECKING:
    from nutmegspoke.standins.wire_target import ReceivedRequest

_FATAL = 'fa7a1'
# Parts that all drafts have: that of the route, and that of a subject.
_ROUTE_PART = 'c0'
_SUBJECT_PART = 'c1'
_HOSTS = 3
# Engines of the first layers that are kept running.
_FIRST_ENGINES = 4
_TRIES = 6
_LATE_PORT_S = 0.03
# Crashes after which no more requests with the part may be sent, once the
# daemons have had time to tell each other.
_MAX_CRASHES = 5
# Requests with the part that may be sent then.
_MAX_LATE_SENDS = 3
# Longer than the updates between daemons need.
_NEWS_S = 0.5


class FatalPartCase(DaemonCase):
    """Base class with several daemons, and engines that crash under a part."""

    async def asyncSetUp(self) -> None:
        """Start the daemons, and engines for several chains."""
        await super().asyncSetUp()
        self.hosts = [self.deployment]
        self._number = 0
        for number in range(1, _HOSTS):
            await self._add_host(f'other-{number}')
        await self.deployment.add_engine('last', (40, 80))
        await self._replace_crashed()

    async def _add_host(self, name: str) -> Deployment:
        host = Deployment(shared=self.deployment, name=name)
        await host.start()
        self.addAsyncCleanup(host.stop)
        await host.until(lambda: host.daemon.view.version)
        self.hosts.append(host)
        return host

    async def _replace_crashed(self) -> None:
        """Start engines in place of those that have crashed."""
        running = [
            target
            for target in self.deployment.targets.values()
            if target.layers == (0, 40) and not target.has_crashed
        ]
        for _ in range(_FIRST_ENGINES - len(running)):
            self._number += 1
            name = f'first-{self._number}'
            target = await self.hosts[0].add_engine(name, (0, 40))
            target.faults.fatal_part = _FATAL
            for host in self.hosts:
                await host.until(lambda: host.daemon.view.targets.find(name))

    async def _draft(self, host: Deployment, *parts: str) -> CallResult:
        """Send a draft with parts, a body and a last part that no other has."""
        self._number += 1
        own = f'e{self._number}'
        prompt = ','.join(f'{part}:40' for part in (*parts, own))
        return await host.call(
            '/drafts/1', body=own.encode(), **{'Prompt-Prefix': prompt}
        )

    async def _fatal_draft(self, host: Deployment) -> CallResult:
        return await self._draft(host, _ROUTE_PART, _SUBJECT_PART, _FATAL)

    async def _send_fatal_drafts(self, hosts: list[Deployment]) -> list[int]:
        """Send a draft to each host in turn, and replace what crashed.

        :returns: statuses of the answers.
        """
        statuses = []
        for host in hosts:
            answer = await self._fatal_draft(host)
            statuses.append(answer.status)
            await asyncio.sleep(_NEWS_S)
            await self._replace_crashed()
        return statuses

    def _fatal_sends(self) -> list[ReceivedRequest]:
        return [
            request
            for target in self.deployment.targets.values()
            for request in target.caller_requests()
            if _FATAL in request.shared_parts()
        ]

    def _count_crashes(self) -> int:
        return sum(
            target.has_crashed for target in self.deployment.targets.values()
        )


class FatalPartTest(FatalPartCase):
    """Drafts that share a part of their prompts come at all hosts."""

    async def test_a_part_that_crashes_engines_is_not_sent_on(self) -> None:
        """Guards against new requests with the part that crash one engine each.

        They have neither body nor last part in common.
        """
        await self._send_fatal_drafts(self.hosts * 2)
        self.assertLessEqual(self._count_crashes(), _MAX_CRASHES)
        sent = len(self._fatal_sends())
        statuses = await self._send_fatal_drafts(self.hosts * 2)
        self.assertLessEqual(len(self._fatal_sends()) - sent, _MAX_LATE_SENDS)
        self.assertEqual(statuses[-1], 503)

    async def test_sound_drafts_with_the_other_parts_are_served(self) -> None:
        """Guards against refusals of a team, a route or a subject as a whole.

        They come between the drafts that crash engines.
        """
        for host in self.hosts * 2:
            fatal, *sound = await asyncio.gather(
                self._fatal_draft(host),
                *(
                    self._draft(other, _ROUTE_PART, _SUBJECT_PART)
                    for other in self.hosts
                ),
            )
            await asyncio.sleep(_NEWS_S)
            await self._replace_crashed()
        self.assertEqual(fatal.status, 503)
        for answer in sound:
            self.assertEqual((answer.status, answer.is_whole), (200, True))

    async def test_parallel_drafts_with_the_part(self) -> None:
        """Guards against a count that a burst at all hosts outruns."""
        await asyncio.gather(
            *(self._fatal_draft(host) for host in self.hosts),
        )
        await asyncio.sleep(_NEWS_S)
        await self._replace_crashed()
        sent = len(self._fatal_sends())
        await self._send_fatal_drafts(self.hosts * 2)
        self.assertLessEqual(len(self._fatal_sends()) - sent, _MAX_LATE_SENDS)


class LatePortTest(FatalPartCase):
    """Engines end their connections a moment before their port."""

    async def test_the_crash_that_decides(self) -> None:
        """Guards against a fourth engine that ends before the third counts."""
        for host in self.hosts:
            for target in self.deployment.targets.values():
                target.faults.closes_port_after_s = _LATE_PORT_S
            await self._send_fatal_drafts([host])
        self.assertEqual(self._count_crashes(), 3)


class KnownPartTest(FatalPartCase):
    """Daemons come and go once the part is known."""

    async def asyncSetUp(self) -> None:
        """Send drafts until the part is known."""
        await super().asyncSetUp()
        await self._send_fatal_drafts(self.hosts * 2)
        self.sent = len(self._fatal_sends())

    async def _send_to_new_daemon(self) -> None:
        """Start a daemon, and send drafts to it once it knows of the part."""
        host = await self._add_host('late')
        parts = host.daemon.view.crashes.parts
        loop = asyncio.get_running_loop()
        await host.until(lambda: parts.active(loop.time()))
        await self._send_fatal_drafts([host] * _TRIES)

    async def test_a_daemon_that_starts_later(self) -> None:
        """Guards against a new daemon that has to learn by crashes again."""
        await self._send_to_new_daemon()
        self.assertEqual(len(self._fatal_sends()), self.sent)

    async def test_all_daemons_end(self) -> None:
        """Guards against crashes that begin anew after the end of all."""
        for host in self.hosts:
            await host.daemon.close()
        self.hosts.clear()
        await self._send_to_new_daemon()
        self.assertEqual(len(self._fatal_sends()), self.sent)
