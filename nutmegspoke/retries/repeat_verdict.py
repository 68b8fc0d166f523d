"""Whether a request that failed at one target may go to another."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.retries.window_budget import PoolUsage, WindowBudget


class RetryDecision(enum.StrEnum):
    """Why a request is sent again, or not."""

    ALLOWED = 'allowed'
    MAY_HAVE_RUN = 'may_have_run'
    OUT_OF_TIME = 'out_of_time'
    ENOUGH_TARGETS = 'enough_targets'
    ENOUGH_SENDS = 'enough_sends'
    BUDGET_SPENT = 'budget_spent'


@dataclasses.dataclass(frozen=True, slots=True)
class RetryState:
    """A request that was not answered by the targets it was sent to.

    :param may_be_sent: its route's rule allows one more run.
    :param left_s: time until its answer must be there.
    :param sends: times that it was sent, refused and unreached ones included.
    :param max_sends: bound on these.
    :param targets: targets that it was sent to.
    :param max_targets: bound on these; ``None`` for none.
    """

    may_be_sent: bool
    left_s: float
    sends: int
    max_sends: int
    targets: int
    max_targets: int | None


def decide_retry(
    case: RetryState,
    budget: WindowBudget,
    daemon_count: int,
    others: PoolUsage,
    now_s: float,
) -> RetryDecision:
    """Return whether to send once more; an allowed repeat is paid for.

    A request that reached no target yet is no repeat and costs nothing.

    :param budget: repeats of this daemon to the request's pool.
    :param daemon_count: daemons that share the budget.
    :param others: what the daemons that are heard did with theirs.
    """
    if not case.may_be_sent:
        return RetryDecision.MAY_HAVE_RUN
    if case.left_s <= 0:
        return RetryDecision.OUT_OF_TIME
    if case.sends >= case.max_sends:
        return RetryDecision.ENOUGH_SENDS
    if case.max_targets is not None and case.targets >= case.max_targets:
        return RetryDecision.ENOUGH_TARGETS
    if case.sends and not budget.try_acquire(daemon_count, now_s, others):
        return RetryDecision.BUDGET_SPENT
    return RetryDecision.ALLOWED
