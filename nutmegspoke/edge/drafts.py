"""Serves drafts: finds a chain with room, passes events on, goes on after a
break where the route allows it.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.edge.attempts import Broken, NotSent, Opened, Refused, Sending
from nutmegspoke.edge.target_connections import AnswerEnd, AnswerPart
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
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import Work
    from nutmegspoke.entry_host import ModelProfile
    from nutmegspoke.layers import Chain

# Sends of one request, refused and unreached ones included.
_MAX_SENDS = 4
# Callers give a stream up after two seconds without an event; a second run
# needs some of that time to read the prompt.
_FIRST_EVENT_LIMIT_S = 1.2
_GAP_LIMIT_S = 0.9
# Time in which a chain that lost an engine has its layers again.
_NO_CHAIN_RETRY_AFTER_S = 2.0
# Time in which a full chain has room again: part of a usual draft's run.
_FULL_RETRY_AFTER_S = 0.8


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
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        """Use the view and the connections."""
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
                chain = self._admit(work, profile, stream)
                if chain is None:
                    break
                ended = await self._run(work, chain, stream, profile)
                if ended is None:
                    return
                reason = ended
                if not self._may_go_on(work):
                    break
        finally:
            self._view.ledger.release(_room_key(work))
        await self._give_up(work, stream, reason)

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

    def _admit(
        self,
        work: Work,
        profile: ModelProfile,
        stream: _Stream,
    ) -> Chain | None:
        now_s = self._clock.now_s()
        pool = work.pool.name
        need = self._need(work, profile, stream)
        engines = self._view.engine_loads(pool, profile, work.avoided, now_s)
        chain = self._view.finder(pool).find(engines, need)
        self._log.decided(
            'chain_chosen',
            request=work.facts.request_id,
            room_tokens=round(need.room_tokens),
            engines=len(engines),
            avoided=sorted(work.avoided),
            daemons_heard=self._view.board.daemons(now_s),
            chain=[f'{stage.target}={stage.layers}' for stage in chain or ()],
        )
        if chain is not None:
            self._view.ledger.promise(
                _room_key(work),
                chain,
                need.room_tokens,
            )
        return chain

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
        may_repeat = work.route.repeat_rule.may_repeat
        limit_s = min(left_s, _FIRST_EVENT_LIMIT_S) if may_repeat else left_s
        return await self._attempts.open(
            Sending(
                address=chain[0].address,
                request_id=work.facts.request_id,
                request=request,
                fresh=not may_repeat,
                limit_s=max(0.0, limit_s),
            ),
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
            self._fault(work, at_fault or first, Fault.NAMED_AT_FAULT, now_s)
            return
        work.may_have_run = True
        if isinstance(result, Broken):
            kind = Fault.SILENT if result.is_silent else Fault.BROKE_OFF
            self._fault(work, first, kind, now_s)
        else:
            self._view.faults.worked(first, now_s)

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
                left_s = work.left_s(self._clock.now_s())
                limit_s = max(0.0, min(_GAP_LIMIT_S, left_s))
                try:
                    async with asyncio.timeout(limit_s):
                        event = await opened.connection.next_event()
                except TimeoutError:
                    return 'stream fell silent'
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

    async def _give_up(self, work: Work, stream: _Stream, reason: str) -> None:
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
            retry_after_s=_FULL_RETRY_AFTER_S,
        )


def _room_key(work: Work) -> str:
    return work.facts.request_id


def _reason(result: OpenResult) -> str:
    match result:
        case NotSent(reason=reason) | Broken(reason=reason):
            return reason
        case Refused(status=status):
            return f'refused with {status}'
        case _:
            return ''
