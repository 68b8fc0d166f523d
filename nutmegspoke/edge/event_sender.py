"""Sends the events of streams to their callers, each once and in order."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

from nutmegspoke.pipelines.stream_position import Placement, StreamPosition

if TYPE_CHECKING:
    from collections.abc import Iterable

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.answer_reader import AnswerHead
    from nutmegspoke.edge.caller_answer import Answer
    from nutmegspoke.entry_host import EntryRoute
    from nutmegspoke.forwarded import HeaderCodec
    from nutmegspoke.pipelines.event_stream import EventSplitter, StreamEvent


@dataclasses.dataclass(slots=True)
class SentStream:
    """The part of a stream that was sent to its caller.

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

    @classmethod
    def after(cls, resume_after: str) -> SentStream:
        """Return a stream of which nothing is sent in this answer yet.

        :param resume_after: id of the last event that the caller has received
            in an earlier answer; empty if there is none.
        """
        return cls(StreamPosition(resume_after))

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

    def timing_fields(self, received_s: float) -> dict[str, object]:
        """Return the number of events and their timing, for the log.

        :param received_s: time at which the request was received.
        """
        if self.first_event_s is None:
            return {'events': 0}
        return {
            'events': self.events,
            'first_event_s': round(self.first_event_s - received_s, 3),
            'longest_pause_s': round(self.longest_pause_s, 3),
        }

    def cut_fields(self, now_s: float) -> dict[str, object]:
        """Return where a stream that is cut ends, for the log."""
        fields: dict[str, object] = {
            'last_event_id': self.position.last_id,
            'is_position_known': self.position.is_known,
        }
        if self.first_event_s is not None:
            fields['silent_s'] = round(now_s - self.last_event_s, 3)
        return fields


class EventRun(Protocol):
    """A run whose answer is a stream.

    :ivar splitter: splits the answer into events.
    :ivar has_joined: whether the caller has received an event of this run.
    """

    splitter: EventSplitter
    has_joined: bool


class EventSender:
    """Sender of the events of all runs of a stream in one answer."""

    def __init__(self, header_codec: HeaderCodec, clock: Clock) -> None:
        """Create a sender.

        :param header_codec: writes the headers of answers.
        :param clock: clock of the process.
        """
        self._header_codec = header_codec
        self._clock = clock

    async def send(
        self,
        answer: Answer,
        stream: SentStream,
        run: EventRun,
        head: AnswerHead,
        received: Iterable[StreamEvent],
    ) -> bool:
        """Send the events that the caller does not have.

        :param head: head of the run's answer; that of the first run is sent.
        :returns: ``False`` if it is unknown where one belongs in the stream.
        """
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
            await self._send_head(answer, stream, head)
            await answer.send(b''.join(event.raw for event in events))
        count = sum(event.has_data for event in events)
        if count:
            stream.record_events(count, self._clock.now_s())
        return is_placed

    async def finish(
        self,
        answer: Answer,
        stream: SentStream,
        run: EventRun,
        head: AnswerHead,
    ) -> None:
        """Send what is left of a complete answer: its head without events."""
        await self._send_head(answer, stream, head)
        line_ends = run.splitter.take_line_ends()
        if line_ends:
            await answer.send(line_ends)

    async def _send_head(
        self, answer: Answer, stream: SentStream, head: AnswerHead
    ) -> None:
        if stream.has_head:
            return
        stream.has_head = True
        headers = self._header_codec.returned_headers(head.headers)
        await answer.begin(head.status, headers, None)
