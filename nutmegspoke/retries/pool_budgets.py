"""Retry budgets of this daemon, one for each pool, and copies sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.retries.copy_shares import CopyShares
from nutmegspoke.retries.window_budget import WindowBudget

if TYPE_CHECKING:
    from nutmegspoke.retries.window_budget import WindowSettings


class PoolBudgets:
    """Retry budgets of this daemon by pool.

    :ivar copies: copies of slow requests that this daemon has sent.
    """

    def __init__(self, settings: WindowSettings) -> None:
        """Create without budgets; all pools get the same settings."""
        self._settings = settings
        self._budgets: dict[str, WindowBudget] = {}
        self.copies = CopyShares(settings.window_s)

    def update_settings(self, settings: WindowSettings) -> None:
        """Apply new settings to all pools."""
        self._settings = settings
        self.copies.set_window(settings.window_s)
        for budget in self._budgets.values():
            budget.update_settings(settings)

    def for_pool(self, pool: str) -> WindowBudget:
        """Return the retry budget of a pool; create it if there is none."""
        budget = self._budgets.get(pool)
        if budget is None:
            budget = WindowBudget(self._settings)
            self._budgets[pool] = budget
        return budget

    def usage(self, now_s: float) -> dict[str, tuple[int, int]]:
        """Return the requests and borrowed retries in the window by pool.

        Pools without either are left out.
        """
        used = {
            pool: budget.usage(now_s) for pool, budget in self._budgets.items()
        }
        return {pool: counts for pool, counts in used.items() if any(counts)}
