"""One call on its way over the targets, and what its caller is told."""

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


class Gate:
    """Asks before the first byte of a call, and remembers a refusal."""

    def __init__(self, dispatch: Callable[[], steps.Step]) -> None:
        """Create a gate.

        :param dispatch: decides whether the call may leave now.
        """
        self._dispatch = dispatch
        self.refusal: outcomes.Outcome | None = None

    def may_send(self) -> bool:
        """Ask whether the call may leave now."""
        step = self._dispatch()
        if isinstance(step, steps.Answer):
            self.refusal = step.outcome
        return self.refusal is None


@dataclasses.dataclass(slots=True)
class CallRun:
    """State of one call.

    :param request: the call.
    :param gate: asked before the first byte of each attempt.
    :param budget: the route's budget of retries.
    :param is_repeatable: whether it may run more than once.
    :param fingerprint: digest by which the request is known again.
    :param tried: names of the targets that were tried.
    :param attempt_count: attempts so far.
    :param refusal: why the last attempt did not run.
    :param unknown: set once an attempt may have run without an answer.
    :param silent_target: target whose pooled connection was silent just now.
    """

    request: CallRequest
    gate: Gate
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
        :param dispatch: asked before the first byte of each attempt.
        """
        return cls(
            request=request,
            gate=Gate(dispatch),
            budget=budget,
            is_repeatable=request.route.repeatable,
            fingerprint=call_fingerprint(request),
        )

    @property
    def may_go_on(self) -> bool:
        """Tell whether another attempt is allowed.

        A call that may not be repeated goes on only while no byte of it has
        left, or if a target refused it.
        """
        if self.gate.refusal is not None:
            return False
        return self.is_repeatable or self.unknown is None

    def give_up(self, refusal: outcomes.NotRun) -> outcomes.Outcome:
        """Return what the caller is told when the call goes no further.

        :param refusal: why it goes no further.
        """
        if self.unknown is not None:
            return dataclasses.replace(
                self.unknown,
                retry_after_s=self._unknown_retry_s(refusal),
            )
        return self.gate.refusal or refusal

    def take(self, attempt: service_client.Attempt) -> outcomes.Outcome | None:
        """Take the result of an attempt.

        :returns: the outcome; ``None`` if there is none yet.
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
                    'calls: call held back request=%s reason=claim_stale',
                    self.request.request_id,
                )
        return None

    def _unknown_retry_s(self, refusal: outcomes.NotRun) -> float | None:
        return refusal.retry_after_s if self.is_repeatable else None


def call_fingerprint(request: CallRequest) -> str:
    """Return the digest by which a call is known again."""
    return request_fingerprint(request.team, request.route.name, request.body)


def _unknown(lost: service_client.Lost) -> outcomes.Unknown:
    reason = outcomes.UnknownReason.ANSWER_LOST
    if lost.kind is service_client.LossKind.SILENT:
        reason = outcomes.UnknownReason.ANSWER_TIMEOUT
    return outcomes.Unknown(reason, detail=lost.reason)
