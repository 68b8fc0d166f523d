"""Relays the events of a stream to its caller."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.edge.answer_reader import (
    AnswerEnd,
    AnswerPart,
    AnswerStalled,
)
from nutmegspoke.edge.stream_watch import QUERY_AFTER_PAUSE_S, EngineSilent
from nutmegspoke.pipelines.stream_position import Placement, StreamPosition

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.answer_reader import AnswerEvent
    from nutmegspoke.edge.attempts import OpenedAnswer
    from nutmegspoke.edge.draft_runs import DraftRun, DraftRuns
    from nutmegspoke.edge.stream_watch import StreamWatch
    from nutmegspoke.edge.target_connections import TargetConnection
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.entry_host import EntryRoute
    from nutmegspoke.forwarded import HeaderCodec
    from nutmegspoke.pipelines.event_stream import EventSplitter


@dataclasses.dataclass(slots=True)
class DraftStream:
    """The part of a draft's answer that was sent to its caller.

    :param position: position up to which it was sent.
    :param events: number of events sent.
    :param has_head: whether status and headers were sent.
    :param first_event_s: time of the first event; ``None`` before it.
    :param last_event_s: time of the last event.
    :param longest_pause_s: longest time between two writes of events.
    """

    position: StreamPosition = dataclasses.field(default_factory=StreamPosition)
    events: int = 0
    has_head: bool = False
    first_event_s: float | None = None
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0

    def record_events(self, count: int, now_s: float) -> None:
        """Record that a number of events was sent."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            pause_s = now_s - self.last_event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_s = now_s
        self.events += count

    def is_late(self, received_s: float, route: EntryRoute) -> bool:
        """Return whether the first event or a pause missed its goal.

        :param received_s: time at which the request was received.
        """
        if self.first_event_s is None:
            return True
        if self.first_event_s - received_s > route.goal_s:
            return True
        return 0 < route.gap_goal_s < self.longest_pause_s


@dataclasses.dataclass(frozen=True, slots=True)
class RelayEnd:
    """End of a stream that is incomplete.

    :param reason: cause of the interruption.
    :param lost_address: ``IP:PORT`` of the lost engine that stalled the
        stream; empty if unknown.
    :param is_broken_off: whether the first engine ended the connection.
    """

    reason: str
    lost_address: str = ''
    is_broken_off: bool = False


class StreamRelay:
    """Relay that sends each complete event once and in order."""

    def __init__(
        self,
        header_codec: HeaderCodec,
        watch: StreamWatch,
        runs: DraftRuns,
        clock: Clock,
    ) -> None:
        """Create a relay.

        :param header_codec: writes the headers of answers.
        :param watch: detects lost engines for resumable streams.
        :param runs: receives the progress of runs.
        :param clock: clock of the process.
        """
        self._header_codec = header_codec
        self._watch = watch
        self._runs = runs
        self._clock = clock

    async def run(
        self,
        context: RequestContext,
        stream: DraftStream,
        run: DraftRun,
        opened: OpenedAnswer,
        query_after_s: float,
    ) -> RelayEnd | EngineSilent | None:
        """Relay events until the stream ends or an engine is silent.

        If a later engine has ended, the first one keeps the stream open for
        some seconds, in which another chain may become free. So the stream
        counts as silent once its caller has a part of it.

        :param opened: answer of the run.
        :param query_after_s: time without the next event after which the first
            engine is queried.
        :returns: ``None`` if the stream is complete.
        """
        while True:
            event = await self.next_event(
                context,
                opened.connection,
                query_after_s,
            )
            query_after_s = QUERY_AFTER_PAUSE_S
            if isinstance(event, EngineSilent):
                return event
            if not isinstance(event, AnswerPart):
                end = _relay_end(event, stream, run.splitter)
                return await self._finish(context, stream, run, opened, end)
            if not await self._relay_events(
                context, stream, run, opened, event
            ):
                return RelayEnd('event of unknown position')
            if run.splitter.is_too_long:
                return RelayEnd('event without end')

    async def _finish(
        self,
        context: RequestContext,
        stream: DraftStream,
        run: DraftRun,
        opened: OpenedAnswer,
        end: RelayEnd | EngineSilent | None,
    ) -> RelayEnd | EngineSilent | None:
        """Send what is left of a complete answer: its head without events."""
        if end is None:
            await self._send_head(context, stream, opened)
            line_ends = run.splitter.take_line_ends()
            if line_ends:
                await context.answer.send(line_ends)
        return end

    async def next_event(
        self,
        context: RequestContext,
        connection: TargetConnection,
        query_after_s: float,
    ) -> AnswerEvent | EngineSilent:
        """Wait for the next event of an answer.

        The engines of a stream that may not be resumed are not queried: its
        first engine ends the stream if another engine is lost.

        :param query_after_s: time without an event after which the first
            engine of a resumable stream is queried.
        """
        left_s = max(0.0, context.left_s(self._clock.now_s()))
        if context.route.retry_rule.may_retry:
            return await self._watch.next_event(
                connection,
                context.facts.request_id,
                query_after_s,
                left_s,
            )
        try:
            async with asyncio.timeout(left_s):
                return await connection.next_event()
        except TimeoutError:
            return AnswerStalled('')

    async def _relay_events(
        self,
        context: RequestContext,
        stream: DraftStream,
        run: DraftRun,
        opened: OpenedAnswer,
        part: AnswerPart,
    ) -> bool:
        """Relay the events in a part of an answer.

        :returns: ``False`` if it is unknown where one belongs in the stream.
        """
        received = run.splitter.feed(part.body)
        if received:
            self._runs.record_events(run)
        events = []
        is_placed = True
        for event in received:
            placement = stream.position.place(event, has_joined=run.has_joined)
            if placement == Placement.UNKNOWN:
                is_placed = False
                break
            if placement == Placement.NEXT:
                run.has_joined |= event.has_data
                events.append(event)
        if events:
            await self._send_head(context, stream, opened)
            await context.answer.send(b''.join(event.raw for event in events))
        count = sum(event.has_data for event in events)
        if count:
            stream.record_events(count, self._clock.now_s())
        return is_placed

    async def _send_head(
        self,
        context: RequestContext,
        stream: DraftStream,
        opened: OpenedAnswer,
    ) -> None:
        if stream.has_head:
            return
        stream.has_head = True
        headers = self._header_codec.returned_headers(opened.head.headers)
        await context.answer.begin(opened.head.status, headers, None)


def _relay_end(
    event: AnswerEvent,
    stream: DraftStream,
    splitter: EventSplitter,
) -> RelayEnd | EngineSilent | None:
    if isinstance(event, AnswerStalled):
        if event.address and stream.has_head:
            return EngineSilent(event.address)
        reason = 'stream stalled' if event.address else 'no event in time'
        return RelayEnd(f'{reason} {event.address}'.strip(), event.address)
    if isinstance(event, AnswerEnd) and not splitter.has_partial_event:
        return None
    return RelayEnd('stream broke off', is_broken_off=True)
