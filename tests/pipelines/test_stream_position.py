"""Tests of the positions of streams."""

from __future__ import annotations

import unittest

from nutmegspoke.pipelines.event_stream import StreamEvent
from nutmegspoke.pipelines.stream_position import Placement, StreamPosition

_NEXT, _SENT, _UNKNOWN = (
    Placement.NEXT,
    Placement.SENT_BEFORE,
    Placement.UNKNOWN,
)
# Ids that rise, across all sizes at which numbers could be cut off.
_RISING = (
    '0', '007', '9', '10', '9' * 18, '1' + '0' * 18, str(2**63),
    '9' * 19, str(2**64), '1' * 40, '1' * 4_000,
)  # fmt: skip
# Ids after the event with id 5 that leave the position unknown.
_UNPLACED = (
    None,
    '',
    'a5',
    '-6',
    '+6',
    '6.0',
    '5',
    '4',
    '05',
    '9' * 5_000,
    '٦',
)


def _event(event_id: str | None, *, has_data: bool = True) -> StreamEvent:
    raw_id = None if event_id is None else event_id.encode()
    return StreamEvent(b'', raw_id, has_data)


class StreamPositionTest(unittest.TestCase):
    """A run is joined only where its events can be placed."""

    def test_numbers_of_any_length_are_placed(self) -> None:
        """Guards against pieces twice after ids of more than 18 digits.

        They did not count as numbers, and the next run was relayed whole.
        """
        position = StreamPosition()
        for event_id in _RISING:
            found = position.place(_event(event_id), has_joined=True)
            self.assertEqual(found, _NEXT)
            self.assertTrue(position.is_known)
            self.assertEqual(position.last_id, event_id)
        for event_id in _RISING:
            found = position.place(_event(event_id), has_joined=False)
            self.assertEqual(found, _SENT, event_id)
        found = position.place(_event('2' * 4_000), has_joined=False)
        self.assertEqual(found, _NEXT)

    def test_an_id_that_can_not_be_placed_ends_the_known_position(self) -> None:
        """Guards against a second run that is joined from its beginning."""
        for event_id in _UNPLACED:
            with self.subTest(event_id=event_id):
                position = StreamPosition()
                for sent in ('5', event_id):
                    found = position.place(_event(sent), has_joined=True)
                    self.assertEqual(found, _NEXT)
                self.assertFalse(position.is_known)

    def test_a_number_after_an_event_without_id_is_known_again(self) -> None:
        """Only the events after the last id are missing at another engine."""
        position = StreamPosition()
        for event_id in ('5', None, '6'):
            position.place(_event(event_id), has_joined=True)
        self.assertTrue(position.is_known)

    def test_a_number_after_other_ids_stays_unknown(self) -> None:
        """Numbers are compared only if all ids of the stream are numbers."""
        for event_id in ('a5', '5', ''):
            position = StreamPosition()
            for sent in ('5', event_id, '6'):
                position.place(_event(sent), has_joined=True)
            self.assertFalse(position.is_known, event_id)

    def test_comments_do_not_change_the_position(self) -> None:
        """Guards against streams that are cut for a comment of their engine."""
        position = StreamPosition()
        position.place(_event('5'), has_joined=True)
        comment = _event(None, has_data=False)
        for has_joined in (False, True):
            found = position.place(comment, has_joined=has_joined)
            self.assertEqual(found, _NEXT)
        self.assertTrue(position.is_known)

    def test_the_id_of_the_caller_is_the_first_position(self) -> None:
        """Events up to it are not sent again; a text is only forwarded."""
        position = StreamPosition('1' * 20)
        found = position.place(_event('1' * 19), has_joined=False)
        self.assertEqual(found, _SENT)
        for text in ('a5', '9' * 5_000):
            position = StreamPosition(text)
            found = position.place(_event('1'), has_joined=False)
            self.assertEqual(found, _NEXT)

    def test_a_run_whose_events_have_no_id_is_not_joined(self) -> None:
        """Guards against pieces twice if only the first run had ids."""
        position = StreamPosition()
        position.place(_event('5'), has_joined=True)
        for event_id in (None, 'a'):
            found = position.place(_event(event_id), has_joined=False)
            self.assertEqual(found, _UNKNOWN)
