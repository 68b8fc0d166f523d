"""Handles requests to plain services, which run on a single target.

Those of streaming routes are answered by the events of one or more runs.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from nutmegspoke.edge.attempts import (
    Broken,
    CompleteAnswer,
    NotSent,
    OpenedAnswer,
    OutboundRequest,
    Refused,
    SentAnswer,
    failure_reason,
)
from nutmegspoke.edge.hedged_calls import HedgedCalls, is_answered
from nutmegspoke.edge.plain_answers import PlainAnswers
from nutmegspoke.edge.plain_streams import PlainStreams, is_event_stream
from nutmegspoke.edge.target_notices import (
    TargetNotices,
    closed_by_limits,
    open_targets,
)
from nutmegspoke.edge.repeats import RetryPolicy
from nutmegspoke.forwarded import AnswerKind, Dispatch
from nutmegspoke.retries.target_faults import Fault
from nutmegspoke.routing.least_loaded import LeastLoaded

if TYPE_CHECKING:
    from collections.abc import Coroutine

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
        self._answers = PlainAnswers(view, answer_sender, clock)
        self._clock = clock
        self._loads = LeastLoaded(view.host.availability_zone)
        self._hedged = HedgedCalls(view, self._loads, copies, clock)
        self._streams = PlainStreams(attempts, crashes, clock)

    async def serve(self, context: RequestContext) -> None:
        """Answer a request with a target's answer or one of the router's own."""
        context.stream = self._streams.new_stream(context)
        last_result: FetchResult = NotSent('no target')
        is_allowed = context.left_s(self._clock.now_s()) > 0
        while is_allowed:
            refusal = await self._crashes.find_refusal(
                context, has_answer=context.answer.has_begun
            )
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
        await self._answers.send(context, last_result)

    def _is_retry_allowed(
        self, context: RequestContext, last_result: FetchResult
    ) -> bool:
        if isinstance(last_result, Broken) and last_result.is_given_up:
            return True
        if context.stream is not None and not context.stream.position.is_known:
            return False
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
            resume_after=_position(context),
            urgency=self._view.contention.urgency(
                context.pool.name,
                context.priority,
                has_answer=_has_part(context),
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
                context,
                self._read(context, target, connection, held, run),
                may_retry=may_retry,
            )
        finally:
            self._end_run(run, result)
        return result

    def _end_run(self, run: WatchedRun, result: FetchResult | None) -> None:
        if isinstance(result, CompleteAnswer | SentAnswer):
            self._crashes.completed(run)
        else:
            is_broken_off = isinstance(result, Broken) and not (
                result.is_timeout or result.is_given_up
            )
            self._crashes.ended(run, is_broken_off=is_broken_off)

    async def _receive(
        self,
        context: RequestContext,
        reading: Coroutine[None, None, FetchResult],
        *,
        may_retry: bool,
    ) -> FetchResult:
        """Wait for an answer; give it up once another attempt can follow.

        What the caller has begun to receive is not given up.
        """
        left_s = max(0.0, context.left_s(self._clock.now_s()))
        answer = asyncio.create_task(reading)
        try:
            if may_retry:
                await asyncio.wait(
                    (answer,), timeout=left_s * _FIRST_ATTEMPT_SHARE
                )
                is_waiting = not answer.done() and not context.answer.has_begun
                if is_waiting and self._can_go_elsewhere(context):
                    return Broken('target silent', is_given_up=True)
            return await answer
        finally:
            answer.cancel()

    async def _read(
        self,
        context: RequestContext,
        target: TargetEntry,
        connection: TargetConnection,
        held: HeldAnswer,
        run: WatchedRun,
    ) -> FetchResult:
        """Read an answer; send the events of a stream as they arrive."""
        opened = await self._attempts.open_answer(
            connection, context.left_s(self._clock.now_s())
        )
        if isinstance(opened, Refused | OpenedAnswer):
            # The caller may get the answer long before it is complete.
            self._notices.record(context, target.name, opened.facts)
        if not isinstance(opened, OpenedAnswer):
            return opened
        if context.stream is not None and is_event_stream(opened):
            return await self._streams.relay(
                context, context.stream, opened, run
            )
        if context.answer.has_begun:
            connection.abandon()
            return Broken(f'target answered {opened.head.status}')
        left_s = context.left_s(self._clock.now_s())
        return await self._attempts.read_body(opened, held, left_s)

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
        if isinstance(result, Refused):
            self._record_refused(target, result, now_s)
            return
        context.may_have_run = True
        if _is_error(result):
            self._loads.failed(name, now_s)
        if isinstance(result, CompleteAnswer):
            self._record_load(target, result.facts.load, now_s)
        if isinstance(result, CompleteAnswer | SentAnswer):
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


def _has_part(context: RequestContext) -> bool:
    """Return whether the caller has a part of a stream."""
    return context.stream is not None and bool(context.stream.position.last_id)


def _position(context: RequestContext) -> str:
    """Return the id of the last event that the caller has; empty for none."""
    if context.stream is None:
        return context.facts.resume_after
    return context.stream.position.last_id


def _failure_cause(result: FetchResult) -> str:
    if isinstance(result, CompleteAnswer):
        return f'answered {result.status}'
    return failure_reason(result)


def _is_error(result: FetchResult) -> bool:
    """Return whether a target answered with an error or did not answer."""
    if isinstance(result, CompleteAnswer):
        return result.facts.kind == AnswerKind.FAILURE
    return isinstance(result, Broken)
