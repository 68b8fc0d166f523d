"""Tests of streams whose engines end, by the ids and lines of their events."""

from __future__ import annotations

from nutmegspoke.retries.window_budget import WindowSettings
from nutmegspoke.standins.event_format import EventFormat
from nutmegspoke.standins.wire_target import TargetFaults
from tests.edge.test_daemon import DaemonCase

_COUNT = 6
_NANOSECONDS = 1_764_000_000_000_000_000


def _numbers(first: int) -> tuple[str, ...]:
    return tuple(str(first + place) for place in range(_COUNT))


# Ids after which a stream goes on at another engine.
_RESUMABLE = {
    'small': _numbers(1),
    'nanoseconds': _numbers(_NANOSECONDS),
    'from 18 to 19 digits': _numbers(10**18 - 3),
    'from 19 to 20 digits': _numbers(10**19 - 3),
    '2^63': _numbers(2**63 - 3),
    '2^64': _numbers(2**64 - 3),
    '40 digits': _numbers(10**39),
    'leading zeros': tuple(f'{number:08}' for number in range(_COUNT)),
}
# Ids after which it is cut.
_CUT: dict[str, tuple[str | None, ...]] = {
    'texts': tuple('abcdef'),
    'negative': tuple(str(place - _COUNT) for place in range(_COUNT)),
    'with a sign': tuple(f'+{place}' for place in range(_COUNT)),
    'falling': _numbers(1)[::-1],
    'one for all': ('7',) * _COUNT,
    'empty': ('',) * _COUNT,
    'none': (None,) * _COUNT,
    'more digits than int() accepts': tuple(
        str(place) * 5_000 for place in range(1, _COUNT + 1)
    ),
}
_LINE_ENDS = ('\n', '\r\n', '\r')


class StreamIdsTest(DaemonCase):
    """Streams go on behind their last event, or are cut."""

    async def asyncSetUp(self) -> None:
        """Start two chains; engine x1 or x2 is the first of a draft."""
        await super().asyncSetUp()
        self._calls = 0
        # Each call may be repeated.
        self.deployment.daemon.view.retry_budgets.update_settings(
            WindowSettings(1.0, 2_000.0, 10.0)
        )
        await self._start_chain()
        await self._start_replicas()

    async def test_streams_go_on_behind_any_number(self) -> None:
        """Guards against pieces twice after ids of more than 18 digits."""
        for name, ids in _RESUMABLE.items():
            for break_after in range(1, _COUNT):
                with self.subTest(ids=name, break_after=break_after):
                    await self._assert_resumed(EventFormat(ids), break_after)

    async def test_streams_of_any_line_end_go_on(self) -> None:
        """Guards against failures of streams whose lines end with CR LF."""
        for line_end in _LINE_ENDS:
            events = EventFormat(_numbers(1), line_end)
            with self.subTest(line_end=line_end):
                await self._assert_resumed(events, None)
                await self._assert_resumed(events, 3)

    async def test_streams_of_unknown_position_are_cut(self) -> None:
        """Guards against a second run that is joined from its beginning."""
        for name, ids in _CUT.items():
            with self.subTest(ids=name):
                events = EventFormat(ids)
                await self._assert_resumed(events, None)
                body, is_whole = await self._call(events, 3)
                self.assertFalse(is_whole)
                self.assertEqual(body, _places(range(3)))
        known = [
            line['is_position_known']
            for line in self.deployment.events('request_ended')
            if line['outcome'] == 'cut'
        ]
        self.assertEqual(known, [False] * len(_CUT))

    async def _assert_resumed(
        self, events: EventFormat, break_after: int | None
    ) -> None:
        body, is_whole = await self._call(events, break_after)
        ended = self.deployment.events('request_ended')
        self.assertTrue(is_whole, ended[-1:])
        self.assertEqual(body, _places(range(_COUNT)))

    async def _call(
        self, events: EventFormat, break_after: int | None
    ) -> tuple[list[str], bool]:
        """Request a stream whose first run breaks off.

        :returns: the comments of the events, and whether it is complete.
        """
        faults = TargetFaults(break_after=break_after, break_count=1)
        for name in ('x1', 'x2'):
            target = self.deployment.targets[name]
            target.event_format = events
            target.event_pause_s = 0
            target.faults = faults
        # Targets that broke off before would be left out.
        self.deployment.daemon.view.faults._records.clear()  # noqa: SLF001
        self._calls += 1
        answer = await self.deployment.call(f'/drafts/{self._calls}')
        lines = answer.body.decode().splitlines()
        comments = [line for line in lines if line.startswith(': event')]
        return comments, answer.is_whole


def _places(places: range) -> list[str]:
    return [f': event {place}' for place in places]
