"""Serves drafts: reserves a chain, relays events, and resumes an interrupted
stream if the route allows it.

A draft is a request for generated text. It runs on a chain: engines that hold
consecutive ranges of a model's layers. Its answer is a stream of events.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.edge.attempts import (
    Broken,
    NotSent,
    OpenedAnswer,
    failure_reason,
)
from nutmegspoke.edge.chain_choice import ChainSelector
from nutmegspoke.edge.draft_admission import DraftAdmission
from nutmegspoke.edge.draft_replacements import DraftReplacements
from nutmegspoke.edge.hedged_drafts import (
    FirstEvent,
    FirstEventSlow,
    HedgedDrafts,
)
from nutmegspoke.edge.repeats import RetryPolicy
from nutmegspoke.edge.event_sender import SentStream
from nutmegspoke.edge.stream_relay import RelayEnd, StreamRelay
from nutmegspoke.edge.stream_watch import QUERY_AFTER_PAUSE_S, EngineSilent
from nutmegspoke.edge.work import OwnAnswer
from nutmegspoke.forwarded import AnswerKind
from nutmegspoke.routing.engine_loads import DraftNeed

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.attempts import Attempts, OpenResult
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.draft_runs import DraftRun, DraftRuns
    from nutmegspoke.edge.own_answers import AnswerSender
    from nutmegspoke.edge.stream_watch import StreamWatch
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.entry_host import ModelProfile
    from nutmegspoke.layers import Chain


class DraftHandler:
    """Handler of requests for drafts, which run on chains of engines."""

    def __init__(
        self,
        view: View,
        attempts: Attempts,
        answer_sender: AnswerSender,
        watch: StreamWatch,
        runs: DraftRuns,
        log: DecisionLog,
        hedged: HedgedDrafts,
        clock: Clock,
    ) -> None:
        """Create the handler and its admission queue."""
        self._relay = StreamRelay(attempts.header_codec, watch, runs, clock)
        chain_selector = ChainSelector(view, log, clock)
        self._admission = DraftAdmission(
            view, chain_selector.reserve_chain, clock
        )
        self._retries = RetryPolicy(view, log, clock)
        self._runs = runs
        self._hedged = hedged
        self._replacements = DraftReplacements(
            runs, self._admission, self._retries, self._hedged, watch, clock
        )
        self._view = view
        self._attempts = attempts
        self._answer_sender = answer_sender
        self._clock = clock

    async def serve(
        self,
        context: RequestContext,
        profile: ModelProfile,
    ) -> None:
        """Answer a draft."""
        stream = SentStream.after(context.facts.resume_after)
        try:
            reason = await self._run_until_answered(context, stream, profile)
        finally:
            self._runs.release_reservation(context)
            self._admission.ended(context)
        if reason is not None:
            await self._answer_failure(context, stream, profile, reason)

    async def _run_until_answered(
        self,
        context: RequestContext,
        stream: SentStream,
        profile: ModelProfile,
    ) -> str | None:
        """Run a draft until it is answered or no further run is possible.

        :returns: ``None`` if it was answered, otherwise the failure reason.
        """
        reason = 'no chain'
        while True:
            refusal = await self._runs.find_refusal(
                context, has_answer=stream.has_head
            )
            if refusal is not None:
                return refusal.reason.value
            chain = await self._admission.admit(
                context,
                self._estimate_need(context, profile, stream),
                is_new=not stream.has_head,
            )
            if chain is None:
                return reason
            failure = await self._run(context, chain, stream, profile)
            if failure is None:
                return None
            reason = failure
            if not await self._may_run_again(context, stream, reason):
                return reason

    async def _may_run_again(
        self, context: RequestContext, stream: SentStream, reason: str
    ) -> bool:
        if context.is_out_of_time(self._clock.now_s()):
            return False
        if not stream.position.is_known:
            return False
        await self._recheck_targets(context)
        return self._retries.allows(context, reason)

    def _estimate_need(
        self,
        context: RequestContext,
        profile: ModelProfile,
        stream: SentStream,
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
        stream: SentStream,
        profile: ModelProfile,
    ) -> str | None:
        """Run a draft on a chain, and on others while engines are silent.

        :returns: ``None`` if it was answered, otherwise the failure reason.
        """
        first_event = self._hedged.begin(context, stream, chain[0].target)
        run = await self._runs.start(context, chain, stream)
        if isinstance(run, NotSent):
            self._hedged.end_unless_seen(context, first_event)
            return run.reason
        try:
            while True:
                end = await self._follow(
                    context, run, stream, profile, first_event
                )
                if not isinstance(end, EngineSilent | FirstEventSlow):
                    return end
                run = await self._replacements.find_next_run(
                    context,
                    stream,
                    run,
                    end,
                    self._estimate_need(context, profile, stream),
                )
                first_event = None
        finally:
            self._hedged.end_unless_seen(context, first_event)
            self._runs.end_last(context, run)

    async def _follow(
        self,
        context: RequestContext,
        run: DraftRun,
        stream: SentStream,
        profile: ModelProfile,
        first_event: FirstEvent | None,
    ) -> EngineSilent | FirstEventSlow | str | None:
        """Relay a run until it ends or an engine is silent.

        :param first_event: the wait for the first event if another run may be
            sought as it is late.
        :returns: ``None`` if the draft was answered, the failure reason, the
            silent engine, or that the first event is late.
        """
        opened = await self._receive_head(context, run, first_event)
        if isinstance(opened, EngineSilent | FirstEventSlow):
            return opened
        if not isinstance(opened, OpenedAnswer):
            return failure_reason(opened)
        if opened.facts.kind == AnswerKind.FAILURE:
            return await self._forward_failure(context, stream, run, opened)
        query_after_s = QUERY_AFTER_PAUSE_S
        if first_event is not None:
            self._hedged.received_head(first_event)
            if await self._hedged.is_slow(context, run, first_event):
                return FirstEventSlow(first_event)
            self._hedged.end_if_seen(context, run, first_event)
            query_after_s = self._hedged.query_after_s(first_event)
        end = await self._relay.run(context, stream, run, opened, query_after_s)
        if isinstance(end, RelayEnd):
            run.is_broken_off = end.is_broken_off
            self._runs.avoid_stalled_engine(
                context, end.lost_address, self._clock.now_s()
            )
            return end.reason
        if end is None:
            await self._complete(context, stream, run, opened, profile)
        return end

    async def _receive_head(
        self,
        context: RequestContext,
        run: DraftRun,
        first_event: FirstEvent | None,
    ) -> OpenResult | EngineSilent | FirstEventSlow:
        """Return the answer of a run as soon as its head is received."""
        if run.opened is not None:
            return run.opened
        if first_event is not None and await self._hedged.is_slow(
            context, run, first_event
        ):
            return FirstEventSlow(first_event)
        event = await self._relay.next_event(
            context, run.connection, self._hedged.query_after_s(first_event)
        )
        if isinstance(event, EngineSilent):
            return event
        return self._runs.record_head(context, run, event)

    async def _recheck_targets(self, context: RequestContext) -> None:
        """Check the targets once the route's limit on targets is reached.

        Unreachable ones are recorded as lost (they no longer count toward the
        limit); the others may be tried again.
        """
        connections = self._attempts.connections
        for name in context.allowed_targets() or ():
            entry = self._view.targets.find(name)
            if entry is None or not await connections.is_reachable(
                entry.address
            ):
                context.lost.add(name)
            else:
                context.avoided.discard(name)

    async def _forward_failure(
        self,
        context: RequestContext,
        stream: SentStream,
        run: DraftRun,
        opened: OpenedAnswer,
    ) -> str | None:
        """Forward an engine's own failure unless the answer has begun.

        :returns: ``None`` if it was forwarded, otherwise the failure reason.
        """
        if stream.has_head:
            return f'engine answered {opened.head.status}'
        left_s = context.left_s(self._clock.now_s())
        answer = await self._attempts.read_body(opened, context.held, left_s)
        # The connection may carry another request from now on.
        self._runs.forget(run)
        if isinstance(answer, Broken):
            return answer.reason
        await self._answer_sender.forward(context, answer)
        return None

    async def _complete(
        self,
        context: RequestContext,
        stream: SentStream,
        run: DraftRun,
        opened: OpenedAnswer,
        profile: ModelProfile,
    ) -> None:
        self._runs.complete(run, opened)
        tokens = stream.events * profile.tokens_per_event
        answer_lengths = self._view.answer_lengths(context.pool.name, profile)
        answer_lengths.add_length(context.route.name, tokens)
        self._admission.retry_times.record_ended_draft(self._clock.now_s())
        await self._answer_sender.end_stream(
            context, stream, opened.head.status
        )

    async def _answer_failure(
        self,
        context: RequestContext,
        stream: SentStream,
        profile: ModelProfile,
        reason: str,
    ) -> None:
        if stream.has_head:
            self._answer_sender.cut_stream(context, stream, reason)
            return
        is_late = context.is_out_of_time(self._clock.now_s())
        if context.may_have_run:
            status = OwnAnswer.TIMEOUT if is_late else OwnAnswer.FAILED
            await self._answer_sender.send(context, status, reason=reason)
            return
        need = self._estimate_need(context, profile, stream)
        refusal = self._admission.new_refusal(context, need)
        retry_after_s = refusal.retry_after_s
        quarantine = await self._runs.find_refusal(context)
        if quarantine is not None and quarantine.retry_after_s is not None:
            retry_after_s = quarantine.retry_after_s
        await self._answer_sender.send(
            context,
            OwnAnswer.NOT_RUN,
            reason=reason,
            retry_after_s=retry_after_s,
            log_fields=refusal.log_fields,
        )
