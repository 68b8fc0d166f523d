"""Tests of the platform's settings file."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from nutmegspoke.errors import SettingsError
from nutmegspoke.platform.boot_settings import SettingsFile, parse_settings
from tests import builders_edge as build


class BootSettingsTest(unittest.TestCase):
    """Decoding of names and units, and rejection of invalid values."""

    def test_decodes_units(self) -> None:
        """Values are converted to seconds, bytes and cores."""
        host = parse_settings(build.boot_text())
        self.assertEqual(host.name, 'front-a-1')
        self.assertEqual(host.callers_port, 8227)
        self.assertEqual(host.peer_ports, (7340, 7355))
        self.assertEqual(host.limits.cpu_cores, 1.0)
        self.assertEqual(host.limits.memory_bytes, 300_000_000)
        self.assertEqual(host.limits.max_sockets, 3_900)
        self.assertEqual(host.bounds.drain_s, 2.5)
        self.assertEqual(host.bounds.apply_s, 2.0)
        self.assertEqual(host.bounds.stop_grace_s, 8.0)
        self.assertEqual(host.bounds.retry_slack, 202.0)

    def test_refuses_wrong_values(self) -> None:
        """Each invalid value raises a settings error."""
        invalid_settings = (
            {'listen.front': 'nowhere'},
            {'limits.cpu_share': '0'},
            {'port_range': '7340'},
            {'platform': 'both a value and a section'},
        )
        for changes in invalid_settings:
            with self.subTest(changes), self.assertRaises(SettingsError):
                parse_settings(build.boot_text(**changes))

    def test_the_limit_on_copies(self) -> None:
        """Guards against copies where neither file nor environment ask."""
        text = build.boot_text()
        share = '0.05'
        from_file = build.boot_text(**{'hedging.max_share': '0.02'})
        self.assertEqual(parse_settings(text).hedging.max_share, 0.0)
        self.assertEqual(parse_settings(text, share).hedging.max_share, 0.05)
        self.assertEqual(parse_settings(from_file).hedging.max_share, 0.02)
        host = parse_settings(from_file, share)
        self.assertEqual(host.hedging.max_share, 0.02)

    def test_refuses_odd_limits_on_copies(self) -> None:
        """Guards against a limit that lifts itself."""
        for share in ('-0.01', '0.21', 'nan', 'inf', 'much', '5%'):
            with self.subTest(share):
                with self.assertRaises(SettingsError):
                    parse_settings(build.boot_text(), share)
                with self.assertRaises(SettingsError):
                    parse_settings(
                        build.boot_text(**{'hedging.max_share': share})
                    )

    def test_refuses_missing_values(self) -> None:
        """An empty file raises a settings error."""
        with self.assertRaises(SettingsError):
            parse_settings('')


class SettingsFileTest(unittest.TestCase):
    """Reading of a settings file that changes."""

    def setUp(self) -> None:
        """Write a settings file to a temporary directory."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'boot.conf'
        self.path.write_text(build.boot_text())
        self.file = SettingsFile(self.path)

    def test_an_unchanged_file_is_decoded_once(self) -> None:
        """The same object is returned while the text is unchanged."""
        self.assertIs(self.file.read(), self.file.read())

    def test_a_changed_file(self) -> None:
        """A new value takes effect at the next read."""
        self.file.read()
        self.path.write_text(build.boot_text(**{'bounds.grace_s': '5'}))
        self.assertEqual(self.file.read().bounds.stop_grace_s, 5.0)

    def test_a_file_that_is_gone(self) -> None:
        """A missing file raises a settings error."""
        self.path.unlink()
        with self.assertRaises(SettingsError):
            self.file.read()
