"""Tests of requests under which the targets that run them crash."""

from __future__ import annotations

import asyncio

from nutmegspoke.retries.notices import ClearNotice, CrashNotice
from nutmegspoke.standins.row_store import RowStore
from tests import builders_edge as build
from tests.edge.test_daemon import DaemonCase
from tests.edge.world import Deployment

_FATAL = b'a body under which targets crash'
# Targets that may crash under one request before it is refused.
_MAX_CRASHES = 3
_TRIES = 6
_LATE_PORT_S = 0.03
# A stream that writes on each of several engines for a while.
_LONG_EVENTS = 45
_LONG_EVENT_PAUSE_S = 0.1
_WRITING_S = 1.0
# Longer than the updates between daemons need.
_NEWS_S = 1.0


def _quarantine_keys(store: RowStore) -> list[str]:
    return [key for table, key in store.copy().rows if table == 'quarantine']


class CrashingRequestsCase(DaemonCase):
    """Base class with targets that crash under one body."""

    async def asyncSetUp(self) -> None:
        """Put tables into force whose calls may be repeated."""
        await super().asyncSetUp()
        drafts, calls = build.wire_routes()
        calls |= {'route_kind': 'idempotent', 'max_attempts': 2}
        await self.deployment.serve_tables(version=8, routes=[drafts, calls])

    async def _add_services(self, *names: str) -> None:
        for name in names:
            target = await self.deployment.add_service(name)
            target.faults.fatal_body = _FATAL

    async def _add_engines(self, *names: str) -> None:
        """Start first engines of chains; they crash under the body."""
        for name in names:
            target = await self.deployment.add_engine(name, (0, 40))
            target.faults.fatal_body = _FATAL

    def _count_fatal_runs(self) -> int:
        """Return the number of targets that got the fatal request."""
        return sum(
            any(run.body == _FATAL for run in target.caller_requests())
            for target in self.deployment.targets.values()
        )

    async def _try_often(self, deployment: Deployment, path: str) -> int:
        """Send the fatal request again and again, on new targets each time.

        :returns: status of the last answer.
        """
        status = 0
        for number in range(_TRIES):
            name = f'{deployment.host.name}-{number}'
            if path.startswith('/drafts/'):
                await self._add_engines(name)
            else:
                await self._add_services(name)
            answer = await deployment.call(path, body=_FATAL)
            status = answer.status
        return status


class CrashingCallsTest(CrashingRequestsCase):
    """A call crashes the targets of a plain service."""

    async def test_a_call_that_crashes_targets_is_refused(self) -> None:
        """Guards against a caller's retries that crash one target each."""
        await self._add_services('r1', 'r2')
        self.assertEqual(
            await self._try_often(self.deployment, '/calls/1'), 503
        )
        self.assertLessEqual(self._count_fatal_runs(), _MAX_CRASHES)
        answer = await self.deployment.call('/calls/1', body=_FATAL)
        self.assertGreater(float(answer.headers['Retry-After']), _NEWS_S)

    async def test_a_crash_is_logged_with_its_runs(self) -> None:
        """Guards against crashes whose requests nobody can name."""
        await self._add_services('r1', 'r2')
        await self.deployment.call('/calls/1', body=_FATAL)
        crash = self.deployment.events('target_crashed')[0]
        ended = self.deployment.events('request_ended')[0]
        self.assertEqual(
            crash['runs_in_flight'],
            [
                {
                    'fingerprint': ended['fingerprint'],
                    'shared_parts': (),
                    'wrote_for_s': -1.0,
                }
            ],
        )

    async def test_other_calls_are_served(self) -> None:
        """Guards against refusals of what ran on the same targets only."""
        await self._add_services('r1', 'r2')
        await self._try_often(self.deployment, '/calls/1')
        answer = await self.deployment.call('/calls/1', body=b'other')
        self.assertEqual(answer.status, 200)

    async def test_a_call_that_has_completed_is_served(self) -> None:
        """Guards against refusals of a read that many callers send.

        It is in flight on each target that crashes.
        """
        await self._add_services('r1', 'r2')
        answer = await self.deployment.call('/calls/1', body=b'read')
        self.assertEqual(answer.status, 200)
        for number in range(_TRIES):
            target = await self.deployment.add_service(f'r3-{number}')
            for each in self.deployment.targets.values():
                each.silence.begin()
            reads = [
                asyncio.create_task(
                    self.deployment.call('/calls/1', body=b'read')
                )
                for _ in range(_TRIES)
            ]
            await self.deployment.until(target.caller_requests)
            await target.stop()
            target.reset_connections()
            for each in self.deployment.targets.values():
                each.silence.end()
            await asyncio.gather(*reads)
        answer = await self.deployment.call('/calls/1', body=b'read')
        self.assertEqual(answer.status, 200)


