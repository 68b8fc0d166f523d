"""Decides and logs whether a failed request is sent once more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.retries.repeat_verdict import (
    RetryState,
    RetryDecision,
    decide_retry,
)

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import Work

# Sends of one request, refused and unreached ones included.
_MAX_SENDS = 4


class Repeats:
    """Gives out the repeats of this daemon."""

    def __init__(self, view: View, log: DecisionLog, clock: Clock) -> None:
        """Use the budgets of the view."""
        self._view = view
        self._log = log
        self._clock = clock

    def allows(
        self,
        work: Work,
        cause: str,
        *,
        max_targets: int | None = None,
    ) -> bool:
        """Tell whether a request may be sent once more.

        :param cause: what became of the last attempt.
        :param max_targets: bound on the targets that it was sent to; ``None``
            if the choice of the next one keeps it.
        """
        now_s = self._clock.now_s()
        daemons = self._view.budget_daemons(now_s)
        others = self._view.board.used(work.pool.name, now_s)
        budget = self._view.budgets.for_pool(work.pool.name)
        verdict = decide_retry(
            RetryState(
                may_be_sent=work.may_be_sent,
                left_s=work.left_s(now_s),
                sends=work.sends,
                max_sends=_MAX_SENDS,
                targets=len(work.targets),
                max_targets=max_targets,
            ),
            budget,
            daemons,
            others,
            now_s,
        )
        self._log.decided(
            'repeat',
            request=work.facts.request_id,
            outcome=verdict.value,
            cause=cause,
            sends=work.sends,
            targets=work.targets,
            may_have_run=work.may_have_run,
            left_s=round(work.left_s(now_s), 3),
            budget_left=round(budget.available(daemons, now_s, others), 1),
            daemons=daemons,
            others_borrowed=others.borrowed,
        )
        return verdict == RetryDecision.ALLOWED
