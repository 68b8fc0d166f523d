"""Serves drafts: finds a chain with room, passes events on, goes on after a
break where the route allows it.
"""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

from nutmegspoke.edge.answer_reader import AnswerEnd, AnswerPart
from nutmegspoke.edge.attempts import Broken, NotSent, Opened, Refused, Sending
from nutmegspoke.edge.draft_admission import DraftAdmission
from nutmegspoke.edge.stream_watch import ASK_FIRST_S, ASK_GAP_S, Stalled
from nutmegspoke.edge.work import OwnAnswer
from nutmegspoke.forwarded import AnswerKind, Dispatch
from nutmegspoke.pipelines.event_stream import EventSplitter
from nutmegspoke.retries.target_faults import Fault
from nutmegspoke.routing.room_chains import DraftNeed

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.attempts import Attempts, OpenResult
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.own_answers import OwnAnswers
    from nutmegspoke.edge.stream_watch import StreamWatch
    from nutmegspoke.edge.answer_reader import AnswerEvent
    from nutmegspoke.edge.target_connections import TargetConnection
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import Work
    from nutmegspoke.entry_host import ModelProfile
    from nutmegspoke.layers import Chain

# Sends of one request, refused and unreached ones included.
_MAX_SENDS = 4
# An engine that refuses while it is so full is short of room, not lost.
_FULL_SHARE = 0.6


