"""Send a call to one target after another until it has an outcome."""

from __future__ import annotations

import collections
import dataclasses
import logging
from typing import TYPE_CHECKING, Protocol

from nutmegspoke import outcomes
from nutmegspoke.border import evidence_context, service_client
from nutmegspoke.border.call_run import (
    MIN_FAILURE_STATUS,
    RETRY_AFTER_S,
    CallRun,
)
from nutmegspoke.border.target_health import TargetHealth, TargetReports
from nutmegspoke.claims import steps
from nutmegspoke.evidence.records import AttemptLost, CallSent
from nutmegspoke.retries.budget import RetryBudgets
from nutmegspoke.retries.quarantine import SendAlone
from nutmegspoke.routing.choices import TargetChoice
from nutmegspoke.targets import TargetDirectory

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.border.call_parts import CallServices
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.requests import CallRequest
    from nutmegspoke.targets import Target

logger = logging.getLogger(__name__)

_MAX_ATTEMPTS = 4
_Reason = outcomes.RefusalReason


class ServiceTargets(TargetDirectory, TargetReports, Protocol):
    """Directory of targets that also receives the findings of calls."""


class CallAttempts:
    """Sender of calls that chooses targets and retries."""

    def __init__(
        self,
        clock: Clock,
        targets: ServiceTargets,
        client: service_client.ServiceClient,
        call_services: CallServices,
    ) -> None:
        """Create the sender.

        :param clock: the process's clock.
        :param targets: the targets of each pool.
        :param client: sends one attempt of a call.
        :param call_services: router and quarantine.
        """
        self._clock = clock
        self._targets = targets
        self._client = client
        self._router = call_services.router
        self._quarantine = call_services.quarantine
        self._health = TargetHealth(
            clock, client, call_services.quarantine, targets
        )
        self._budgets = RetryBudgets()
        self._in_flight: collections.Counter[str] = collections.Counter()

    async def run(
        self,
        request: CallRequest,
        dispatch: Callable[[], steps.Step] = steps.Proceed,
    ) -> outcomes.Outcome:
        """Run a call.

        :param request: the call.
        :param dispatch: decides before the first byte of each attempt whether
            the call may be sent.
        """
        route = request.route
        budget = self._budgets.note_request(
            route.name,
            route.retry_budget_share,
        )
        run = CallRun.from_request(request, budget, dispatch)
        while run.may_continue:
            target = await self._next_target(run)
            if isinstance(target, outcomes.NotRun):
                return run.give_up(target)
            attempt = await self._send(run, target)
            outcome = run.record_attempt(attempt)
            if outcome is not None:
                return outcome
        return run.give_up(outcomes.NotRun(_Reason.NO_TARGET))

    async def _next_target(self, run: CallRun) -> Target | outcomes.NotRun:
        """Return the target of the next attempt, or the refusal."""
        if self._clock.now_s() >= run.request.deadline_s:
            return run.refusal or _new_refusal(_Reason.DEADLINE)
        if run.attempt_count >= _MAX_ATTEMPTS:
            return run.refusal or _new_refusal(_Reason.NO_TARGET)
        if run.attempt_count and not run.budget.try_acquire():
            return _new_refusal(_Reason.RETRY_BUDGET)
        if run.silent_target is not None:
            return run.silent_target
        usable = await self._find_usable(run)
        if isinstance(usable, outcomes.NotRun):
            return usable
        choice = self._router.choose_target(run.request, usable, run.tried)
        if isinstance(choice, TargetChoice):
            return choice.target
        return run.refusal or _new_refusal(_Reason.NO_TARGET)

    async def _find_usable(
        self,
        run: CallRun,
    ) -> tuple[Target, ...] | outcomes.NotRun:
        decision = self._quarantine.check(run.fingerprint)
        if isinstance(decision, outcomes.NotRun):
            return decision
        if not isinstance(decision, SendAlone):
            return self._with_own_in_flight(
                self._health.usable(self._list_targets(run))
            )
        allowed = await self._quarantine.wait_until_allowed(
            run.fingerprint,
            lambda: tuple(target.name for target in self._list_targets(run)),
            run.request.deadline_s,
        )
        return self._with_own_in_flight(
            tuple(
                each for each in self._list_targets(run) if each.name in allowed
            ),
        )

    def _list_targets(self, run: CallRun) -> tuple[Target, ...]:
        pool = run.request.pool.name
        return self._targets.usable(pool, self._clock.now_s())

    def _with_own_in_flight(
        self, targets: tuple[Target, ...]
    ) -> tuple[Target, ...]:
        return tuple(
            dataclasses.replace(
                target,
                own_in_flight=self._in_flight[target.name],
            )
            for target in targets
        )

    async def _send(
        self,
        run: CallRun,
        target: Target,
    ) -> service_client.Attempt:
        is_fresh = self._needs_fresh_connection(run, target)
        run.attempt_count += 1
        logger.info(
            'calls: call sent request=%s target=%s attempt=%d fresh=%s',
            run.request.request_id,
            target.name,
            run.attempt_count,
            is_fresh,
        )
        evidence_context.note(CallSent(run.attempt_count, target.name))
        attempt = await self._exchange(run, target, is_fresh=is_fresh)
        _record_loss(run, target, attempt)
        was_silent = run.silent_target is not None
        run.silent_target = None
        if _is_silent(attempt) and not is_fresh:
            run.silent_target = target
            self._quarantine.ended(run.fingerprint, (target.name,))
            return attempt
        if was_silent and isinstance(attempt, service_client.Answered):
            self._health.note_silent_connection(target)
        run.tried.add(target.name)
        await self._health.note(
            run.fingerprint,
            target,
            attempt,
            is_fresh=is_fresh,
        )
        return attempt

    async def _exchange(
        self,
        run: CallRun,
        target: Target,
        *,
        is_fresh: bool,
    ) -> service_client.Attempt:
        sent_s = self._clock.now_s()
        self._in_flight[target.name] += 1
        self._quarantine.started(run.fingerprint, (target.name,))
        try:
            attempt = await self._client.send(
                run.request,
                target,
                run.request.deadline_s - sent_s,
                run.dispatch_check.may_send,
                is_fresh=is_fresh,
            )
        finally:
            self._in_flight -= collections.Counter((target.name,))
        if _is_success(attempt):
            self._router.observe(
                target.name,
                self._clock.now_s() - sent_s,
                self._in_flight[target.name] + 1,
                run.request.pool.max_in_flight,
            )
        return attempt

    def _needs_fresh_connection(self, run: CallRun, target: Target) -> bool:
        return (
            not run.is_repeatable
            or run.silent_target is not None
            or self._health.needs_fresh_connection(target)
        )


def _is_success(attempt: service_client.Attempt) -> bool:
    if not isinstance(attempt, service_client.Answered):
        return False
    return attempt.status < MIN_FAILURE_STATUS


def _is_silent(attempt: service_client.Attempt) -> bool:
    return (
        isinstance(attempt, service_client.Lost)
        and attempt.kind is service_client.LossKind.SILENT
    )


def _new_refusal(reason: outcomes.RefusalReason) -> outcomes.NotRun:
    return outcomes.NotRun(reason, RETRY_AFTER_S)


def _record_loss(
    run: CallRun,
    target: Target,
    attempt: service_client.Attempt,
) -> None:
    if isinstance(attempt, service_client.Answered):
        return
    reason = getattr(attempt, 'reason', '')
    attempt_kind = type(attempt).__name__.lower()
    evidence_context.note(
        AttemptLost(
            run.attempt_count,
            target.name,
            f'{attempt_kind} {reason}'.strip(),
        ),
    )
