"""Tests of the verdict on a repeat."""

from __future__ import annotations

import unittest
from typing import Any

from nutmegspoke.retries.repeat_verdict import (
    RetryState,
    RetryDecision,
    decide_retry,
)
from nutmegspoke.retries.window_budget import (
    NO_USAGE,
    WindowBudget,
    WindowSettings,
)


def _judge(budget: WindowBudget, **changes: Any) -> RetryDecision:
    known = {
        'may_be_sent': True,
        'left_s': 1.0,
        'sends': 1,
        'max_sends': 4,
        'targets': 1,
        'max_targets': 2,
    }
    known.update(changes)
    return decide_retry(RetryState(**known), budget, 1, NO_USAGE, 0.0)


class RetryDecisionTest(unittest.TestCase):
    """The first reason against a repeat is the one that is told."""

    def setUp(self) -> None:
        """Allow one repeat."""
        settings = WindowSettings(share=0.0, slack=2.0, window_s=10.0)
        self.budget = WindowBudget(settings)

    def test_reasons(self) -> None:
        """A repeat that is not allowed costs nothing."""
        cases = (
            ({'may_be_sent': False}, RetryDecision.MAY_HAVE_RUN),
            ({'left_s': 0.0}, RetryDecision.OUT_OF_TIME),
            ({'sends': 4}, RetryDecision.ENOUGH_SENDS),
            ({'targets': 2}, RetryDecision.ENOUGH_TARGETS),
        )
        for changes, verdict in cases:
            with self.subTest(changes):
                self.assertEqual(_judge(self.budget, **changes), verdict)
        self.assertGreaterEqual(self.budget.available(1, 0.0), 1)

    def test_budget(self) -> None:
        """Pattern: all targets fail. Repeats stop when the window is full."""
        self.assertEqual(_judge(self.budget), RetryDecision.ALLOWED)
        self.assertEqual(_judge(self.budget), RetryDecision.BUDGET_SPENT)

    def test_what_reached_nobody_is_no_repeat(self) -> None:
        """Pattern: a host is gone. The next target costs no budget."""
        for _ in range(5):
            verdict = _judge(self.budget, sends=0, targets=0)
            self.assertEqual(verdict, RetryDecision.ALLOWED)
