"""Passes the events of a stream on to its caller as they come."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.edge.answer_reader import (
    AnswerEnd,
    AnswerPart,
    AnswerStalled,
)
from nutmegspoke.edge.stream_watch import ASK_GAP_S
from nutmegspoke.pipelines.event_stream import EventSplitter

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.answer_reader import AnswerEvent
    from nutmegspoke.edge.attempts import Opened
    from nutmegspoke.edge.stream_watch import StreamWatch
    from nutmegspoke.edge.target_connections import TargetConnection
    from nutmegspoke.edge.work import Work
    from nutmegspoke.forwarded import HeaderCodec


@dataclasses.dataclass(slots=True)
class DraftStream:
    """What the caller has of an answer.

    :param last_number: id of the last event passed on; -1 for none.
    :param events: number of events passed on.
    :param has_head: whether status and headers were passed on.
    :param first_event_s: when the first event was passed on.
    :param last_event_s: when the last one was.
    :param longest_pause_s: longest time between two.
    """

    last_number: int = -1
    events: int = 0
    has_head: bool = False
    first_event_s: float | None = None
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0

    def passed_on(self, count: int, now_s: float) -> None:
        """Take that events were passed on."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            pause_s = now_s - self.last_event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_s = now_s
        self.events += count


@dataclasses.dataclass(frozen=True, slots=True)
class RelayEnd:
    """A stream ended before it was whole.

    :param reason: what went wrong.
    :param lost_address: engine that the stream waited for; empty if none.
    """

    reason: str
    lost_address: str = ''


class StreamRelay:
    """Passes whole events on, each once and in order."""

    def __init__(
        self,
        dialect: HeaderCodec,
        watch: StreamWatch,
        clock: Clock,
    ) -> None:
        """Use a watch for streams that may go on elsewhere."""
        self._dialect = dialect
        self._watch = watch
        self._clock = clock

    async def run(
        self,
        work: Work,
        stream: DraftStream,
        opened: Opened,
    ) -> RelayEnd | None:
        """Pass events on until the stream ends; ``None`` if it is whole."""
        splitter = EventSplitter()
        try:
            while True:
                event = await self.next_event(
                    work,
                    opened.connection,
                    ASK_GAP_S,
                )
                if not isinstance(event, AnswerPart):
                    end = _end(event, splitter)
                    return await self._ended(work, stream, opened, end)
                await self._pass_on(work, stream, opened, splitter, event)
                if splitter.is_too_long:
                    return RelayEnd('event without end')
        finally:
            if opened.connection.is_open_answer():
                opened.connection.close()

    async def _ended(
        self,
        work: Work,
        stream: DraftStream,
        opened: Opened,
        end: RelayEnd | None,
    ) -> RelayEnd | None:
        """Pass on the head of a whole answer without events."""
        if end is None:
            await self._begin(work, stream, opened)
        return end

    async def next_event(
        self,
        work: Work,
        connection: TargetConnection,
        ask_after_s: float,
    ) -> AnswerEvent:
        """Wait for the next event of an answer.

        A stream that may not run again is waited for to the end: its engine
        ends it if another one is lost.
        """
        left_s = max(0.0, work.left_s(self._clock.now_s()))
        if work.route.retry_rule.may_retry:
            return await self._watch.next_event(
                connection,
                work.facts.request_id,
                ask_after_s,
                left_s,
            )
        try:
            async with asyncio.timeout(left_s):
                return await connection.next_event()
        except TimeoutError:
            return AnswerStalled('')

    async def _pass_on(
        self,
        work: Work,
        stream: DraftStream,
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
        stream.passed_on(len(events), self._clock.now_s())
        if events[-1].number is not None:
            stream.last_number = events[-1].number

    async def _begin(
        self,
        work: Work,
        stream: DraftStream,
        opened: Opened,
    ) -> None:
        if stream.has_head:
            return
        stream.has_head = True
        headers = self._dialect.returned_headers(opened.head.headers)
        await work.answer.begin(opened.head.status, headers, None)


def _end(
    event: AnswerEvent,
    splitter: EventSplitter,
) -> RelayEnd | None:
    if isinstance(event, AnswerStalled):
        reason = 'stream stalled' if event.address else 'no event in time'
        return RelayEnd(f'{reason} {event.address}'.strip(), event.address)
    if isinstance(event, AnswerEnd) and not splitter.has_partial_event:
        return None
    return RelayEnd('stream broke off')