class CrashingDraftsTest(CrashingRequestsCase):
    """A draft crashes the engines that run it."""

    async def test_a_draft_that_crashes_engines_is_refused(self) -> None:
        """Guards against a caller's retries that crash one engine each."""
        await self.deployment.add_engine('y1', (40, 80))
        await self._add_engines('x1', 'x2')
        self.assertEqual(
            await self._try_often(self.deployment, '/drafts/1'), 503
        )
        self.assertLessEqual(self._count_fatal_runs(), _MAX_CRASHES)
        answer = await self.deployment.call('/drafts/1', body=b'other')
        self.assertEqual((answer.status, answer.is_whole), (200, True))


class LatePortTest(CrashingRequestsCase):
    """Engines end their connections a moment before their port."""

    async def test_a_suspect_waits_until_its_last_crash_is_known(self) -> None:
        """Guards against a third engine that ends before the second counts."""
        await self.deployment.add_engine('y1', (40, 80))
        names = [f'x{number}' for number in range(_TRIES)]
        await self._add_engines(*names)
        for name in names:
            faults = self.deployment.targets[name].faults
            faults.closes_port_after_s = _LATE_PORT_S
        answer = await self.deployment.call('/drafts/1', body=_FATAL)
        self.assertEqual(answer.status, 502)
        self.assertEqual(self._count_fatal_runs(), 2)


class WritingDraftsTest(CrashingRequestsCase):
    """Engines end for other reasons while a draft writes on them."""

    async def asyncSetUp(self) -> None:
        """Start without suspicions."""
        await super().asyncSetUp()
        self.suspicions: list[CrashNotice] = []

    async def test_a_draft_goes_on_after_its_engines_have_ended(self) -> None:
        """Guards against streams cut as ended engines count for the limit."""
        await self._write_while_engines_end(_MAX_CRASHES - 1)

    async def test_a_draft_that_writes_is_not_the_cause(self) -> None:
        """Guards against sound drafts that are cut after several crashes."""
        await self._write_while_engines_end(_MAX_CRASHES)
        self.assertEqual(self.suspicions, [])

    async def _write_while_engines_end(self, count: int) -> None:
        """Let a draft write on an engine, end it, and so on; check the answer.

        :param count: number of engines that end.
        """
        await self.deployment.add_engine('y1', (40, 80))
        engines = []
        for number in range(count + 1):
            engine = await self.deployment.add_engine(f'x{number}', (0, 40))
            engine.events = _LONG_EVENTS
            engine.event_pause_s = _LONG_EVENT_PAUSE_S
            engines.append(engine)
        draft = asyncio.create_task(self.deployment.call('/drafts/1'))
        for _ in range(count):
            await self.deployment.until(
                lambda: any(each.caller_requests() for each in engines)
            )
            (engine,) = (each for each in engines if each.caller_requests())
            engines.remove(engine)
            await asyncio.sleep(_WRITING_S)
            await engine.stop()
            engine.reset_connections()
            await self._collect_suspicions(engine.name)
        answer = await draft
        self.assertEqual((answer.status, answer.is_whole), (200, True))
        self.assertEqual(answer.body.count(b'id:'), _LONG_EVENTS)

    async def _collect_suspicions(self, engine: str) -> None:
        """Wait for the crash of an engine; store the notices of suspects."""
        await self.deployment.until(
            lambda: any(
                line['target'].startswith(engine)
                for line in self.deployment.events('target_crashed')
            )
        )
        now_s = asyncio.get_running_loop().time()
        notices = self.deployment.daemon.view.crashes.outgoing(_NEWS_S, now_s)
        self.suspicions.extend(
            each for each in notices if isinstance(each, CrashNotice)
        )


