"""Handles requests to plain services, which run on a single target."""

from __future__ import annotations

import asyncio
import math
import zlib
from typing import TYPE_CHECKING

from nutmegspoke.edge.attempts import (
    Broken,
    CompleteAnswer,
    NotSent,
    OutboundRequest,
    Refused,
    failure_reason,
)
from nutmegspoke.edge.hedged_calls import HedgedCalls, is_answered
from nutmegspoke.edge.target_notices import (
    TargetNotices,
    closed_by_limits,
    limit_wait_s,
    open_targets,
    pause_left_s,
)
from nutmegspoke.edge.repeats import RetryPolicy
from nutmegspoke.edge.work import OwnAnswer
from nutmegspoke.forwarded import AnswerKind, Dispatch
from nutmegspoke.retries.target_faults import Fault
from nutmegspoke.routing.least_loaded import LeastLoaded

if TYPE_CHECKING:
    from nutmegspoke.admission.answer_memory import HeldAnswer
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.attempts import Attempts, FetchResult
    from nutmegspoke.edge.copies import Copies
    from nutmegspoke.edge.crash_watch import CrashWatch, WatchedRun
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.own_answers import AnswerSender
    from nutmegspoke.edge.target_connections import TargetConnection
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.entry_host import TargetEntry

# Share of the remaining time after which an attempt is given up if another one
# can follow.
_FIRST_ATTEMPT_SHARE = 0.45
# Time until a target that refused has capacity again: that of a few calls.
_REFUSED_RETRY_AFTER_S = 0.2
# Time until new targets are listed if none is left.
_NO_TARGET_RETRY_AFTER_S = 0.8
# Callers return over this time after the first pause has ended.
_PAUSE_SPREAD_S = 1.0
_CHECKSUMS = 2**32


