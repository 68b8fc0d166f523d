"""Tests of the state of engines according to their reports."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.engine_health import (
    USUAL,
    EngineReports,
    EngineState,
)


class EngineReportsTest(unittest.TestCase):
    """A report is valid for some seconds."""

    def test_reports_age(self) -> None:
        """The unknown load expires before the slowness."""
        reports = EngineReports()
        self.assertEqual(reports.find_state('x', 0.0), USUAL)
        reports.record_report('x', EngineState(12.0, 500.0), 0.0)
        self.assertEqual(reports.find_state('x', 1.0), EngineState(12.0, 500.0))
        self.assertEqual(reports.find_state('x', 3.0), EngineState(12.0, 0.0))
        self.assertEqual(reports.find_state('x', 5.0), USUAL)

    def test_only_unusual_states_are_reported(self) -> None:
        """Guards against unknown load after daemons were killed.

        Their requests continue to use memory of the engines.
        """
        reports = EngineReports()
        reports.record_report('x', EngineState(1.05, 0.0), 0.0)
        reports.record_report('y', EngineState(3.0, 0.0), 0.0)
        reports.record_report('z', EngineState(1.0, 900.0), 0.0)
        unusual = reports.find_unusual(1.0)
        self.assertEqual(unusual, {'y': (3.0, 0), 'z': (1.0, 900)})
        other = EngineReports()
        other.receive(unusual, 1.0)
        self.assertEqual(other.find_state('z', 2.0), EngineState(1.0, 900.0))
