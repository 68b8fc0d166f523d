"""Tests of splitting event streams."""

from __future__ import annotations

import unittest

from nutmegspoke.pipelines.event_stream import EventSplitter

_STREAM = (
    b'id: 1\ndata: a\n\n'
    b'weight-versions: 2\nid: 2\ndata: b\n\n'
    b'data: without id\n\n'
)


class EventSplitterTest(unittest.TestCase):
    """Passes on whole events only, unchanged."""

    def test_any_cut_gives_the_same_events(self) -> None:
        """Bytes arrive in pieces of any size."""
        whole = EventSplitter().feed(_STREAM)
        self.assertEqual([event.number for event in whole], [1, 2, None])
        for size in range(1, len(_STREAM)):
            splitter = EventSplitter()
            found = []
            for start in range(0, len(_STREAM), size):
                found += splitter.feed(_STREAM[start : start + size])
            self.assertEqual(found, whole)
            self.assertFalse(splitter.has_partial_event)
        self.assertEqual(b''.join(event.raw for event in whole), _STREAM)

    def test_half_an_event_is_kept_back(self) -> None:
        """An engine may stop in the middle of an event."""
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b'id: 3\nda'), [])
        self.assertTrue(splitter.has_partial_event)
