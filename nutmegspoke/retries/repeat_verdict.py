"""Decision on whether a request that failed at one target is retried."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.retries.window_budget import PoolUsage, WindowBudget


class RetryDecision(enum.StrEnum):
    """Whether a request is retried, and the reason if it is not."""

    ALLOWED = 'allowed'
    MAY_HAVE_RUN = 'may_have_run'
    OUT_OF_TIME = 'out_of_time'
    MAX_TARGETS_REACHED = 'enough_targets'
    MAX_SENDS_REACHED = 'enough_sends'
    BUDGET_SPENT = 'budget_spent'


@dataclasses.dataclass(frozen=True, slots=True)
class RetryState:
    """State of a request that has no answer from the targets tried so far.

    :param may_resend: whether the request may be sent again: it has not run,
        or the retry rule of its route permits it to run twice.
    :param left_s: seconds until its deadline.
    :param sends: number of times it was sent to a target, including sends
        that the target refused.
    :param max_sends: limit of ``sends``.
    :param targets: number of targets that it was sent to.
    :param max_targets: limit of ``targets``; ``None`` for no limit.
    """

    may_resend: bool
    left_s: float
    sends: int
    max_sends: int
    targets: int
    max_targets: int | None


def decide_retry(
    state: RetryState,
    budget: WindowBudget,
    daemon_count: int,
    others: PoolUsage,
    now_s: float,
) -> RetryDecision:
    """Return whether to send a request again, and charge the retry budget.

    A request that has not been sent to any target yet is not a retry and is
    not charged.

    :param state: state of the request.
    :param budget: this daemon's retry budget for the pool of the request.
    :param daemon_count: number of daemons that share the pool's retry limit,
        this one included.
    :param others: usage of the other daemons whose updates are not expired.
    :param now_s: current time, in seconds.
    """
    if not state.may_resend:
        return RetryDecision.MAY_HAVE_RUN
    if state.left_s <= 0:
        return RetryDecision.OUT_OF_TIME
    if state.sends >= state.max_sends:
        return RetryDecision.MAX_SENDS_REACHED
    if state.max_targets is not None and state.targets >= state.max_targets:
        return RetryDecision.MAX_TARGETS_REACHED
    if state.sends and not budget.try_acquire(daemon_count, now_s, others):
        return RetryDecision.BUDGET_SPENT
    return RetryDecision.ALLOWED
