"""Tests of the limit on the retries of all daemons together."""

from __future__ import annotations

import unittest

from nutmegspoke.retries.window_budget import (
    PoolUsage,
    WindowBudget,
    WindowSettings,
)

_SETTINGS = WindowSettings(share=0.2, slack=200.0, window_s=10.0)


class WindowBudgetTest(unittest.TestCase):
    """Retries stay within the shares of a sliding window."""

    def test_all_daemons_stay_within_the_bound(self) -> None:
        """Every daemon uses its whole budget in every window."""
        daemons = 9
        budgets = [WindowBudget(_SETTINGS) for _ in range(daemons)]
        requests: list[float] = []
        retries: list[float] = []
        for step in range(3_000):
            now_s = step / 100
            budget = budgets[step % daemons]
            budget.count_request(now_s)
            requests.append(now_s)
            while budget.try_acquire(daemons, now_s):
                retries.append(now_s)
        for start in range(20):
            window = range(start, start + 10)
            in_window = [time_s for time_s in retries if int(time_s) in window]
            requests_in_window = [
                time_s for time_s in requests if int(time_s) in window
            ]
            limit = _SETTINGS.share * len(requests_in_window) + _SETTINGS.slack
            self.assertLessEqual(len(in_window), limit)

    def test_window_slides(self) -> None:
        """Used retries are available again after the window."""
        budget = WindowBudget(_SETTINGS)
        while budget.try_acquire(10, 0.0):
            continue
        self.assertFalse(budget.try_acquire(10, 9.9))
        self.assertTrue(budget.try_acquire(10, 10.1))

    def test_uneven_losses(self) -> None:
        """Guards against unused budget when failures affect a few daemons.

        With 81 daemons and failures at a tenth of them, drafts were given up
        for lack of budget while nine tenths of it were unused.
        """
        daemons = 81
        usage_of_others = PoolUsage(requests=1_600, borrowed=0, daemons=80)
        retries = []
        for others in (PoolUsage(), usage_of_others):
            budget = WindowBudget(_SETTINGS)
            retries.append(
                sum(
                    budget.try_acquire(daemons, step / 4, others)
                    for step in range(40)
                    for _ in range(5)
                ),
            )
        without_borrowing, with_borrowing = retries
        self.assertGreater(with_borrowing, 5 * without_borrowing)

    def test_borrowing_stays_within_the_bound(self) -> None:
        """Guards against too many retries when all drafts fail at once.

        Each daemon retries as often as it may, and knows the usage of the
        others with a delay of one second.
        """
        daemons = 9
        budgets = [WindowBudget(_SETTINGS) for _ in range(daemons)]
        retries: list[float] = []
        for second in range(30):
            usages = [budget.usage(float(second)) for budget in budgets]
            for number, budget in enumerate(budgets):
                for _ in range(number * 3):
                    budget.count_request(float(second))
                others = [
                    usage
                    for index, usage in enumerate(usages)
                    if index != number
                ]
                use = PoolUsage(
                    requests=sum(requests for requests, _ in others),
                    borrowed=sum(borrowed for _, borrowed in others),
                    daemons=len(others),
                )
                while budget.try_acquire(daemons, float(second), use):
                    retries.append(float(second))
        limit = _SETTINGS.share * 108 * 10 + _SETTINGS.slack
        for start in range(20):
            in_window = sum(start <= time_s < start + 10 for time_s in retries)
            self.assertLessEqual(in_window, limit)
