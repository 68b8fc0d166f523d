"""Tests of the splitting of event streams."""

from __future__ import annotations

import unittest

from nutmegspoke.pipelines.event_stream import EventSplitter, StreamEvent
from nutmegspoke.pipelines.stream_position import parse_number

# More digits than int() accepts.
_LONG_ID = b'9' * 5_000
_PLAIN_STREAM = (
    b'id: 1\ndata: a\n\n'
    b'weight-versions: 2\nid: 2\ndata: b\n\n'
    b'data: without id\n\n'
)
_STREAM = (
    b'\xef\xbb\xbfid: 1\ndata: a\n\n'
    b'weight-versions: 2\nid:2\ndata: b\ndata: b\n\n'
    b'data: without id\n\n'
    b': comment\n\n'
    b'id\ndata\n\n'
)
_IDS = [b'1', b'2', None, None, b'']
_HAVE_DATA = [True, True, True, False, True]
_LINE_ENDS = (b'\n', b'\r\n', b'\r')


def _split(stream: bytes, size: int) -> tuple[list[StreamEvent], EventSplitter]:
    """Feed a stream to a splitter in pieces of a size."""
    splitter = EventSplitter()
    events = []
    for start in range(0, len(stream), size):
        events += splitter.feed(stream[start : start + size])
    return events, splitter


class EventSplitterTest(unittest.TestCase):
    """Returns complete events only, with unchanged bytes."""

    def test_pieces_of_any_size_give_the_same_events(self) -> None:
        """The size of the received pieces does not change the events."""
        for stream in (_PLAIN_STREAM, _STREAM):
            expected = EventSplitter().feed(stream)
            for size in range(1, len(stream)):
                events, splitter = _split(stream, size)
                self.assertEqual(events, expected)
                self.assertFalse(splitter.has_partial_event)
            self.assertEqual(b''.join(event.raw for event in expected), stream)
        plain = EventSplitter().feed(_PLAIN_STREAM)
        self.assertEqual(
            [event.event_id for event in plain], [b'1', b'2', None]
        )

    def test_an_id_of_very_many_digits_is_no_number(self) -> None:
        """Guards against an error that cuts the stream of a caller."""
        (event,) = EventSplitter().feed(b'id: %s\n\n' % _LONG_ID)
        self.assertEqual(event.event_id, _LONG_ID)
        self.assertIsNone(parse_number(_LONG_ID))

    def test_lines_of_any_end_in_pieces_of_any_size(self) -> None:
        """Guards against streams that are refused for the ends of their lines.

        Only lines that end with LF were split; other streams had no events.
        """
        for line_end in _LINE_ENDS:
            stream = _STREAM.replace(b'\n', line_end)
            for size in range(1, len(stream) + 1):
                with self.subTest(line_end=line_end, size=size):
                    events, splitter = _split(stream, size)
                    # A CR and the LF after it may arrive apart.
                    whole = [event for event in events if event.raw != b'\n']
                    self.assertEqual([event.event_id for event in whole], _IDS)
                    self.assertEqual(
                        [event.has_data for event in whole], _HAVE_DATA
                    )
                    self.assertFalse(splitter.has_partial_event)
                    raw = b''.join(event.raw for event in events)
                    self.assertEqual(raw + splitter.take_line_ends(), stream)

    def test_an_incomplete_event_is_buffered(self) -> None:
        """Guards against passing on a part of an event when an engine stops."""
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b'id: 3\nda'), [])
        self.assertTrue(splitter.has_partial_event)

    def test_empty_lines_at_the_end_are_no_event(self) -> None:
        """Guards against complete streams that are cut for a further line."""
        events, splitter = _split(b'id: 1\ndata: a\n\n\n', 3)
        self.assertEqual(len(events), 1)
        self.assertFalse(splitter.has_partial_event)
        self.assertEqual(splitter.take_line_ends(), b'\n')
