"""Tests of the bound on repeats of all daemons together."""

from __future__ import annotations

import unittest

from nutmegspoke.retries.window_budget import (
    PoolUsage,
    WindowBudget,
    WindowSettings,
)

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
            budget.count_request(now_s)
            requests.append(now_s)
            while budget.try_acquire(daemons, now_s):
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
        while budget.try_acquire(10, 0.0):
            continue
        self.assertFalse(budget.try_acquire(10, 9.9))
        self.assertTrue(budget.try_acquire(10, 10.1))

    def test_uneven_losses(self) -> None:
        """Pattern: 81 daemons, and a loss that hits a tenth of them.

        Seen on a grown site: drafts were given up for want of budget while
        nine tenths of it were unused.
        """
        daemons = 81
        calm = PoolUsage(requests=1_600, borrowed=0, daemons=80)
        taken = []
        for others in (PoolUsage(), calm):
            hit = WindowBudget(_SETTINGS)
            taken.append(
                sum(
                    hit.try_acquire(daemons, step / 4, others)
                    for step in range(40)
                    for _ in range(5)
                ),
            )
        alone, lent = taken
        self.assertGreater(lent, 5 * alone)

    def test_borrowing_stays_within_the_bound(self) -> None:
        """Pattern: all drafts fail at once and are refused again and again.

        Each daemon repeats all it may, and hears a second late what the
        others did.
        """
        daemons = 9
        budgets = [WindowBudget(_SETTINGS) for _ in range(daemons)]
        repeats: list[float] = []
        for second in range(30):
            told = [budget.used(float(second)) for budget in budgets]
            for number, budget in enumerate(budgets):
                for _ in range(number * 3):
                    budget.count_request(float(second))
                others = [one for at, one in enumerate(told) if at != number]
                use = PoolUsage(
                    requests=sum(requests for requests, _ in others),
                    borrowed=sum(borrowed for _, borrowed in others),
                    daemons=len(others),
                )
                while budget.try_acquire(daemons, float(second), use):
                    repeats.append(float(second))
        bound = _SETTINGS.share * 108 * 10 + _SETTINGS.slack
        for start in range(20):
            in_window = sum(start <= at < start + 10 for at in repeats)
            self.assertLessEqual(in_window, bound)
