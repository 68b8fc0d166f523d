"""Tests of retry times after refusals by daemons without tables."""

from __future__ import annotations

import unittest

from nutmegspoke.admission.opening import expected_opening_s, opening_wait_s

_KEYS = tuple(f'request-{number}' for number in range(400))


class OpeningTest(unittest.TestCase):
    """All hosts restart while the store is away; a caller returns once."""

    def test_callers_return_after_the_store(self) -> None:
        """Guards against returns, half a second later, to the same outage.

        Load: all hosts start again 1.5 s before the store answers, which lists
        targets that had lapsed 2 s later, and callers arrive all the while with
        20 s to wait.
        """
        store_back_s = 1.5
        for number, key in enumerate(_KEYS):
            closed_s = store_back_s * number / len(_KEYS)
            returns_s = closed_s + opening_wait_s(closed_s, 20.0, key)
            self.assertGreater(returns_s, store_back_s + 2.0)

    def test_callers_don_t_return_at_once(self) -> None:
        """Guards against a second crowd at the moment of the return."""
        waits_s = sorted(opening_wait_s(0.3, 20.0, key) for key in _KEYS)
        spread_s = waits_s[-1] - waits_s[0]
        self.assertGreater(spread_s, 1.0)
        widest_s = max(
            later - earlier
            for earlier, later in zip(waits_s, waits_s[1:], strict=False)
        )
        self.assertLess(widest_s, spread_s / 10)

    def test_no_wait_exceeds_what_callers_accept(self) -> None:
        """Guards against callers that ignore the time and return at once."""
        for left_s in (0.0, 0.3, 1.5, 3.0, 20.0):
            for closed_s in (0.2, 3.0, 30.0):
                for key in _KEYS:
                    wait_s = opening_wait_s(closed_s, left_s, key)
                    self.assertLessEqual(wait_s, left_s / 3)

    def test_long_outages_are_expected_to_last(self) -> None:
        """An outage of ten seconds is not expected to end in the next one."""
        self.assertGreater(expected_opening_s(10.0), 10.0)
        self.assertGreater(expected_opening_s(0.2), 2.0)

    def test_callers_without_a_deadline_return(self) -> None:
        """A caller that does not tell its deadline gets a bounded time."""
        waits_s = [opening_wait_s(60.0, None, key) for key in _KEYS]
        self.assertLessEqual(max(waits_s), 5.0)
