"""Serves drafts: reserves a chain, relays events, and resumes an interrupted
stream if the route allows it.

A draft is a request for generated text. It runs on a chain: engines that hold
consecutive ranges of a model's layers. Its answer is a stream of events.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.edge.answer_reader import AnswerStalled
from nutmegspoke.edge.attempts import (
    Broken,
    NotSent,
    OpenedAnswer,
    OutboundRequest,
    Refused,
    failure_reason,
)
from nutmegspoke.edge.chain_choice import ChainSelector
from nutmegspoke.edge.draft_admission import DraftAdmission
from nutmegspoke.edge.repeats import RetryPolicy
from nutmegspoke.edge.stream_relay import DraftStream, RelayEnd, StreamRelay
from nutmegspoke.edge.stream_watch import QUERY_AFTER_SEND_S
from nutmegspoke.edge.work import OwnAnswer
from nutmegspoke.forwarded import AnswerKind, Dispatch
from nutmegspoke.retries.target_faults import Fault
from nutmegspoke.routing.engine_loads import DraftNeed

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.attempts import Attempts, OpenResult
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.own_answers import AnswerSender
    from nutmegspoke.edge.stream_watch import StreamWatch
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.entry_host import ModelProfile
    from nutmegspoke.layers import Chain

# An engine that refuses above this utilization lacks memory; it is not faulty.
_FULL_UTILIZATION = 0.6


class DraftHandler:
    """Handler of requests for drafts, which run on chains of engines."""

    def __init__(
        self,
        view: View,
        attempts: Attempts,
        answer_sender: AnswerSender,
        watch: StreamWatch,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        """Create the handler and its admission queue."""
        self._relay = StreamRelay(attempts.header_codec, watch, clock)
        self._watch = watch
        chain_selector = ChainSelector(view, log, clock)
        self._admission = DraftAdmission(
            view, chain_selector.reserve_chain, clock
        )
        self._retries = RetryPolicy(view, log, clock)
        self._view = view
        self._attempts = attempts
        self._answer_sender = answer_sender
        self._log = log
        self._clock = clock

    async def serve(
        self,
        context: RequestContext,
        profile: ModelProfile,
    ) -> None:
        """Answer a draft."""
        stream = DraftStream()
        # A resume id that is not a number is not counted but forwarded.
        if context.facts.resume_after.isdigit():
            stream.last_event_id = int(context.facts.resume_after)
        reason = 'no chain'
        try:
            while True:
                chain = await self._admission.admit(
                    context,
                    self._estimate_need(context, profile, stream),
                    is_new=not stream.has_head,
                )
                if chain is None:
                    break
                failure = await self._run(context, chain, stream, profile)
                if failure is None:
                    return
                reason = failure
                await self._recheck_avoided(context)
                if not self._retries.allows(context, reason):
                    break
        finally:
            self._view.own_reservations.release(context.reservation_key)
            self._watch.unwatch(context.reservation_key)
        await self._answer_failure(context, stream, profile, reason)

    def _estimate_need(
        self,
        context: RequestContext,
        profile: ModelProfile,
        stream: DraftStream,
    ) -> DraftNeed:
        facts = context.facts
        answer_tokens = self._view.answer_lengths(
            context.pool.name, profile
        ).expected_tokens(
            context.route.name,
            facts.max_answer_tokens,
            facts.hinted_answer_tokens,
        )
        generated = stream.events * profile.tokens_per_event
        return DraftNeed(
            facts.prompt_tokens + generated,
            max(profile.tokens_per_event, answer_tokens - generated),
        )

    async def _run(
        self,
        context: RequestContext,
        chain: Chain,
        stream: DraftStream,
        profile: ModelProfile,
    ) -> str | None:
        """Run a draft on a chain.

        :returns: ``None`` if it was answered, otherwise the failure reason.
        """
        result = await self._open(context, chain, stream)
        self._record_result(context, chain, result)
        if not isinstance(result, OpenedAnswer):
            return failure_reason(result)
        if result.facts.kind == AnswerKind.FAILURE:
            return await self._forward_failure(context, stream, result)
        end = await self._relay.run(context, stream, result)
        if isinstance(end, RelayEnd):
            if end.lost_address:
                self._avoid_stalled_engine(
                    context, end.lost_address, self._clock.now_s()
                )
            return end.reason
        await self._complete(context, stream, result, profile)
        return None

    async def _open(
        self,
        context: RequestContext,
        chain: Chain,
        stream: DraftStream,
    ) -> OpenResult:
        now_s = self._clock.now_s()
        left_s = context.left_s(now_s)
        # An id that is not a number is forwarded until an event was sent.
        resume_after = context.facts.resume_after
        if stream.last_event_id >= 0:
            resume_after = str(stream.last_event_id)
        dispatch = Dispatch(
            target=chain[0].target,
            team=context.team,
            time_left_s=left_s,
            chain=tuple(
                (stage.address, stage.layers.start, stage.layers.stop)
                for stage in chain
            ),
            resume_after=resume_after,
        )
        request = self._attempts.header_codec.write_request(
            context.request, dispatch
        )
        connection = await self._attempts.send(
            OutboundRequest(
                address=chain[0].address,
                request_id=context.facts.request_id,
                request=request,
                # On a reused connection a request that was never read can't be
                # told from a lost answer.
                fresh=not context.route.retry_rule.may_retry,
                timeout_s=left_s,
                max_connections=self._view.max_connections_per_target(
                    context.pool, now_s
                ),
            ),
        )
        if isinstance(connection, NotSent):
            return connection
        if context.route.retry_rule.may_retry:
            self._watch.watch(context.reservation_key, connection, chain)
        try:
            event = await self._relay.next_event(
                context, connection, QUERY_AFTER_SEND_S
            )
        except BaseException:
            connection.close()
            raise
        if isinstance(event, AnswerStalled):
            connection.close()
            return Broken(
                'no first event',
                is_timeout=True,
                lost_address=event.address,
            )
        return self._attempts.classify_first_event(connection, event)

    def _record_result(
        self, context: RequestContext, chain: Chain, result: OpenResult
    ) -> None:
        now_s = self._clock.now_s()
        first_engine = chain[0].target
        if isinstance(result, NotSent):
            kind = Fault.FULL if result.is_full else Fault.UNREACHABLE
            if not result.is_full:
                context.lost.add(first_engine)
            self._record_fault(context, first_engine, kind, now_s)
            return
        context.sends += 1
        if first_engine not in context.targets:
            context.targets.append(first_engine)
        if isinstance(result, Refused):
            named_target = self._view.find_target_at(
                result.facts.unreachable_address
            )
            target = named_target or first_engine
            is_full = (
                self._view.find_utilization(target, now_s) > _FULL_UTILIZATION
            )
            kind = Fault.FULL if is_full else Fault.NAMED_AT_FAULT
            self._record_fault(context, target, kind, now_s)
            return
        context.may_have_run = True
        if isinstance(result, Broken):
            self._record_broken(context, chain, result, now_s)
        else:
            self._view.faults.succeeded(first_engine, now_s)

    def _record_broken(
        self,
        context: RequestContext,
        chain: Chain,
        result: Broken,
        now_s: float,
    ) -> None:
        if result.is_timeout:
            self._avoid_stalled_engine(context, result.lost_address, now_s)
        else:
            self._record_fault(context, chain[0].target, Fault.BROKE_OFF, now_s)

    async def _recheck_avoided(self, context: RequestContext) -> None:
        """Check avoided targets once the route's limit on targets is reached.

        Those of the route's targets that are avoided are checked. Unreachable
        ones are recorded as lost (they no longer count toward the limit); the
        others may be tried again.
        """
        for name in (
            context.allowed_targets() or frozenset()
        ) & context.avoided:
            entry = self._view.targets.find(name)
            if entry is None or await self._watch.is_unreachable(entry.address):
                context.lost.add(name)
            else:
                context.avoided.discard(name)

    def _avoid_stalled_engine(
        self, context: RequestContext, address: str, now_s: float
    ) -> None:
        """Avoid the engine that stalls a stream, if it is known."""
        target = self._view.find_target_at(address)
        if target is not None:
            self._record_fault(context, target, Fault.SILENT, now_s)

    def _record_fault(
        self,
        context: RequestContext,
        target: str,
        fault: Fault,
        now_s: float,
    ) -> None:
        """Record a fault of a target.

        This request avoids the target from now on, and the daemon leaves it
        out for some time.
        """
        context.avoided.add(target)
        left_out_s = self._view.faults.record_fault(target, fault, now_s)
        self._log.decided(
            'target_left_out',
            request=context.facts.request_id,
            target=target,
            fault=fault.value,
            left_out_s=left_out_s,
        )

    async def _forward_failure(
        self,
        context: RequestContext,
        stream: DraftStream,
        opened: OpenedAnswer,
    ) -> str | None:
        """Forward an engine's own failure unless the answer has begun.

        :returns: ``None`` if it was forwarded, otherwise the failure reason.
        """
        if stream.has_head:
            opened.connection.close()
            return f'engine answered {opened.head.status}'
        left_s = context.left_s(self._clock.now_s())
        answer = await self._attempts.read_body(opened, left_s)
        if isinstance(answer, Broken):
            return answer.reason
        await self._answer_sender.forward(context, answer)
        return None

    async def _complete(
        self,
        context: RequestContext,
        stream: DraftStream,
        opened: OpenedAnswer,
        profile: ModelProfile,
    ) -> None:
        self._attempts.release_connection(opened)
        tokens = stream.events * profile.tokens_per_event
        answer_lengths = self._view.answer_lengths(context.pool.name, profile)
        answer_lengths.add_length(context.route.name, tokens)
        self._admission.retry_times.record_ended_draft(self._clock.now_s())
        status = opened.head.status
        self._answer_sender.record_end(
            context, 'answered', status, '', _timing_fields(context, stream)
        )
        await context.answer.end()

    async def _answer_failure(
        self,
        context: RequestContext,
        stream: DraftStream,
        profile: ModelProfile,
        reason: str,
    ) -> None:
        if stream.has_head:
            self._answer_sender.record_end(
                context, 'cut', 0, reason, self._cut_fields(context, stream)
            )
            context.answer.abort()
            return
        is_late = context.is_out_of_time(self._clock.now_s())
        if context.may_have_run:
            status = OwnAnswer.TIMEOUT if is_late else OwnAnswer.FAILED
            await self._answer_sender.send(context, status, reason=reason)
            return
        need = self._estimate_need(context, profile, stream)
        refusal = self._admission.new_refusal(context, need)
        await self._answer_sender.send(
            context,
            OwnAnswer.NOT_RUN,
            reason=reason,
            retry_after_s=refusal.retry_after_s,
            log_fields=refusal.log_fields,
        )

    def _cut_fields(
        self, context: RequestContext, stream: DraftStream
    ) -> dict[str, object]:
        """Return the log fields of a stream that is cut."""
        fields = _timing_fields(context, stream)
        if stream.first_event_s is not None:
            silent_s = self._clock.now_s() - stream.last_event_s
            fields['silent_s'] = round(silent_s, 3)
        fields['targets_listed'] = [
            name
            for name in context.targets
            if self._view.targets.find(name) is not None
        ]
        return fields


def _timing_fields(
    context: RequestContext, stream: DraftStream
) -> dict[str, object]:
    """Return the number of events and their timing, for the log."""
    if stream.first_event_s is None:
        return {'events': 0}
    return {
        'events': stream.events,
        'first_event_s': round(stream.first_event_s - context.received_s, 3),
        'longest_pause_s': round(stream.longest_pause_s, 3),
    }
