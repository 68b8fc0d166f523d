"""Retry budgets: limits on retries as a share of each route's requests."""

from __future__ import annotations

import dataclasses

_MAX_AVAILABLE = 10.0
_MAX_ROUTES = 4096


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Retry budget of one route.

    Each request adds ``share`` to the available retries, up to a limit, and
    each retry subtracts 1. A new budget starts at that limit, so that a route
    with little traffic can retry too.

    :param share: retries as a share of the route's requests.
    :param available: retries that may be made now; may be fractional.
    """

    share: float
    available: float = _MAX_AVAILABLE

    def note_request(self) -> None:
        """Add the retries that one request permits."""
        self.available = min(_MAX_AVAILABLE, self.available + self.share)

    def try_acquire(self) -> bool:
        """Use one retry; return ``False`` if none is available."""
        if self.available < 1:
            return False
        self.available -= 1
        return True


class RetryBudgets:
    """Retry budgets by route."""

    def __init__(self) -> None:
        """Create without budgets."""
        self._budgets: dict[str, RetryBudget] = {}

    def note_request(self, route: str, share: float) -> RetryBudget:
        """Count a request and return the budget of its route.

        :param route: name of the route.
        :param share: current limit on retries, as a share of the route's
            requests.
        """
        budget = self._budgets.get(route)
        if budget is None:
            if len(self._budgets) >= _MAX_ROUTES:
                self._budgets.pop(next(iter(self._budgets)))
            budget = RetryBudget(share)
            self._budgets[route] = budget
        budget.share = share
        budget.note_request()
        return budget