class AllDaemonsEndTest(CrashingRequestsCase):
    """No daemon is left that could tell of a quarantine."""

    async def asyncSetUp(self) -> None:
        """Quarantine a request, and end the only daemon."""
        await super().asyncSetUp()
        await self._add_services('r1', 'r2')
        await self._try_often(self.deployment, '/calls/1')
        store = self.deployment.store
        await self.deployment.until(lambda: _quarantine_keys(store))
        await self.deployment.daemon.close()
        self.runs = self._count_fatal_runs()

    async def test_a_daemon_that_starts_then(self) -> None:
        """Guards against a request that crashes targets after each restart."""
        other = Deployment(shared=self.deployment)
        await other.start()
        self.addAsyncCleanup(other.stop)
        await other.until(lambda: other.daemon.view.version)
        await other.until(
            lambda: other.daemon.view.crashes.quarantine.suspects.quarantined(
                asyncio.get_running_loop().time()
            )
        )
        answer = await other.call('/calls/1', body=_FATAL)
        self.assertEqual(answer.status, 503)
        self.assertEqual(self._count_fatal_runs(), self.runs)

    async def test_rows_that_are_over_are_removed(self) -> None:
        """Guards against rows that are kept for ever."""
        store = self.deployment.store
        for key in _quarantine_keys(store):
            await store.put(
                'quarantine',
                key,
                b'{"target":"r1","targets":["r1"],"until_s":1.0}',
            )
        await store.put('quarantine', 'odd', b'no row')
        other = Deployment(shared=self.deployment)
        await other.start()
        self.addAsyncCleanup(other.stop)
        await other.until(lambda: not _quarantine_keys(store))


class LiftedQuarantineTest(CrashingRequestsCase):
    """A quarantine ends before its time."""

    async def test_its_row_is_removed(self) -> None:
        """Guards against a lifted quarantine that a new daemon brings back."""
        await self._add_services('r1', 'r2')
        await self._try_often(self.deployment, '/calls/1')
        store = self.deployment.store
        await self.deployment.until(lambda: _quarantine_keys(store))
        (fingerprint,) = _quarantine_keys(store)
        now_s = asyncio.get_running_loop().time()
        self.deployment.daemon.view.crashes.receive(
            (ClearNotice(fingerprint),), now_s
        )
        await self.deployment.until(lambda: not _quarantine_keys(store))


class OtherHostTest(CrashingRequestsCase):
    """The caller's retries reach another daemon."""

    async def asyncSetUp(self) -> None:
        """Start a second daemon on the same store and targets."""
        await super().asyncSetUp()
        self.other = Deployment(shared=self.deployment)
        await self.other.start()
        self.addAsyncCleanup(self.other.stop)
        await self.other.until(lambda: self.other.daemon.view.version)
        await self.deployment.until(
            lambda: self.deployment.daemon.view.load_updates.count_known_hosts(
                asyncio.get_running_loop().time()
            )
        )

    async def test_a_call_that_crashed_targets_of_another_host(self) -> None:
        """Guards against a host that learns by crashes of its own only."""
        await self._add_services('r1', 'r2')
        await self._try_often(self.deployment, '/calls/1')
        await asyncio.sleep(_NEWS_S)
        before = self._count_fatal_runs()
        self.assertEqual(await self._try_often(self.other, '/calls/1'), 503)
        self.assertEqual(self._count_fatal_runs(), before)

    async def test_one_crash_at_each_host(self) -> None:
        """Guards against crashes that no host counts together."""
        for number, deployment in enumerate(
            (self.deployment, self.other) * _MAX_CRASHES
        ):
            await self._add_services(f'r{number}')
            await deployment.call('/calls/1', body=_FATAL)
            await asyncio.sleep(_NEWS_S)
        self.assertLessEqual(self._count_fatal_runs(), _MAX_CRASHES)
