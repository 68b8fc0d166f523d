"""Tests of retry budgets and of the ejection of outliers."""

from __future__ import annotations

import unittest

from nutmegspoke.retries.budget import RetryBudgets
from nutmegspoke.retries.outliers import Outliers, OutlierSettings
from tests import builders_claims as build

_TARGETS = tuple(build.target(name) for name in 'abcdef')


class RetryBudgetTest(unittest.TestCase):
    """Retries are a share of the route's requests."""

    def test_retries_stay_inside_the_share(self) -> None:
        """If all calls fail, retries add a tenth and the initial budget."""
        budgets = RetryBudgets()
        retries = 0
        for _ in range(1000):
            budget = budgets.note_request('send', 0.1)
            retries += sum(budget.try_acquire() for _ in range(3))
        self.assertLessEqual(retries, 110)
        self.assertGreaterEqual(retries, 100)

    def test_routes_do_not_share(self) -> None:
        """Requests of one route do not fill the budget of another."""
        budgets = RetryBudgets()
        budget = budgets.note_request('a', 0.0)
        while budget.try_acquire():
            pass
        self.assertTrue(budgets.note_request('b', 0.0).try_acquire())
        self.assertFalse(budgets.note_request('a', 0.0).try_acquire())


class OutliersTest(unittest.TestCase):
    """Guards against targets that attract traffic by failing quickly."""

    def setUp(self) -> None:
        """Create outlier detection without results."""
        self.outliers = Outliers(OutlierSettings())

    def note(
        self, name: str, errors: int, successes: int, now_s: float
    ) -> None:
        """Record several results of one target."""
        for _ in range(errors):
            self.outliers.record_result(name, now_s, is_error=True)
        for _ in range(successes):
            self.outliers.record_result(name, now_s, is_error=False)

    def names(self, now_s: float) -> str:
        """Return the concatenated names of the targets that are not ejected."""
        usable = self.outliers.usable(_TARGETS, now_s)
        return ''.join(target.name for target in usable)

    def test_ejected_for_a_while_and_longer_each_time(self) -> None:
        """The second ejection of a target lasts twice as long."""
        for name in 'bcdef':
            self.note(name, 0, 10, 100.0)
        self.note('a', 10, 0, 100.0)
        self.assertEqual(self.names(100.0), 'bcdef')
        self.assertEqual(self.names(104.9), 'bcdef')
        self.assertEqual(self.names(105.0), 'abcdef')
        self.note('a', 10, 0, 105.0)
        self.assertEqual(self.names(105.0), 'bcdef')
        self.assertEqual(self.names(114.9), 'bcdef')
        self.assertEqual(self.names(115.0), 'abcdef')

    def test_errors_of_all_eject_none(self) -> None:
        """If all targets fail at the same rate, none is an outlier."""
        for name in 'abcdef':
            self.note(name, 10, 0, 100.0)
        self.assertEqual(self.names(100.0), 'abcdef')

    def test_the_ejected_share_is_bounded(self) -> None:
        """At most two of six targets are ejected, and none of a single one."""
        for name in 'abc':
            self.note(name, 20, 0, 100.0)
        for name in 'def':
            self.note(name, 0, 100, 100.0)
        self.assertEqual(len(self.names(100.0)), 4)
        only = (_TARGETS[0],)
        self.assertEqual(self.outliers.usable(only, 100.0), only)

    def test_memory_is_bounded(self) -> None:
        """Results of the target with the oldest result are dropped."""
        outliers = Outliers(OutlierSettings(max_targets=2))
        for second, name in enumerate('abca'):
            for _ in range(5):
                outliers.record_result(
                    name, 100.0 + second, is_error=name == 'b'
                )
        usable = outliers.usable(_TARGETS, 104.0)
        self.assertEqual(len(usable), len(_TARGETS))

    def test_few_or_old_errors_eject_none(self) -> None:
        """Four errors, or many errors a minute ago, do not eject a target."""
        self.note('a', 4, 0, 100.0)
        self.note('b', 20, 0, 40.0)
        self.assertEqual(self.names(100.0), 'abcdef')
