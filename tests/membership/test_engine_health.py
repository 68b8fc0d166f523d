"""Tests of what is believed of engines by their reports."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.engine_health import (
    USUAL,
    EngineReports,
    EngineState,
)


class EngineReportsTest(unittest.TestCase):
    """A report counts for some seconds."""

    def test_reports_age(self) -> None:
        """Unknown load is forgotten before the pace."""
        reports = EngineReports()
        self.assertEqual(reports.of('x', 0.0), USUAL)
        reports.reported('x', EngineState(12.0, 500.0), 0.0)
        self.assertEqual(reports.of('x', 1.0), EngineState(12.0, 500.0))
        self.assertEqual(reports.of('x', 3.0), EngineState(12.0, 0.0))
        self.assertEqual(reports.of('x', 5.0), USUAL)

    def test_only_the_unusual_is_told(self) -> None:
        """Pattern: daemons were killed, their requests run on."""
        reports = EngineReports()
        reports.reported('x', EngineState(1.05, 0.0), 0.0)
        reports.reported('y', EngineState(3.0, 0.0), 0.0)
        reports.reported('z', EngineState(1.0, 900.0), 0.0)
        told = reports.unusual(1.0)
        self.assertEqual(told, {'y': (3.0, 0), 'z': (1.0, 900)})
        other = EngineReports()
        other.heard(told, 1.0)
        self.assertEqual(other.of('z', 2.0), EngineState(1.0, 900.0))
