"""Tests of leaving targets out after faults."""

from __future__ import annotations

import unittest

from nutmegspoke.retries.target_faults import Fault, TargetFaults


class TargetFaultsTest(unittest.TestCase):
    """A target is left out for a time that depends on the fault."""

    def test_is_used_again_after_its_time(self) -> None:
        """A target is left out for one second after it was unreachable."""
        faults = TargetFaults()
        faults.record_fault('x', Fault.UNREACHABLE, 0.0)
        self.assertTrue(faults.is_left_out('x', 0.9))
        self.assertFalse(faults.is_left_out('x', 1.1))

    def test_doubles_when_it_fails_again(self) -> None:
        """A target that fails again and again is left out for longer times."""
        faults = TargetFaults()
        times = []
        now_s = 0.0
        for _ in range(4):
            times.append(faults.record_fault('x', Fault.UNREACHABLE, now_s))
            now_s += times[-1] + 0.1
        self.assertEqual(times, [1.0, 2.0, 4.0, 4.0])

    def test_many_faults_at_once_count_once(self) -> None:
        """All requests on a lost engine fail together and count as one fault."""
        faults = TargetFaults()
        for _ in range(5):
            faults.record_fault('x', Fault.NAMED_AT_FAULT, 0.0)
        self.assertFalse(faults.is_left_out('x', 3.1))

    def test_only_own_faults_are_reported(self) -> None:
        """Guards against daemons that pass on faults to each other forever."""
        faults = TargetFaults()
        faults.add_peer_fault('x', 1.0, 0.0)
        self.assertTrue(faults.is_left_out('x', 0.5))
        self.assertEqual(faults.own_faults(0.5), {})
        faults.record_fault('y', Fault.SILENT, 0.0)
        self.assertEqual(faults.own_faults(0.5), {'y': 1.0})

    def test_a_working_target_is_clean(self) -> None:
        """An answer after the target's time clears its faults."""
        faults = TargetFaults()
        faults.record_fault('x', Fault.UNREACHABLE, 0.0)
        faults.succeeded('x', 2.0)
        self.assertEqual(faults.record_fault('x', Fault.UNREACHABLE, 3.0), 1.0)
