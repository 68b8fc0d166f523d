"""Looks for another run of a draft while an engine is silent.

A silent run stays open: its engine may go on at any time. The run that yields
something first is relayed, and the others end. A run whose first event is late
is handled alike, though nothing is held against its engines.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING

from nutmegspoke.edge.answer_reader import (
    AnswerHead,
    AnswerLost,
    AnswerStalled,
)
from nutmegspoke.edge.attempts import OpenedAnswer
from nutmegspoke.edge.draft_runs import DraftRun
from nutmegspoke.edge.hedged_drafts import FirstEventSlow
from nutmegspoke.edge.stream_watch import QUERY_AFTER_SEND_S
from nutmegspoke.forwarded import AnswerKind

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.draft_admission import DraftAdmission
    from nutmegspoke.edge.draft_runs import DraftRuns
    from nutmegspoke.edge.hedged_drafts import FirstEvent, HedgedDrafts
    from nutmegspoke.edge.repeats import RetryPolicy
    from nutmegspoke.edge.event_sender import SentStream
    from nutmegspoke.edge.stream_watch import EngineSilent, StreamWatch
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.routing.engine_loads import DraftNeed

logger = logging.getLogger(__name__)

# Factor by which the pause between two searches grows.
_SEARCH_BACKOFF = 2.0


@dataclasses.dataclass(eq=False, slots=True)
class _Search:
    """Search for the next run of a draft.

    :param context: the request.
    :param stream: part of the answer that was sent to the caller.
    :param need: memory that another run needs.
    :param open_runs: runs that may yield the next event.
    :param arrival: set when one of them has an event.
    :param suspects: names of silent engines.
    :param first_event: the wait for the first event if it is only late.
    """

    context: RequestContext
    stream: SentStream
    need: DraftNeed
    open_runs: list[DraftRun] = dataclasses.field(default_factory=list)
    arrival: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    suspects: set[str] = dataclasses.field(default_factory=set)
    first_event: FirstEvent | None = None

    def add_run(self, run: DraftRun) -> None:
        """Add a run that may yield the next event."""
        self.open_runs.append(run)
        run.connection.notify(self.arrival)


class DraftReplacements:
    """Starts further runs of drafts whose engines are silent."""

    def __init__(
        self,
        runs: DraftRuns,
        admission: DraftAdmission,
        retries: RetryPolicy,
        hedged: HedgedDrafts,
        watch: StreamWatch,
        clock: Clock,
    ) -> None:
        """Store the parts that choose and start further runs."""
        self._runs = runs
        self._admission = admission
        self._retries = retries
        self._hedged = hedged
        self._watch = watch
        self._clock = clock

    async def find_next_run(
        self,
        context: RequestContext,
        stream: SentStream,
        silent_run: DraftRun,
        end: EngineSilent | FirstEventSlow,
        need: DraftNeed,
    ) -> DraftRun:
        """Return the run that goes on first; all others end.

        :param silent_run: run whose engine is silent, or whose first event is
            late.
        :param end: which of both.
        :param need: memory that another run needs.
        :returns: a run that has an event; the last one left if all others
            have failed, or any if the deadline has passed.
        """
        search = _Search(context, stream, need)
        search.add_run(silent_run)
        if isinstance(end, FirstEventSlow):
            search.first_event = end.first_event
        else:
            self._suspect(search, end.address)
        seeker = asyncio.create_task(self._seek(search))
        try:
            next_run = await self._wait(search)
            self._end_others(search, next_run)
            await _stop(seeker)
        except BaseException:
            seeker.cancel()
            self._end_others(search, None)
            raise
        self._record_end(search, silent_run, next_run)
        return next_run

    def _record_end(
        self, search: _Search, silent_run: DraftRun, next_run: DraftRun
    ) -> None:
        context = search.context
        is_replaced = next_run is not silent_run
        is_lost = isinstance(next_run.connection.peek(), AnswerLost)
        if not is_replaced and not is_lost:
            context.avoided -= search.suspects
        if search.first_event is not None:
            has_event = next_run.opened is not None and not is_lost
            has_event = has_event and next_run.connection.peek() is not None
            self._hedged.end(
                context,
                search.first_event,
                run=next_run if has_event else None,
            )
        if search.suspects:
            self._runs.record_silence_end(
                context, next_run, search.suspects, is_replaced=is_replaced
            )

    async def _wait(self, search: _Search) -> DraftRun:
        """Wait until a run goes on or fails as the last one.

        :returns: the run; after the deadline, any of the runs.
        """
        left_s = search.context.left_s(self._clock.now_s())
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                return await self._wait_for_arrivals(search)
        except TimeoutError:
            return search.open_runs[0]

    async def _wait_for_arrivals(self, search: _Search) -> DraftRun:
        while True:
            await search.arrival.wait()
            search.arrival.clear()
            run = await self._take_arrivals(search)
            if run is not None:
                return run

    async def _take_arrivals(self, search: _Search) -> DraftRun | None:
        """Return a run that goes on; remove those that have failed."""
        for run in tuple(search.open_runs):
            if search.stream.has_head:
                await self._skip_stalls(search, run)
            if search.first_event is not None:
                await self._take_head(search, run)
            if run.connection.peek() is None:
                continue
            if len(search.open_runs) == 1 or await self._goes_on(search, run):
                return run
            search.open_runs.remove(run)
            # Its engine may have crashed under the draft, and is checked.
            is_lost = isinstance(run.connection.peek(), AnswerLost)
            run.is_broken_off |= search.first_event is not None and is_lost
            self._runs.end(run)
        return None

    async def _take_head(self, search: _Search, run: DraftRun) -> None:
        """Read the head of an answer, as it may come before the first event.

        That of a refusal, or of an engine's own failure, is left.
        """
        head = run.connection.peek()
        if run.opened is not None or not isinstance(head, AnswerHead):
            return
        if not self._runs.is_stream_head(head):
            return
        self._runs.record_head(
            search.context, run, await run.connection.next_event()
        )

    async def _skip_stalls(self, search: _Search, run: DraftRun) -> None:
        """Suspect the engines that have ended; the run stays open."""
        event = run.connection.peek()
        while isinstance(event, AnswerStalled):
            await run.connection.next_event()
            self._suspect(search, event.address)
            event = run.connection.peek()

    async def _goes_on(self, search: _Search, run: DraftRun) -> bool:
        """Return whether the event that a run has received is of use."""
        event = run.connection.peek()
        if run.opened is not None:
            return not isinstance(event, AnswerLost | AnswerStalled)
        result = self._runs.record_head(
            search.context, run, await run.connection.next_event()
        )
        if not isinstance(result, OpenedAnswer):
            return False
        is_failure = result.facts.kind == AnswerKind.FAILURE
        return not (is_failure and search.stream.has_head)

    async def _seek(self, search: _Search) -> None:
        """Start further runs, at growing intervals, while all are silent."""
        pause_s = QUERY_AFTER_SEND_S
        are_silent = search.first_event is None
        if search.first_event is not None:
            pause_s = self._hedged.query_after_s(search.first_event)
            await self._start_copy(search, search.first_event)
        while True:
            if are_silent:
                await self._start_other(search)
            await asyncio.sleep(pause_s)
            pause_s *= _SEARCH_BACKOFF
            are_silent = await self._are_all_silent(search)

    async def _start_other(self, search: _Search) -> None:
        """Start another run if there is a chain and the policy allows it."""
        context = search.context
        if not context.has_usable_target():
            # It would wait for memory in front of other drafts.
            return
        if not search.stream.position.is_known:
            return
        refusal = await self._runs.find_refusal(
            context, has_answer=search.stream.has_head
        )
        if refusal is not None:
            return
        chain = await self._admission.admit(
            context,
            search.need,
            is_new=not search.stream.has_head,
        )
        if chain is None:
            return
        if not self._retries.allows(context, 'engine silent'):
            self._runs.release_reservation(context)
            return
        run = await self._runs.start(context, chain, search.stream)
        if isinstance(run, DraftRun):
            search.add_run(run)

    async def _start_copy(
        self, search: _Search, first_event: FirstEvent
    ) -> None:
        """Start another run if a chain of other engines is free now."""
        context = search.context
        if not context.has_usable_target():
            return
        chain = self._admission.admit_beside(
            context, search.need, search.open_runs[0].chain
        )
        if chain is None:
            self._hedged.found_no_room(context)
            return
        if not self._hedged.may_start(context):
            self._runs.release_reservation(context)
            return
        run = await self._runs.start(context, chain, search.stream)
        if isinstance(run, DraftRun):
            self._hedged.started(context, first_event, run)
            search.add_run(run)

    async def _are_all_silent(self, search: _Search) -> bool:
        """Query the first engines; ``False`` if a run seems to go on."""
        for run in tuple(search.open_runs):
            address = await self._watch.find_silent_engine(
                run.connection, search.context.facts.request_id
            )
            if not address:
                return False
            self._suspect(search, address)
        return True

    def _suspect(self, search: _Search, address: str) -> None:
        target = self._runs.avoid_stalled_engine(
            search.context, address, self._clock.now_s()
        )
        if target is not None:
            search.suspects.add(target)

    def _end_others(self, search: _Search, next_run: DraftRun | None) -> None:
        """End the runs other than the next one."""
        self._runs.release_reservation(search.context)
        for run in search.open_runs:
            run.connection.notify(None)
            if run is not next_run:
                self._runs.end(run)


async def _stop(seeker: asyncio.Task[None]) -> None:
    """Cancel a task and wait for its end; log an error in it."""
    seeker.cancel()
    await asyncio.wait((seeker,))
    if not seeker.cancelled() and seeker.exception() is not None:
        logger.error(
            'drafts: search of a replacement failed',
            exc_info=seeker.exception(),
        )
