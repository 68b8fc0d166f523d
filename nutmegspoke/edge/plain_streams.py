"""Relays the streams of services, which run on a single target.

The answer to a request of a streaming route that is no stream of events is not
relayed: it is held until it is complete, as that to a call.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.edge.answer_reader import AnswerEnd, AnswerPart
from nutmegspoke.edge.attempts import Broken, SentAnswer
from nutmegspoke.edge.event_sender import EventSender, SentStream
from nutmegspoke.forwarded import AnswerKind
from nutmegspoke.pipelines.event_stream import EventSplitter

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.answer_reader import AnswerEvent
    from nutmegspoke.edge.attempts import Attempts, OpenedAnswer
    from nutmegspoke.edge.crash_watch import CrashWatch, WatchedRun
    from nutmegspoke.edge.work import RequestContext


@dataclasses.dataclass(slots=True)
class _Run:
    """A run at one target, see :class:`~nutmegspoke.edge.event_sender.EventRun`.

    :param watched: the run as the crash watch knows it.
    """

    watched: WatchedRun
    splitter: EventSplitter = dataclasses.field(default_factory=EventSplitter)
    has_joined: bool = False


class PlainStreams:
    """Relay of the events of plain streams."""

    def __init__(
        self, attempts: Attempts, crashes: CrashWatch, clock: Clock
    ) -> None:
        """Store the parts that relays use."""
        self._attempts = attempts
        self._crashes = crashes
        self._sender = EventSender(attempts.header_codec, clock)
        self._clock = clock

    def new_stream(self, context: RequestContext) -> SentStream | None:
        """Return the stream that answers a request; ``None`` for a call."""
        if context.route.retry_rule.is_stream:
            return SentStream.after(context.facts.resume_after)
        return None

    async def relay(
        self,
        context: RequestContext,
        stream: SentStream,
        opened: OpenedAnswer,
        watched: WatchedRun,
    ) -> SentAnswer | Broken:
        """Send the events of one run to the caller until the run ends."""
        try:
            result = await self._relay(context, stream, opened, _Run(watched))
        except BaseException:
            opened.connection.abandon()
            raise
        if isinstance(result, Broken):
            opened.connection.abandon()
        else:
            self._attempts.release_connection(opened)
        return result

    async def _relay(
        self,
        context: RequestContext,
        stream: SentStream,
        opened: OpenedAnswer,
        run: _Run,
    ) -> SentAnswer | Broken:
        event = await self._next_event(context, opened)
        while isinstance(event, AnswerPart):
            fault = await self._send_events(context, stream, opened, run, event)
            if fault:
                return Broken(fault)
            event = await self._next_event(context, opened)
        if event is None:
            return Broken('no event in time', is_timeout=True)
        if not isinstance(event, AnswerEnd) or run.splitter.has_partial_event:
            return Broken('stream broke off')
        await self._sender.finish(context.answer, stream, run, opened.head)
        return SentAnswer(opened.head.status, opened.facts)

    async def _send_events(
        self,
        context: RequestContext,
        stream: SentStream,
        opened: OpenedAnswer,
        run: _Run,
        part: AnswerPart,
    ) -> str:
        """Send the events in a part of an answer.

        :returns: why the run has to end; empty if it goes on.
        """
        received = run.splitter.feed(part.body)
        if received:
            self._crashes.wrote(run.watched)
        is_placed = await self._sender.send(
            context.answer, stream, run, opened.head, received
        )
        if not is_placed:
            return 'event of unknown position'
        return 'event without end' if run.splitter.is_too_long else ''

    async def _next_event(
        self, context: RequestContext, opened: OpenedAnswer
    ) -> AnswerEvent | None:
        """Wait for the next event of an answer; ``None`` at the deadline."""
        left_s = max(0.0, context.left_s(self._clock.now_s()))
        try:
            async with asyncio.timeout(left_s):
                return await opened.connection.next_event()
        except TimeoutError:
            return None


def is_event_stream(opened: OpenedAnswer) -> bool:
    """Return whether an answer is a successful stream of events."""
    is_success = opened.facts.kind == AnswerKind.SUCCESS
    return is_success and opened.facts.is_event_stream