@dataclasses.dataclass(slots=True)
class _Stream:
    """What the caller has of an answer.

    :param last_number: id of the last event passed on; -1 for none.
    :param events: number of events passed on.
    :param has_head: whether status and headers were passed on.
    """

    last_number: int = -1
    events: int = 0
    has_head: bool = False


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
        self._watch = watch
        self._admission = DraftAdmission(view, self._find, clock)
        self._view = view
        self._attempts = attempts
        self._own = own
        self._log = log
        self._clock = clock

    async def serve(self, work: Work, profile: ModelProfile) -> None:
        """Answer a draft."""
        stream = _Stream()
        if work.facts.resume_after.isdigit():
            stream.last_number = int(work.facts.resume_after)
        reason = 'no chain'
        try:
            while work.sends < _MAX_SENDS:
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
                if not self._may_go_on(work):
                    break
        finally:
            self._view.ledger.release(work.room_key)
        await self._give_up(work, stream, profile, reason)

    def _need(
        self,
        work: Work,
        profile: ModelProfile,
        stream: _Stream,
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

    def _find(self, work: Work, need: DraftNeed) -> Chain | None:
        now_s = self._clock.now_s()
        pool = work.pool
        engines = self._view.engine_loads(
            pool.name,
            pool.profile,
            work.avoided,
            now_s,
        )
        crossings = self._view.crossings(pool.name, pool.profile)
        daemons = self._view.board.daemons(now_s) + 1
        chain = self._view.finder(pool.name).find(
            engines,
            need,
            may_cross=crossings.may_cross(daemons, now_s),
        )
        if chain is None:
            return None
        crossed = self._crossed(chain)
        crossings.crossed(crossed, now_s)
        self._view.ledger.promise(work.room_key, chain, need.room_tokens)
        self._log.decided(
            'chain_chosen',
            request=work.facts.request_id,
            room_tokens=round(need.room_tokens),
            engines=len(engines),
            avoided=sorted(work.avoided),
            daemons_heard=daemons - 1,
            crossings=crossed,
            chain=[f'{stage.target}={stage.layers}' for stage in chain],
        )
        return chain

    def _crossed(self, chain: Chain) -> int:
        """Return how often a chain passes from zone to zone."""
        zones = [self._view.zone_of(stage.target) for stage in chain]
        return sum(
            1 for here, there in itertools.pairwise(zones) if here != there
        )

    async def _run(
        self,
        work: Work,
        chain: Chain,
        stream: _Stream,
        profile: ModelProfile,
    ) -> str | None:
        """Run a draft over a chain.

        :returns: ``None`` if it is answered, else why it is not.
        """
        result = await self._open(work, chain, stream)
        self._learn(work, chain, result)
        if not isinstance(result, Opened):
            return _reason(result)
        if result.facts.kind == AnswerKind.FAILURE:
            return await self._failure(work, stream, result)
        return await self._relay(work, stream, result, profile)

    async def _open(
        self,
        work: Work,
        chain: Chain,
        stream: _Stream,
    ) -> OpenResult:
        left_s = work.left_s(self._clock.now_s())
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
                fresh=not work.route.repeat_rule.may_repeat,
                limit_s=left_s,
            ),
        )
        if isinstance(sent, NotSent):
            return sent
        try:
            event = await self._next_event(work, sent, ASK_FIRST_S)
        except BaseException:
            sent.close()
            raise
        if isinstance(event, Stalled):
            sent.close()
            return Broken(event.address, is_silent=True)
        return self._attempts.opened(sent, event)

    async def _next_event(
        self,
        work: Work,
        connection: TargetConnection,
        ask_after_s: float,
    ) -> AnswerEvent | Stalled:
        return await self._watch.next_event(
            connection,
            work.facts.request_id,
            ask_after_s,
            max(0.0, work.left_s(self._clock.now_s())),
        )

    def _learn(self, work: Work, chain: Chain, result: OpenResult) -> None:
        now_s = self._clock.now_s()
        first = chain[0].target
        if isinstance(result, NotSent):
            self._fault(work, first, Fault.UNREACHABLE, now_s)
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
            if result.is_silent:
                self._stalled(work, result.reason, now_s)
            else:
                self._fault(work, first, Fault.BROKE_OFF, now_s)
        else:
            self._view.faults.worked(first, now_s)

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
        stream: _Stream,
        opened: Opened,
    ) -> str | None:
        """Pass an engine's own failure on, unless another run may follow."""
        if stream.has_head:
            opened.connection.close()
            return f'engine answered {opened.head.status}'
        whole = await self._attempts.rest(
            opened,
            work.left_s(
                self._clock.now_s(),
            ),
        )
        if isinstance(whole, Broken):
            return whole.reason
        await self._own.pass_on(work, whole)
        return None

    async def _relay(
        self,
        work: Work,
        stream: _Stream,
        opened: Opened,
        profile: ModelProfile,
    ) -> str | None:
        """Pass events on as they come.

        :returns: ``None`` if the stream is complete, else why it is not.
        """
        splitter = EventSplitter()
        try:
            while True:
                event = await self._next_event(
                    work,
                    opened.connection,
                    ASK_GAP_S,
                )
                if isinstance(event, Stalled):
                    self._stalled(work, event.address, self._clock.now_s())
                    return f'stream stalled at {event.address}'
                if isinstance(event, AnswerPart):
                    await self._pass_on(work, stream, opened, splitter, event)
                elif isinstance(event, AnswerEnd) and not splitter.has_rest:
                    await self._complete(work, stream, opened, profile)
                    return None
                else:
                    return 'stream broke off'
        finally:
            if opened.connection.is_open_answer():
                opened.connection.close()

    async def _pass_on(
        self,
        work: Work,
        stream: _Stream,
        opened: Opened,
        splitter: EventSplitter,
        part: AnswerPart,
    ) -> None:
        events = [
            event
            for event in splitter.feed(part.body)
            if event.number is None or event.number > stream.last_number
        ]
        if not events:
            return
        await self._begin(work, stream, opened)
        await work.answer.send(b''.join(event.raw for event in events))
        stream.events += len(events)
        if events[-1].number is not None:
            stream.last_number = events[-1].number

    async def _begin(
        self,
        work: Work,
        stream: _Stream,
        opened: Opened,
    ) -> None:
        if stream.has_head:
            return
        stream.has_head = True
        headers = self._attempts.dialect.returned_headers(opened.head.headers)
        await work.answer.begin(opened.head.status, headers, None)

    async def _complete(
        self,
        work: Work,
        stream: _Stream,
        opened: Opened,
        profile: ModelProfile,
    ) -> None:
        await self._begin(work, stream, opened)
        self._attempts.ended(opened)
        tokens = stream.events * profile.tokens_per_event
        lengths = self._view.lengths(work.pool.name, profile)
        lengths.ended(work.route.name, tokens)
        self._admission.returns.draft_ended(self._clock.now_s())
        self._own.record(work, 'answered', opened.head.status, '')
        await work.answer.end()

    def _may_go_on(self, work: Work) -> bool:
        now_s = self._clock.now_s()
        if not work.may_be_sent or work.left_s(now_s) <= 0:
            return False
        if len(work.targets) > work.route.max_targets:
            return False
        if not work.sends:
            return True
        daemons = self._view.budget_daemons(now_s)
        return self._view.budget(work.pool.name).take(daemons, now_s)

    async def _give_up(
        self,
        work: Work,
        stream: _Stream,
        profile: ModelProfile,
        reason: str,
    ) -> None:
        if stream.has_head:
            self._own.record(work, 'cut', 0, reason)
            work.answer.cut()
            return
        is_late = work.is_out_of_time(self._clock.now_s())
        if work.may_have_run:
            status = OwnAnswer.TIMEOUT if is_late else OwnAnswer.FAILED
            await self._own.send(work, status, reason=reason)
            return
        await self._own.send(
            work,
            OwnAnswer.NOT_RUN,
            reason=reason,
            retry_after_s=self._admission.retry_after_s(
                work,
                self._need(work, profile, stream),
            ),
        )


def _reason(result: OpenResult) -> str:
    match result:
        case NotSent(reason=reason) | Broken(reason=reason):
            return reason
        case Refused(status=status):
            return f'refused with {status}'
        case _:
            return ''
