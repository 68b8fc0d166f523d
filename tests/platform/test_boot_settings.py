"""Tests of the platform's settings file."""

from __future__ import annotations

import unittest

from nutmegspoke.errors import SettingsError
from nutmegspoke.platform.boot_settings import parse_settings
from tests import builders_edge as build


class BootSettingsTest(unittest.TestCase):
    """Decodes names and units, and refuses what it can't use."""

    def test_decodes_units(self) -> None:
        """Milliseconds, megabytes and shares become seconds and bytes."""
        host = parse_settings(build.boot_text())
        self.assertEqual(host.name, 'front-a-1')
        self.assertEqual(host.callers_port, 8227)
        self.assertEqual(host.peer_ports, (7340, 7355))
        self.assertEqual(host.limits.cpu_cores, 1.0)
        self.assertEqual(host.limits.memory_bytes, 300_000_000)
        self.assertEqual(host.limits.max_connections, 3_900)
        self.assertEqual(host.bounds.drain_s, 2.5)
        self.assertEqual(host.bounds.stop_grace_s, 8.0)
        self.assertEqual(host.bounds.retry_slack, 202.0)

    def test_refuses_wrong_values(self) -> None:
        """Each wrong value is an error of the settings."""
        wrong = (
            {'listen.front': 'nowhere'},
            {'limits.cpu_share': '0'},
            {'port_range': '7340'},
            {'platform': 'both a value and a section'},
        )
        for changes in wrong:
            with self.subTest(changes), self.assertRaises(SettingsError):
                parse_settings(build.boot_text(**changes))

    def test_refuses_missing_values(self) -> None:
        """An empty file names no host."""
        with self.assertRaises(SettingsError):
            parse_settings('')
