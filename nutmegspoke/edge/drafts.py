"""Serves drafts: finds a chain with room, passes events on, goes on after a
break where the route allows it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.edge.answer_reader import AnswerStalled
from nutmegspoke.edge.attempts import (
    Broken,
    NotSent,
    Opened,
    Refused,
    Sending,
    failure_reason,
)
from nutmegspoke.edge.chain_choice import ChainChoice
from nutmegspoke.edge.draft_admission import DraftAdmission
from nutmegspoke.edge.repeats import Repeats
from nutmegspoke.edge.stream_relay import DraftStream, RelayEnd, StreamRelay
from nutmegspoke.edge.stream_watch import ASK_FIRST_S
from nutmegspoke.edge.work import OwnAnswer
from nutmegspoke.forwarded import AnswerKind, Dispatch
from nutmegspoke.retries.target_faults import Fault
from nutmegspoke.routing.engine_loads import DraftNeed

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.attempts import Attempts, OpenResult
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.own_answers import OwnAnswers
    from nutmegspoke.edge.stream_watch import StreamWatch
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import Work
    from nutmegspoke.entry_host import ModelProfile
    from nutmegspoke.layers import Chain

# An engine that refuses while it is so full is short of room, not lost.
_FULL_SHARE = 0.6


class Drafts:
    """Runs drafts over chains of engines."""

    def __init__(
        self,
        view: View,
        attempts: Attempts,
        own: OwnAnswers,
        watch: StreamWatch,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        """Use the view and the connections."""
        self._relay = StreamRelay(attempts.dialect, watch, clock)
        self._watch = watch
        choice = ChainChoice(view, log, clock)
        self._admission = DraftAdmission(view, choice.find, clock)
        self._repeats = Repeats(view, log, clock)
        self._view = view
        self._attempts = attempts
        self._own = own
        self._log = log
        self._clock = clock

    async def serve(
        self,
        work: Work,
        profile: ModelProfile,
    ) -> None:
        """Answer a draft."""
        stream = DraftStream()
        if work.facts.resume_after.isdigit():
            stream.last_number = int(work.facts.resume_after)
        reason = 'no chain'
        try:
            while True:
                chain = await self._admission.admit(
                    work,
                    self._need(work, profile, stream),
                    is_new=not stream.has_head,
                )
                if chain is None:
                    break
                ended = await self._run(work, chain, stream, profile)
                if ended is None:
                    return
                reason = ended
                await self._check_targets(work)
                if not self._repeats.allows(work, reason):
                    break
        finally:
            self._view.ledger.release(work.room_key)
            self._watch.unfollow(work.room_key)
        await self._give_up(work, stream, profile, reason)

    def _need(
        self,
        work: Work,
        profile: ModelProfile,
        stream: DraftStream,
    ) -> DraftNeed:
        facts = work.facts
        answer_tokens = self._view.lengths(work.pool.name, profile).expect(
            work.route.name,
            facts.max_answer_tokens,
            facts.hinted_answer_tokens,
        )
        written = stream.events * profile.tokens_per_event
        return DraftNeed(
            facts.prompt_tokens + written,
            max(profile.tokens_per_event, answer_tokens - written),
        )

    async def _run(
        self,
        work: Work,
        chain: Chain,
        stream: DraftStream,
        profile: ModelProfile,
    ) -> str | None:
        """Run a draft over a chain.

        :returns: ``None`` if it is answered, else why it is not.
        """
        result = await self._open(work, chain, stream)
        self._learn(work, chain, result)
        if not isinstance(result, Opened):
            return failure_reason(result)
        if result.facts.kind == AnswerKind.FAILURE:
            return await self._failure(work, stream, result)
        end = await self._relay.run(work, stream, result)
        if isinstance(end, RelayEnd):
            if end.lost_address:
                self._stalled(work, end.lost_address, self._clock.now_s())
            return end.reason
        await self._complete(work, stream, result, profile)
        return None

    async def _open(
        self,
        work: Work,
        chain: Chain,
        stream: DraftStream,
    ) -> OpenResult:
        now_s = self._clock.now_s()
        left_s = work.left_s(now_s)
        resume_after = work.facts.resume_after
        if stream.last_number >= 0:
            resume_after = str(stream.last_number)
        dispatch = Dispatch(
            target=chain[0].target,
            team=work.team,
            time_left_s=left_s,
            chain=tuple(
                (stage.address, stage.layers.start, stage.layers.stop)
                for stage in chain
            ),
            resume_after=resume_after,
        )
        request = self._attempts.dialect.write_request(work.request, dispatch)
        sent = await self._attempts.send(
            Sending(
                address=chain[0].address,
                request_id=work.facts.request_id,
                request=request,
                fresh=not work.route.retry_rule.may_retry,
                limit_s=left_s,
                max_connections=self._view.connection_share(work.pool, now_s),
            ),
        )
        if isinstance(sent, NotSent):
            return sent
        if work.route.retry_rule.may_retry:
            self._watch.follow(work.room_key, sent, chain)
        try:
            event = await self._relay.next_event(work, sent, ASK_FIRST_S)
        except BaseException:
            sent.close()
            raise
        if isinstance(event, AnswerStalled):
            sent.close()
            return Broken(
                'no first event',
                is_silent=True,
                lost_address=event.address,
            )
        return self._attempts.opened(sent, event)

    def _learn(self, work: Work, chain: Chain, result: OpenResult) -> None:
        now_s = self._clock.now_s()
        first = chain[0].target
        if isinstance(result, NotSent):
            kind = Fault.FULL if result.is_full else Fault.UNREACHABLE
            if not result.is_full:
                work.lost.add(first)
            self._fault(work, first, kind, now_s)
            return
        work.sends += 1
        if first not in work.targets:
            work.targets.append(first)
        if isinstance(result, Refused):
            at_fault = self._view.name_at(result.facts.target_at_fault)
            target = at_fault or first
            is_full = self._view.fill_of(target, now_s) > _FULL_SHARE
            kind = Fault.FULL if is_full else Fault.NAMED_AT_FAULT
            self._fault(work, target, kind, now_s)
            return
        work.may_have_run = True
        if isinstance(result, Broken):
            self._broke(work, chain, result, now_s)
        else:
            self._view.faults.succeeded(first, now_s)

    def _broke(
        self,
        work: Work,
        chain: Chain,
        result: Broken,
        now_s: float,
    ) -> None:
        if result.is_silent:
            self._stalled(work, result.lost_address, now_s)
        else:
            self._fault(work, chain[0].target, Fault.BROKE_OFF, now_s)

    async def _check_targets(self, work: Work) -> None:
        """Find out which targets are gone, once no others may be tried."""
        for name in (work.may_begin_at() or frozenset()) & work.avoided:
            entry = self._view.targets.find(name)
            if entry is None or await self._watch.is_gone(entry.address):
                work.lost.add(name)
            else:
                work.avoided.discard(name)

    def _stalled(self, work: Work, address: str, now_s: float) -> None:
        """Leave out the engine that a stream waits for, if it is known."""
        target = self._view.name_at(address)
        if target is not None:
            self._fault(work, target, Fault.SILENT, now_s)

    def _fault(
        self,
        work: Work,
        target: str,
        fault: Fault,
        now_s: float,
    ) -> None:
        work.avoided.add(target)
        left_out_s = self._view.faults.failed(target, fault, now_s)
        self._log.decided(
            'target_left_out',
            request=work.facts.request_id,
            target=target,
            fault=fault.value,
            left_out_s=left_out_s,
        )

    async def _failure(
        self,
        work: Work,
        stream: DraftStream,
        opened: Opened,
    ) -> str | None:
        """Pass an engine's own failure on, if nothing else was passed on."""
        if stream.has_head:
            opened.connection.close()
            return f'engine answered {opened.head.status}'
        left_s = work.left_s(self._clock.now_s())
        whole = await self._attempts.rest(opened, left_s)
        if isinstance(whole, Broken):
            return whole.reason
        await self._own.pass_on(work, whole)
        return None

    async def _complete(
        self,
        work: Work,
        stream: DraftStream,
        opened: Opened,
        profile: ModelProfile,
    ) -> None:
        self._attempts.ended(opened)
        tokens = stream.events * profile.tokens_per_event
        lengths = self._view.lengths(work.pool.name, profile)
        lengths.ended(work.route.name, tokens)
        self._admission.returns.record_ended_draft(self._clock.now_s())
        status = opened.head.status
        self._own.record(work, 'answered', status, '', _pace(work, stream))
        await work.answer.end()

    async def _give_up(
        self,
        work: Work,
        stream: DraftStream,
        profile: ModelProfile,
        reason: str,
    ) -> None:
        if stream.has_head:
            self._own.record(work, 'cut', 0, reason, _pace(work, stream))
            work.answer.cut()
            return
        is_late = work.is_out_of_time(self._clock.now_s())
        if work.may_have_run:
            status = OwnAnswer.TIMEOUT if is_late else OwnAnswer.FAILED
            await self._own.send(work, status, reason=reason)
            return
        need = self._need(work, profile, stream)
        refusal = self._admission.refuse(work, need)
        await self._own.send(
            work,
            OwnAnswer.NOT_RUN,
            reason=reason,
            retry_after_s=refusal.retry_after_s,
            inputs=refusal.inputs,
        )


def _pace(work: Work, stream: DraftStream) -> dict[str, object]:
    """Return how an answer came, for the log."""
    if stream.first_event_s is None:
        return {'events': 0}
    return {
        'events': stream.events,
        'first_event_s': round(stream.first_event_s - work.arrived_s, 3),
        'longest_pause_s': round(stream.longest_pause_s, 3),
    }
