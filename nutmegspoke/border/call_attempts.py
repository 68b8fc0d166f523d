"""Sends a call to one target after another until it has an outcome."""

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

    from nutmegspoke.border.call_parts import CallParts
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.requests import CallRequest
    from nutmegspoke.targets import Target

logger = logging.getLogger(__name__)

_MAX_ATTEMPTS = 4
_Reason = outcomes.RefusalReason


class ServiceTargets(TargetDirectory, TargetReports, Protocol):
    """Knows the targets of each pool and hears what calls find out."""


class CallAttempts:
    """Picks targets and sends calls to them."""

    def __init__(
        self,
        clock: Clock,
        targets: ServiceTargets,
        client: service_client.ServiceClient,
        parts: CallParts,
    ) -> None:
        """Create the sender.

        :param clock: the process's clock.
        :param targets: knows the targets of each pool.
        :param client: sends one call.
        :param parts: router and quarantine.
        """
        self._clock = clock
        self._targets = targets
        self._client = client
        self._router = parts.router
        self._quarantine = parts.quarantine
        self._health = TargetHealth(clock, client, parts.quarantine, targets)
        self._budgets = RetryBudgets()
        self._in_flight: collections.Counter[str] = collections.Counter()

    async def run(
        self,
        request: CallRequest,
        dispatch: Callable[[], steps.Step] = steps.Proceed,
    ) -> outcomes.Outcome:
        """Run a call.

        :param request: the call.
        :param dispatch: asked before the first byte of each attempt.
        """
        route = request.route
        budget = self._budgets.note_request(
            route.name,
            route.retry_budget_share,
        )
        run = CallRun.from_request(request, budget, dispatch)
        while run.may_go_on:
            target = await self._next_target(run)
            if isinstance(target, outcomes.NotRun):
                return run.give_up(target)
            attempt = await self._send(run, target)
            outcome = run.take(attempt)
            if outcome is not None:
                return outcome
        return run.give_up(outcomes.NotRun(_Reason.NO_TARGET))

    async def _next_target(self, run: CallRun) -> Target | outcomes.NotRun:
        """Return where to send the call next, or why nowhere."""
        if self._clock.now_s() >= run.request.deadline_s:
            return run.refusal or _refused(_Reason.DEADLINE)
        if run.attempt_count >= _MAX_ATTEMPTS:
            return run.refusal or _refused(_Reason.NO_TARGET)
        if run.attempt_count and not run.budget.try_acquire():
            return _refused(_Reason.RETRY_BUDGET)
        if run.silent is not None:
            return run.silent
        usable = await self._usable(run)
        if isinstance(usable, outcomes.NotRun):
            return usable
        choice = self._router.choose_target(run.request, usable, run.tried)
        if isinstance(choice, TargetChoice):
            return choice.target
        return run.refusal or _refused(_Reason.NO_TARGET)

    async def _usable(
        self,
        run: CallRun,
    ) -> tuple[Target, ...] | outcomes.NotRun:
        verdict = self._quarantine.check(run.fingerprint)
        if isinstance(verdict, outcomes.NotRun):
            return verdict
        if not isinstance(verdict, SendAlone):
            return self._counted(self._health.usable(self._present(run)))
        allowed = await self._quarantine.turn(
            run.fingerprint,
            lambda: tuple(target.name for target in self._present(run)),
            run.request.deadline_s,
        )
        return self._counted(
            tuple(each for each in self._present(run) if each.name in allowed),
        )

    def _present(self, run: CallRun) -> tuple[Target, ...]:
        pool = run.request.pool.name
        return self._targets.usable(pool, self._clock.now_s())

    def _counted(self, targets: tuple[Target, ...]) -> tuple[Target, ...]:
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
        _note_loss(run, target, attempt)
        was_silent = run.silent is not None
        run.silent = None
        if _is_silent(attempt) and not is_fresh:
            run.silent = target
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
                run.gate.may_leave,
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
            or run.silent is not None
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


def _refused(reason: outcomes.RefusalReason) -> outcomes.NotRun:
    return outcomes.NotRun(reason, RETRY_AFTER_S)


def _note_loss(
    run: CallRun,
    target: Target,
    attempt: service_client.Attempt,
) -> None:
    if isinstance(attempt, service_client.Answered):
        return
    reason = getattr(attempt, 'reason', '')
    seen = type(attempt).__name__.lower()
    evidence_context.note(
        AttemptLost(
            run.attempt_count,
            target.name,
            f'{seen} {reason}'.strip(),
        ),
    )
