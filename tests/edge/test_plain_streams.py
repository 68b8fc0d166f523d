"""Tests of streams of services, which run on a single target."""

from __future__ import annotations

import aiohttp

from nutmegspoke.standins.event_format import EventFormat
from nutmegspoke.standins.wire_target import WireTarget
from tests import builders_edge as build
from tests.edge.test_daemon import DaemonCase
from tests.edge.world import HOST

_PATH = '/drafts/1'
_COUNT = 12
_ALL = list(range(1, _COUNT + 1))
_POSITION = 'Last-Event-Id'


class PlainStreamCase(DaemonCase):
    """Base class that sends all streams to a service without engines."""

    is_resumable = True

    async def asyncSetUp(self) -> None:
        """Put tables with such a route into force, and start a target."""
        await super().asyncSetUp()
        split = [{'service': 'records', 'weight': 1}]
        routes = build.wire_routes(split=split, resumable=self.is_resumable)
        await self.deployment.serve_tables(version=8, routes=routes)
        self.target = await self._add_target('r1')

    async def _add_target(self, name: str) -> WireTarget:
        target = await self.deployment.add_service(name)
        target.event_format = EventFormat.numbered(_COUNT)
        return target

    def _last_positions(self) -> list[str | None]:
        """Return the positions of the requests that targets got, by time."""
        return [
            request.headers.get(_POSITION.lower())
            for target in self.deployment.targets.values()
            for request in target.caller_requests()
        ]


class ResumedStreamsTest(PlainStreamCase):
    """Callers resume a stream of a service behind the last event they have."""

    async def test_a_service_gets_the_position_of_a_resumed_stream(
        self,
    ) -> None:
        """Guards against pieces that a caller gets a second time."""
        answer = await self.deployment.call(_PATH, **{_POSITION: '9'})
        self.assertEqual(self._last_positions(), ['9'])
        self.assertEqual(_event_ids(answer.body), [10, 11, 12])

    async def test_a_new_stream_has_no_position(self) -> None:
        """A stream that is not resumed begins with its first event."""
        answer = await self.deployment.call(_PATH)
        self.assertEqual(self._last_positions(), [None])
        self.assertEqual(_event_ids(answer.body), _ALL)

    async def test_a_run_that_begins_anew_is_joined_behind_the_position(
        self,
    ) -> None:
        """Guards against pieces twice from a target that ignores positions."""
        ids = tuple(f'{number:02}' for number in _ALL)
        self.target.event_format = EventFormat(ids)
        answer = await self.deployment.call(_PATH, **{_POSITION: '9'})
        self.assertTrue(answer.is_whole)
        self.assertEqual(_event_ids(answer.body), [10, 11, 12])


class ForwardedEventsTest(PlainStreamCase):
    """The events of a service reach their caller one by one."""

    async def test_events_are_forwarded_as_they_arrive(self) -> None:
        """Guards against a stream that is held until its end."""
        async with aiohttp.ClientSession() as session:
            answer, received = await self._read_until_silent(session)
            self.assertEqual(answer.headers['Response-Seal'], 'seal-r1')
            self.assertEqual(_event_ids(received), _ALL[:3])
            self.target.silence.end()
            received += await answer.content.read()
        self.assertEqual(_event_ids(received), _ALL)

    async def test_a_caller_that_leaves_ends_the_run(self) -> None:
        """Guards against targets that work for callers that have left."""
        async with aiohttp.ClientSession() as session:
            answer, _ = await self._read_until_silent(session)
            answer.close()
        await self.deployment.until(
            lambda: self.deployment.events('request_ended')
        )
        self.target.silence.end()
        await self.deployment.until(lambda: self.target.disconnect_count)
        (line,) = self.deployment.events('request_ended')
        self.assertEqual(line['outcome'], 'caller_left')

    async def test_a_departure_counts_from_the_head_on(self) -> None:
        """Guards against requests to a target that leaves during a stream."""
        self.target.faults.is_leaving = True
        async with aiohttp.ClientSession() as session:
            answer, _ = await self._read_until_silent(session)
            self.assertEqual(self.deployment.events('request_ended'), [])
            (line,) = self.deployment.events('target_says_leaving')
            self.target.silence.end()
            await answer.content.read()
        self.assertEqual(line['target'], 'r1')

    async def _read_until_silent(
        self, session: aiohttp.ClientSession
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        """Request a stream and return the part sent before a silence."""
        self.target.faults.silent_after = 3
        url = f'http://127.0.0.1:{self.deployment.host.callers_port}{_PATH}'
        headers = {'Host': HOST, 'Attempt-Id': 'a', 'Key': 'k1'}
        answer = await session.post(url, headers=headers)
        received = b''
        while len(_event_ids(received)) < 3:
            self.assertFalse(answer.content.at_eof())
            received += await answer.content.readany()
        await self.deployment.until(lambda: self.target.silence.is_held)
        return answer, received

    async def test_the_end_is_logged_as_that_of_a_draft(self) -> None:
        """A complete stream is logged with its events and its timing."""
        await self.deployment.call(_PATH)
        (line,) = self.deployment.events('request_ended')
        self.assertEqual(
            (line['outcome'], line['status'], line['events']),
            ('answered', 200, _COUNT),
        )
        self.assertFalse(line['is_late'])

    async def test_another_kind_of_answer_is_forwarded_whole(self) -> None:
        """Guards against answers that are no events and count as cut."""
        self.target.event_format = None
        answer = await self.deployment.call(_PATH)
        self.assertTrue(answer.is_whole)
        self.assertEqual((answer.status, answer.body), (200, b'record of r1'))

    async def test_a_failure_is_forwarded(self) -> None:
        """A target's own failure reaches the caller with its signature."""
        self.target.faults.failures = 2
        answer = await self.deployment.call(_PATH)
        self.assertEqual((answer.status, answer.body), (500, b'failed'))
        self.assertEqual(answer.headers['Response-Seal'], 'seal-r1')

    async def test_a_refused_stream_has_a_retry_time(self) -> None:
        """A stream that no target has run is refused."""
        self.target.faults.refusals = 9
        answer = await self.deployment.call(_PATH)
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers['Retry-After']), 0)


