"""Tests of the splitting of event streams."""

from __future__ import annotations

import unittest

from nutmegspoke.pipelines.event_stream import EventSplitter

_STREAM = (
    b'id: 1\ndata: a\n\n'
    b'weight-versions: 2\nid: 2\ndata: b\n\n'
    b'data: without id\n\n'
)


class EventSplitterTest(unittest.TestCase):
    """Returns complete events only, with unchanged bytes."""

    def test_pieces_of_any_size_give_the_same_events(self) -> None:
        """The size of the received pieces does not change the events."""
        expected = EventSplitter().feed(_STREAM)
        self.assertEqual([event.number for event in expected], [1, 2, None])
        for size in range(1, len(_STREAM)):
            splitter = EventSplitter()
            found = []
            for start in range(0, len(_STREAM), size):
                found += splitter.feed(_STREAM[start : start + size])
            self.assertEqual(found, expected)
            self.assertFalse(splitter.has_partial_event)
        self.assertEqual(b''.join(event.raw for event in expected), _STREAM)

    def test_an_incomplete_event_is_buffered(self) -> None:
        """Guards against passing on a part of an event when an engine stops."""
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b'id: 3\nda'), [])
        self.assertTrue(splitter.has_partial_event)

    def test_an_id_of_very_many_digits_is_no_number(self) -> None:
        """Guards against an error that cuts the stream of a caller."""
        (event,) = EventSplitter().feed(b'id: %s\n\n' % (b'9' * 5_000))
        self.assertIsNone(event.number)
