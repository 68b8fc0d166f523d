"""Tests of streams of services, which run on a single target."""

from __future__ import annotations

from nutmegspoke.standins.event_format import EventFormat
from tests import builders_edge as build
from tests.edge.test_daemon import DaemonCase

_PATH = '/drafts/1'
_COUNT = 12


class PlainStreamCase(DaemonCase):
    """Base class that sends all streams to a service without engines."""

    async def asyncSetUp(self) -> None:
        """Put tables with such a route into force, and start a target."""
        await super().asyncSetUp()
        split = [{'service': 'records', 'weight': 1}]
        await self.deployment.serve_tables(
            version=8, routes=build.wire_routes(split=split)
        )
        self.target = await self.deployment.add_service('r1')
        self.target.event_format = EventFormat.numbered(_COUNT)


class ResumedStreamsTest(PlainStreamCase):
    """Callers resume a stream of a service behind the last event they have."""

    async def test_a_service_gets_the_position_of_a_resumed_stream(
        self,
    ) -> None:
        """Guards against pieces that a caller gets a second time."""
        answer = await self.deployment.call(_PATH, **{'Last-Event-Id': '9'})
        (run,) = self.target.caller_requests()
        self.assertEqual(run.headers.get('last-event-id'), '9')
        self.assertEqual(_event_ids(answer.body), [10, 11, 12])

    async def test_a_new_stream_has_no_position(self) -> None:
        """A stream that is not resumed begins with its first event."""
        answer = await self.deployment.call(_PATH)
        (run,) = self.target.caller_requests()
        self.assertNotIn('last-event-id', run.headers)
        self.assertEqual(_event_ids(answer.body), list(range(1, _COUNT + 1)))


def _event_ids(body: bytes) -> list[int]:
    return [
        int(line.removeprefix('id: '))
        for line in body.decode().splitlines()
        if line.startswith('id: ')
    ]
