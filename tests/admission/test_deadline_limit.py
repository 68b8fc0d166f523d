"""Tests of the limit that adapts to deadlines."""

from __future__ import annotations

import unittest

from nutmegspoke.admission.deadline_limit import DeadlineLimit


class DeadlineLimitTest(unittest.TestCase):
    """The limit settles where the largest request still meets its deadline."""

    def test_settles_where_the_largest_request_makes_its_deadline(self) -> None:
        """The pool runs 10 units per second, shared by the running requests."""
        limit = DeadlineLimit()
        limits = []
        for number in range(4000):
            cost = 10.0 if number % 4 else 40.0
            running = limit.max_running
            limit.observe(cost * running / 10, cost, 200.0, running)
            limits.append(limit.max_running)
        self.assertGreater(min(limits[1000:]), 20)
        self.assertLess(max(limits), 50)

    def test_a_low_limit_grows_again(self) -> None:
        """Guards against a low limit whose fraction never counts as in use."""
        limit = DeadlineLimit()
        for _ in range(200):
            limit.observe(100.0, 10, 20.0, limit.max_running)
        lowered_limit = limit.max_running
        self.assertLess(lowered_limit, 5)
        for _ in range(400):
            limit.observe(0.1, 10, 20.0, limit.max_running)
        self.assertGreater(limit.max_running, 50)

    def test_does_not_grow_while_it_is_not_in_use(self) -> None:
        """Short requests on an idle pool do not raise the limit."""
        limit = DeadlineLimit()
        for _ in range(100):
            limit.observe(0.1, 10, 20.0, 3)
        self.assertEqual(limit.max_running, 16)
