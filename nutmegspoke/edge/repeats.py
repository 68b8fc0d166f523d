"""Decides and logs whether a failed request is retried."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.retries.repeat_verdict import (
    RetryDecision,
    RetryState,
    decide_retry,
)

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext

# Limit on the times that one request is sent, including refused attempts.
_MAX_SENDS = 4


class RetryPolicy:
    """Retry policy that uses the retry budgets in the view."""

    def __init__(self, view: View, log: DecisionLog, clock: Clock) -> None:
        """Create a policy on a view."""
        self._view = view
        self._log = log
        self._clock = clock

    def allows(
        self,
        context: RequestContext,
        cause: str,
        *,
        max_targets: int | None = None,
    ) -> bool:
        """Return whether a request may be sent again, and log the decision.

        :param cause: failure reason of the last attempt.
        :param max_targets: limit on the targets of the request; ``None`` if
            the selection of the next target enforces it.
        """
        now_s = self._clock.now_s()
        daemons = self._view.count_budget_daemons(now_s)
        others = self._view.load_updates.usage(context.pool.name, now_s)
        budget = self._view.retry_budgets.for_pool(context.pool.name)
        decision = decide_retry(
            RetryState(
                may_resend=context.may_resend,
                left_s=context.left_s(now_s),
                sends=context.sends,
                max_sends=_MAX_SENDS,
                targets=len(context.targets),
                max_targets=max_targets,
            ),
            budget,
            daemons,
            others,
            now_s,
        )
        self._log.decided(
            'repeat',
            request=context.facts.request_id,
            outcome=decision.value,
            cause=cause,
            sends=context.sends,
            targets=context.targets,
            may_have_run=context.may_have_run,
            left_s=round(context.left_s(now_s), 3),
            budget_left=round(budget.available(daemons, now_s, others), 1),
            daemons=daemons,
            others_borrowed=others.borrowed,
        )
        return decision == RetryDecision.ALLOWED
