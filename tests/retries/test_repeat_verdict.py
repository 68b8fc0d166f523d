"""Tests of the decision on a retry."""

from __future__ import annotations

import unittest
from typing import Any

from nutmegspoke.retries.repeat_verdict import (
    RetryDecision,
    RetryState,
    decide_retry,
)
from nutmegspoke.retries.window_budget import (
    NO_USAGE,
    WindowBudget,
    WindowSettings,
)


def _decide(budget: WindowBudget, **changes: Any) -> RetryDecision:
    state = {
        'may_resend': True,
        'left_s': 1.0,
        'sends': 1,
        'max_sends': 4,
        'targets': 1,
        'max_targets': 2,
    }
    state.update(changes)
    return decide_retry(RetryState(**state), budget, 1, NO_USAGE, 0.0)


class RetryDecisionTest(unittest.TestCase):
    """The decision names the first reason against a retry."""

    def setUp(self) -> None:
        """Create a budget for one retry."""
        settings = WindowSettings(share=0.0, slack=2.0, window_s=10.0)
        self.budget = WindowBudget(settings)

    def test_reasons(self) -> None:
        """A retry that is not permitted is not charged to the budget."""
        cases = (
            ({'may_resend': False}, RetryDecision.MAY_HAVE_RUN),
            ({'left_s': 0.0}, RetryDecision.OUT_OF_TIME),
            ({'sends': 4}, RetryDecision.MAX_SENDS_REACHED),
            ({'targets': 2}, RetryDecision.MAX_TARGETS_REACHED),
        )
        for changes, decision in cases:
            with self.subTest(changes):
                self.assertEqual(_decide(self.budget, **changes), decision)
        self.assertGreaterEqual(self.budget.available(1, 0.0), 1)

    def test_budget(self) -> None:
        """Guards against endless retries if all targets fail."""
        self.assertEqual(_decide(self.budget), RetryDecision.ALLOWED)
        self.assertEqual(_decide(self.budget), RetryDecision.BUDGET_SPENT)

    def test_a_request_that_reached_no_target_is_no_retry(self) -> None:
        """If a host is unreachable, trying the next target uses no budget."""
        for _ in range(5):
            decision = _decide(self.budget, sends=0, targets=0)
            self.assertEqual(decision, RetryDecision.ALLOWED)
