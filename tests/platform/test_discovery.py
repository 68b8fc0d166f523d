"""Tests of decoding the rows of targets."""

from __future__ import annotations

import unittest

from nutmegspoke.layers import LayerRange
from nutmegspoke.platform.discovery import decode_target
from nutmegspoke.targets import TargetState
from tests import builders_edge as build


class DiscoveryTest(unittest.TestCase):
    """Decoding of rows of targets; invalid rows are skipped."""

    def test_decodes_a_row(self) -> None:
        """The entry holds the kind of accelerator and the layers."""
        entry = decode_target('i-1', build.wire_server())
        assert entry is not None
        self.assertEqual(entry.pool, 'engines')
        self.assertEqual(entry.kind, 'quick')
        self.assertEqual(entry.layers, LayerRange(20, 31))
        self.assertIs(entry.state, TargetState.LIVE)

    def test_knows_leaving_targets(self) -> None:
        """A draining target is leaving."""
        entry = decode_target('i-1', build.wire_server(state='draining'))
        assert entry is not None
        self.assertIs(entry.state, TargetState.LEAVING)

    def test_takes_an_engine_without_layers(self) -> None:
        """Absent layers and an empty range both give no layers."""
        for layers in (None, {'from': 3, 'to': 3}):
            entry = decode_target('i-1', build.wire_server(layers=layers))
            assert entry is not None
            self.assertIsNone(entry.layers)

    def test_skips_other_writers(self) -> None:
        """Rows with invalid types, states or bytes are skipped.

        Guards against a failure caused by rows that other programs write.
        """
        invalid_bodies = (
            b'\xff\xfe',
            b'[]',
            build.wire_server(state='asleep'),
            build.wire_server(slots='many'),
            build.wire_server(address='nowhere'),
            build.wire_server(service=None),
        )
        for body in invalid_bodies:
            with self.subTest(body[:40]):
                self.assertIsNone(decode_target('i-1', body))

    def test_skips_targets_that_cannot_be_used(self) -> None:
        """Guards against rows whose use raises errors in every request."""
        for address in (
            '10.0.0.9:99999',
            '10.0.0.9:0',
            '10.0.0.9:8080\n',
            '10.0.0.9:\u0663',
            '10.0.0.999:80',
            '...:80',
        ):
            with self.subTest(address):
                body = build.wire_server(address=address)
                self.assertIsNone(decode_target('i-1', body))
        for name in ('\u0442', 'i-1\r\nKey: k'):
            with self.subTest(name):
                self.assertIsNone(decode_target(name, build.wire_server()))

    def test_skips_bytes_that_are_nested_too_deeply(self) -> None:
        """Guards against the end of the task that reads the targets."""
        self.assertIsNone(decode_target('i-1', b'{"x":' + b'[' * 20_000))

    def test_skips_impossible_layers(self) -> None:
        """Guards against ranges of layers that overflow or never end."""
        for layers in ({'from': -5, 'to': 3}, {'from': 0, 'to': 2**62}):
            with self.subTest(layers):
                body = build.wire_server(layers=layers)
                self.assertIsNone(decode_target('i-1', body))
