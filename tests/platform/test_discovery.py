"""Tests of the targets' rows."""

from __future__ import annotations

import unittest

from nutmegspoke.layers import LayerRange
from nutmegspoke.platform.discovery import decode_target
from nutmegspoke.targets import TargetState
from tests import builders_edge as build


class DiscoveryTest(unittest.TestCase):
    """Decodes rows of targets and skips those of other writers."""

    def test_decodes_a_row(self) -> None:
        """The kind of accelerator and the layers come along."""
        entry = decode_target('i-1', build.wire_server())
        assert entry is not None
        self.assertEqual(entry.pool, 'engines')
        self.assertEqual(entry.kind, 'quick')
        self.assertEqual(entry.layers, LayerRange(20, 31))
        self.assertIs(entry.state, TargetState.LIVE)

    def test_knows_leaving_targets(self) -> None:
        """A target that drains gets nothing new."""
        entry = decode_target('i-1', build.wire_server(state='draining'))
        assert entry is not None
        self.assertIs(entry.state, TargetState.LEAVING)

    def test_takes_an_engine_without_layers(self) -> None:
        """No layers, or an empty range, is an empty engine."""
        for layers in (None, {'from': 3, 'to': 3}):
            entry = decode_target('i-1', build.wire_server(layers=layers))
            assert entry is not None
            self.assertIsNone(entry.layers)

    def test_skips_other_writers(self) -> None:
        """Rows with other types, states or bytes name no target."""
        wrong = (
            b'\xff\xfe',
            b'[]',
            build.wire_server(state='asleep'),
            build.wire_server(slots='many'),
            build.wire_server(address='nowhere'),
            build.wire_server(service=None),
        )
        for body in wrong:
            with self.subTest(body[:40]):
                self.assertIsNone(decode_target('i-1', body))
