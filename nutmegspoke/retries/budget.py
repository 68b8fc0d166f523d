"""Bounds retries as a share of each route's requests."""

from __future__ import annotations

import dataclasses

_BURST = 10.0
_MAX_ROUTES = 4096


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Budget of one route.

    Each request brings a part of a retry, and each retry takes a whole one.
    A route with little traffic starts with a few retries saved up.

    :param share: retries as a share of the route's requests.
    :param available: retries that may be made now.
    """

    share: float
    available: float = _BURST

    def note_request(self) -> None:
        """Count a request."""
        self.available = min(_BURST, self.available + self.share)

    def take(self) -> bool:
        """Take one retry out; ``False`` if there is none."""
        if self.available < 1:
            return False
        self.available -= 1
        return True


class RetryBudgets:
    """Budgets of all routes."""

    def __init__(self) -> None:
        """Create without routes."""
        self._budgets: dict[str, RetryBudget] = {}

    def note_request(self, route: str, share: float) -> RetryBudget:
        """Count a request and return its route's budget.

        :param route: name of the route.
        :param share: retries as a share of the route's requests, as of now.
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
