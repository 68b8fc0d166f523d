"""State of one call over its attempts, and its outcome."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.border import service_client
from nutmegspoke.claims import steps
from nutmegspoke.retries.suspects import request_fingerprint

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.requests import CallRequest
    from nutmegspoke.retries.budget import RetryBudget
    from nutmegspoke.targets import Target

logger = logging.getLogger(__name__)

RETRY_AFTER_S = 1.0
MIN_FAILURE_STATUS = 400


class DispatchCheck:
    """Check before the first byte of a call; keeps a refusal.

    :ivar refusal: the outcome if the call must not be sent.
    """

    def __init__(self, dispatch: Callable[[], steps.Step]) -> None:
        """Create a check without a refusal.

        :param dispatch: decides whether the call may be sent now.
        """
        self._dispatch = dispatch
        self.refusal: outcomes.Outcome | None = None

    def may_send(self) -> bool:
        """Return whether the call may be sent now."""
        step = self._dispatch()
        if isinstance(step, steps.Answer):
            self.refusal = step.outcome
        return self.refusal is None


@dataclasses.dataclass(slots=True)
class CallRun:
    """State of one call.

    :param request: the call.
    :param dispatch_check: asked before the first byte of each attempt.
    :param budget: the route's budget of retries.
    :param is_repeatable: whether the call may run more than once.
    :param fingerprint: digest that is the same when the request is retried.
    :param tried: names of the targets that were tried.
    :param attempt_count: number of attempts so far.
    :param refusal: why the last attempt did not run.
    :param unknown: set once an attempt may have run without an answer.
    :param silent_target: target whose pooled connection gave no answer in the
        last attempt; the next attempt uses a new connection to it.
    """

    request: CallRequest
    dispatch_check: DispatchCheck
    budget: RetryBudget
    is_repeatable: bool
    fingerprint: str
    tried: set[str] = dataclasses.field(default_factory=set)
    attempt_count: int = 0
    refusal: outcomes.NotRun | None = None
    unknown: outcomes.Unknown | None = None
    silent_target: Target | None = None

    @classmethod
    def from_request(
        cls,
        request: CallRequest,
        budget: RetryBudget,
        dispatch: Callable[[], steps.Step] = steps.Proceed,
    ) -> CallRun:
        """Create the state of a call that has not been sent.

        :param request: the call.
        :param budget: the route's budget of retries.
        :param dispatch: decides before the first byte of each attempt whether
            the call may be sent.
        """
        return cls(
            request=request,
            dispatch_check=DispatchCheck(dispatch),
            budget=budget,
            is_repeatable=request.route.repeatable,
            fingerprint=call_fingerprint(request),
        )

    @property
    def may_continue(self) -> bool:
        """Return whether another attempt is allowed.

        A call that must run at most once gets another attempt only if no byte
        of it was sent or the target refused it.
        """
        if self.dispatch_check.refusal is not None:
            return False
        return self.is_repeatable or self.unknown is None

    def give_up(self, refusal: outcomes.NotRun) -> outcomes.Outcome:
        """Return the outcome of a call without further attempts.

        :param refusal: why there is no further attempt.
        :returns: ``Unknown`` if an attempt may have run, else a refusal.
        """
        if self.unknown is not None:
            return dataclasses.replace(
                self.unknown,
                retry_after_s=self._unknown_retry_s(refusal),
            )
        return self.dispatch_check.refusal or refusal

    def record_attempt(
        self, attempt: service_client.Attempt
    ) -> outcomes.Outcome | None:
        """Record the result of an attempt.

        :param attempt: the result.
        :returns: the outcome, or ``None`` if there is none yet.
        """
        match attempt:
            case service_client.Answered(status, body, content_type):
                failed = status >= MIN_FAILURE_STATUS
                kind = outcomes.Failed if failed else outcomes.Completed
                return kind(status, body, content_type)
            case service_client.NotSent(reason):
                self.refusal = outcomes.NotRun(
                    outcomes.RefusalReason.TARGET_UNREACHABLE,
                    RETRY_AFTER_S,
                    reason,
                )
            case service_client.Declined(retry_after_s):
                self.refusal = outcomes.NotRun(
                    outcomes.RefusalReason.TARGET_REFUSED,
                    retry_after_s or RETRY_AFTER_S,
                )
            case service_client.Lost():
                self.unknown = _unknown(attempt)
            case service_client.Withheld():
                logger.info(
                    'calls: call withheld request=%s reason=claim_stale',
                    self.request.request_id,
                )
        return None

    def _unknown_retry_s(self, refusal: outcomes.NotRun) -> float | None:
        return refusal.retry_after_s if self.is_repeatable else None


def call_fingerprint(request: CallRequest) -> str:
    """Return the digest that identifies a call when it is retried."""
    return request_fingerprint(request.team, request.route.name, request.body)


def _unknown(lost: service_client.Lost) -> outcomes.Unknown:
    reason = outcomes.UnknownReason.ANSWER_LOST
    if lost.kind is service_client.LossKind.SILENT:
        reason = outcomes.UnknownReason.ANSWER_TIMEOUT
    return outcomes.Unknown(reason, detail=lost.reason)
