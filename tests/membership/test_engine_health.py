"""Tests of what is believed of the engines' pace."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.engine_health import EnginePaces


class EnginePacesTest(unittest.TestCase):
    """A report counts for some seconds."""

    def test_reports_age(self) -> None:
        """Without reports the usual pace is assumed again."""
        paces = EnginePaces()
        self.assertEqual(paces.of('x', 0.0), 1.0)
        paces.reported('x', 12.0, 0.0)
        self.assertEqual(paces.of('x', 1.0), 12.0)
        self.assertEqual(paces.of('x', 5.0), 1.0)

    def test_only_slow_engines_are_told(self) -> None:
        """The usual pace is no news."""
        paces = EnginePaces()
        paces.reported('x', 1.05, 0.0)
        paces.reported('y', 3.0, 0.0)
        self.assertEqual(paces.slow(1.0), {'y': 3.0})
        paces.heard({'z': 2.0}, 1.0)
        self.assertEqual(paces.of('z', 2.0), 2.0)
