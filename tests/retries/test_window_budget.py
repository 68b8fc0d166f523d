"""Tests of the bound on repeats of all daemons together."""

from __future__ import annotations

import unittest

from nutmegspoke.retries.window_budget import WindowBudget, WindowSettings

_SETTINGS = WindowSettings(share=0.2, slack=200.0, window_s=10.0)


class WindowBudgetTest(unittest.TestCase):
    """Shares of requests and of the slack, in a sliding window."""

    def test_all_daemons_stay_within_the_bound(self) -> None:
        """Pattern: every daemon repeats all it may, in every window."""
        daemons = 9
        budgets = [WindowBudget(_SETTINGS) for _ in range(daemons)]
        requests: list[float] = []
        repeats: list[float] = []
        for step in range(3_000):
            now_s = step / 100
            budget = budgets[step % daemons]
            budget.request_came(now_s)
            requests.append(now_s)
            while budget.take(daemons, now_s):
                repeats.append(now_s)
        for start in range(20):
            window = range(start, start + 10)
            in_window = [at for at in repeats if int(at) in window]
            asked = [at for at in requests if int(at) in window]
            bound = _SETTINGS.share * len(asked) + _SETTINGS.slack
            self.assertLessEqual(len(in_window), bound)

    def test_window_slides(self) -> None:
        """What was spent is there again after the window."""
        budget = WindowBudget(_SETTINGS)
        while budget.take(10, 0.0):
            continue
        self.assertFalse(budget.take(10, 9.9))
        self.assertTrue(budget.take(10, 10.1))