class BrokenStreamsTest(PlainStreamCase):
    """A stream whose target breaks off goes on at another one."""

    async def asyncSetUp(self) -> None:
        """Start a second target."""
        await super().asyncSetUp()
        await self._add_target('r2')

    def _break_all(self, break_after: int, count: int) -> None:
        for target in self.deployment.targets.values():
            target.faults.break_after = break_after
            target.faults.break_count = count

    async def test_a_broken_stream_goes_on_behind_its_last_event(self) -> None:
        """Guards against pieces twice or missing after a lost target."""
        self._break_all(8, 1)
        answer = await self.deployment.call(_PATH)
        self.assertEqual(_event_ids(answer.body), _ALL)
        self.assertTrue(answer.is_whole)
        self.assertCountEqual(self._last_positions(), [None, '8'])

    async def test_a_stream_without_length_that_ends_inside_an_event(
        self,
    ) -> None:
        """Guards against a stream that ends early and looks complete."""
        for target in self.deployment.targets.values():
            target.faults.omits_length = True
        self._break_all(5, 9)
        answer = await self.deployment.call(_PATH)
        self.assertFalse(answer.is_whole)
        # Each of the two runs that the route allows adds five events.
        self.assertEqual(_event_ids(answer.body), _ALL[:10])

    async def test_a_whole_stream_without_length_is_complete(self) -> None:
        """The end of the connection after an event completes a stream."""
        for target in self.deployment.targets.values():
            target.faults.omits_length = True
        answer = await self.deployment.call(_PATH)
        self.assertTrue(answer.is_whole)
        self.assertEqual(_event_ids(answer.body), _ALL)

    async def test_a_stream_of_unknown_position_is_cut(self) -> None:
        """Guards against a second run that is joined from its beginning."""
        for target in self.deployment.targets.values():
            target.event_format = EventFormat(tuple('abcdefghijkl'))
        self._break_all(8, 1)
        answer = await self.deployment.call(_PATH)
        self.assertFalse(answer.is_whole)
        self.assertEqual(len(self._last_positions()), 1)
        (line,) = self.deployment.events('request_ended')
        self.assertEqual((line['outcome'], line['last_event_id']), ('cut', 'h'))
        self.assertFalse(line['is_position_known'])

    async def test_a_failure_of_the_next_target_is_not_mixed_in(self) -> None:
        """Guards against the bytes of a failure in the middle of a stream."""
        self._break_all(8, 1)
        for target in self.deployment.targets.values():
            target.faults.error_status = 500
        answer = await self.deployment.call(_PATH)
        self.assertFalse(answer.is_whole)
        self.assertEqual(_event_ids(answer.body), _ALL[:8])
        self.assertNotIn(b'an error', answer.body)
        (line,) = self.deployment.events('request_ended')
        self.assertEqual(line['reason'], 'target answered 500')


class StreamsThatMayRunOnceTest(PlainStreamCase):
    """A stream of a route that is not resumable runs once."""

    is_resumable = False

    async def test_a_broken_stream_is_cut(self) -> None:
        """Guards against a second run of a stream that may run once."""
        await self._add_target('r2')
        for target in self.deployment.targets.values():
            target.faults.break_after = 5
            target.faults.break_count = 1
        answer = await self.deployment.call(_PATH)
        self.assertFalse(answer.is_whole)
        self.assertEqual(_event_ids(answer.body), _ALL[:5])
        self.assertEqual(self._last_positions(), [None])


def _event_ids(body: bytes) -> list[int]:
    whole = body[: body.rfind(b'\n\n') + 2]
    return [
        int(line.removeprefix('id: '))
        for line in whole.decode().splitlines()
        if line.startswith('id: ') and line[4:].isdigit()
    ]