class PlainCalls:
    """Handler that sends plain requests, with retries where allowed."""

    def __init__(
        self,
        view: View,
        attempts: Attempts,
        answer_sender: AnswerSender,
        crashes: CrashWatch,
        log: DecisionLog,
        copies: Copies,
        clock: Clock,
    ) -> None:
        """Create a handler."""
        self._crashes = crashes
        self._retries = RetryPolicy(view, log, clock)
        self._notices = TargetNotices(view, log, clock)
        self._view = view
        self._attempts = attempts
        self._answer_sender = answer_sender
        self._clock = clock
        self._loads = LeastLoaded(view.host.availability_zone)
        self._hedged = HedgedCalls(view, self._loads, copies, clock)

    async def serve(self, context: RequestContext) -> None:
        """Answer a request with a target's answer or one of the router's own."""
        last_result: FetchResult = NotSent('no target')
        is_allowed = context.left_s(self._clock.now_s()) > 0
        while is_allowed:
            refusal = await self._crashes.find_refusal(context)
            if refusal is not None:
                last_result = NotSent(
                    refusal.reason.value, retry_after_s=refusal.retry_after_s
                )
                break
            target = self._choose_target(context, self._clock.now_s())
            if target is None:
                break
            context.has_target = True
            last_result = await self._fetch(context, target)
            if is_answered(last_result):
                break
            is_allowed = self._is_retry_allowed(context, last_result)
        await self._send_answer(context, last_result)

    def _is_retry_allowed(
        self, context: RequestContext, last_result: FetchResult
    ) -> bool:
        if isinstance(last_result, Broken) and last_result.is_given_up:
            return True
        return self._retries.allows(
            context,
            _failure_cause(last_result),
            max_targets=context.route.max_targets,
        )

    def _choose_target(
        self, context: RequestContext, now_s: float
    ) -> TargetEntry | None:
        closed = closed_by_limits(self._view, context, now_s)
        live = [
            entry
            for entry in open_targets(self._view, context.pool.name, now_s)
            if entry.name not in closed
        ]
        usable = [
            entry
            for entry in live
            if not self._view.faults.is_left_out(entry.name, now_s)
        ]
        return self._loads.choose(usable or live, context.avoided, now_s)

    async def _fetch(
        self, context: RequestContext, target: TargetEntry
    ) -> FetchResult:
        if self._hedged.applies(context):
            return await self._hedged.fetch(context, target, self._send)
        may_retry = context.route.retry_rule.may_retry
        may_retry = may_retry and context.route.max_targets > context.sends + 1
        return await self._send(
            context, target, context.held, may_retry=may_retry
        )

    async def _send(
        self,
        context: RequestContext,
        target: TargetEntry,
        held: HeldAnswer,
        *,
        may_retry: bool,
    ) -> FetchResult:
        self._loads.sent(target.name)
        try:
            result = await self._exchange(
                context, target, held, may_retry=may_retry
            )
        finally:
            self._loads.ended(target.name)
        self._record_result(context, target, result)
        return result

    async def _exchange(
        self,
        context: RequestContext,
        target: TargetEntry,
        held: HeldAnswer,
        *,
        may_retry: bool,
    ) -> FetchResult:
        now_s = self._clock.now_s()
        dispatch = Dispatch(
            target.name,
            context.team,
            context.left_s(now_s),
            resume_after=context.facts.resume_after,
            urgency=self._view.contention.urgency(
                context.pool.name, context.priority, has_answer=False
            ),
        )
        connection = await self._attempts.send(
            OutboundRequest(
                address=target.address,
                request_id=context.facts.request_id,
                request=self._attempts.header_codec.write_request(
                    context.request,
                    dispatch,
                ),
                fresh=not may_retry,
                max_connections=self._view.max_connections_per_target(
                    context.pool, now_s
                ),
            ),
        )
        context.avoided.add(target.name)
        if isinstance(connection, NotSent):
            return connection
        context.sends += 1
        context.targets.append(target.name)
        self._notices.sent(target.name)
        run = self._crashes.started(context, (target.name,))
        result: FetchResult | None = None
        try:
            result = await self._receive(
                context, connection, held, may_retry=may_retry
            )
        finally:
            self._end_run(run, result)
        return result

    def _end_run(self, run: WatchedRun, result: FetchResult | None) -> None:
        if isinstance(result, CompleteAnswer):
            self._crashes.completed(run)
        else:
            is_broken_off = isinstance(result, Broken) and not (
                result.is_timeout or result.is_given_up
            )
            self._crashes.ended(run, is_broken_off=is_broken_off)

    async def _receive(
        self,
        context: RequestContext,
        connection: TargetConnection,
        held: HeldAnswer,
        *,
        may_retry: bool,
    ) -> FetchResult:
        """Wait for an answer; give it up once another attempt can follow."""
        left_s = max(0.0, context.left_s(self._clock.now_s()))
        answer = asyncio.create_task(
            self._attempts.receive(connection, held, left_s)
        )
        try:
            if may_retry:
                await asyncio.wait(
                    (answer,), timeout=left_s * _FIRST_ATTEMPT_SHARE
                )
                if not answer.done() and self._can_go_elsewhere(context):
                    return Broken('target silent', is_given_up=True)
            return await answer
        finally:
            answer.cancel()

    def _can_go_elsewhere(self, context: RequestContext) -> bool:
        """Return whether a silent target can be replaced by another one."""
        if context.is_hedged:
            return False
        if self._choose_target(context, self._clock.now_s()) is None:
            return False
        return self._retries.allows(
            context,
            'target silent',
            max_targets=context.route.max_targets,
        )

    def _record_result(
        self,
        context: RequestContext,
        target: TargetEntry,
        result: FetchResult,
    ) -> None:
        now_s = self._clock.now_s()
        name = target.name
        if isinstance(result, NotSent):
            fault = Fault.FULL if result.is_full else Fault.UNREACHABLE
            self._view.faults.record_fault(name, fault, now_s)
            return
        if isinstance(result, Refused | CompleteAnswer):
            self._notices.record(context, name, result.facts)
        if isinstance(result, Refused):
            self._record_refused(target, result, now_s)
            return
        context.may_have_run = True
        if _is_error(result):
            self._loads.failed(name, now_s)
        if isinstance(result, CompleteAnswer):
            self._record_load(target, result.facts.load, now_s)
            self._view.faults.succeeded(name, now_s)

    def _record_refused(
        self, target: TargetEntry, result: Refused, now_s: float
    ) -> None:
        self._record_load(target, result.facts.load, now_s)
        if result.facts.pause_s > 0:
            return
        fault = Fault.FULL if result.facts.load else Fault.OTHER_TARGET
        self._view.faults.record_fault(target.name, fault, now_s)

    def _record_load(
        self,
        target: TargetEntry,
        load: tuple[int, int, int] | None,
        now_s: float,
    ) -> None:
        if load is not None:
            running, waiting, _ = load
            self._loads.reported(target.name, running + waiting, now_s)

    async def _send_answer(
        self, context: RequestContext, last_result: FetchResult
    ) -> None:
        if isinstance(last_result, CompleteAnswer):
            await self._answer_sender.forward(context, last_result)
        elif context.may_have_run:
            is_late = context.is_out_of_time(self._clock.now_s())
            status = OwnAnswer.TIMEOUT if is_late else OwnAnswer.FAILED
            await self._answer_sender.send(
                context, status, reason=failure_reason(last_result)
            )
        else:
            retry_after_s = self._retry_after_s(context, last_result)
            await self._answer_sender.send(
                context,
                OwnAnswer.NOT_RUN,
                reason=failure_reason(last_result),
                retry_after_s=retry_after_s,
                log_fields=self._refusal_log_fields(context),
            )

    def _refusal_log_fields(self, context: RequestContext) -> dict[str, object]:
        """Return the values that led to a refusal, for the log."""
        now_s = self._clock.now_s()
        live = self._view.targets.live(context.pool.name)
        return {
            'targets_live': len(live),
            'targets_left_out': sum(
                self._view.faults.is_left_out(entry.name, now_s)
                for entry in live
            ),
            'targets_paused': sum(
                self._view.conditions.pauses.is_closed(entry.name, now_s)
                for entry in live
            ),
            'closed_by_limits': len(
                closed_by_limits(self._view, context, now_s)
            ),
            'targets_failed': sorted(context.avoided),
            'targets_version': self._view.targets_version,
        }

    def _retry_after_s(
        self, context: RequestContext, result: FetchResult
    ) -> float:
        """Return when a request that has not run may be sent again."""
        now_s = self._clock.now_s()
        pool = context.pool.name
        left_s = pause_left_s(self._view, pool, now_s)
        if open_targets(self._view, pool, now_s):
            left_s = limit_wait_s(self._view, context, now_s)
        if math.isfinite(left_s):
            return left_s + _spread_s(context.facts.request_id)
        return _usual_retry_after_s(result)


def _spread_s(request_id: str) -> float:
    """Return a delay by which the callers that wait for a pause differ."""
    return zlib.crc32(request_id.encode()) / _CHECKSUMS * _PAUSE_SPREAD_S


def _usual_retry_after_s(result: FetchResult) -> float:
    """Return when a request that has not run may be sent again."""
    if isinstance(result, Refused):
        return _REFUSED_RETRY_AFTER_S
    if isinstance(result, NotSent) and result.retry_after_s is not None:
        return result.retry_after_s
    return _NO_TARGET_RETRY_AFTER_S


def _failure_cause(result: FetchResult) -> str:
    if isinstance(result, CompleteAnswer):
        return f'answered {result.status}'
    return failure_reason(result)


def _is_error(result: FetchResult) -> bool:
    """Return whether a target answered with an error or did not answer."""
    if isinstance(result, CompleteAnswer):
        return result.facts.kind == AnswerKind.FAILURE
    return isinstance(result, Broken)
