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
from nutmegspoke.edge.event_sender import EventSender
from nutmegspoke.edge.stream_watch import QUERY_AFTER_PAUSE_S, EngineSilent

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.answer_reader import AnswerEvent
    from nutmegspoke.edge.attempts import OpenedAnswer
    from nutmegspoke.edge.draft_runs import DraftRun, DraftRuns
    from nutmegspoke.edge.event_sender import SentStream
    from nutmegspoke.edge.stream_watch import StreamWatch
    from nutmegspoke.edge.target_connections import TargetConnection
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.forwarded import HeaderCodec
    from nutmegspoke.pipelines.event_stream import EventSplitter


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
        self._sender = EventSender(header_codec, clock)
        self._watch = watch
        self._runs = runs
        self._clock = clock

    async def run(
        self,
        context: RequestContext,
        stream: SentStream,
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
        stream: SentStream,
        run: DraftRun,
        opened: OpenedAnswer,
        end: RelayEnd | EngineSilent | None,
    ) -> RelayEnd | EngineSilent | None:
        """Send what is left of a complete answer: its head without events."""
        if end is None:
            await self._sender.finish(context.answer, stream, run, opened.head)
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
        stream: SentStream,
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
        return await self._sender.send(
            context.answer, stream, run, opened.head, received
        )


def _relay_end(
    event: AnswerEvent,
    stream: SentStream,
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
