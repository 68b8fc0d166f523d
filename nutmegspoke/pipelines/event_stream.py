"""Splits the bytes of a server-sent event stream into complete events."""

from __future__ import annotations

import dataclasses
import re

# Two line ends in a row; a CR and the LF after it are one.
_EVENT_END = re.compile(rb'(?>\r\n|\r|\n)(?>\r\n|\r|\n)')
_LINE_ENDS = b'\r\n'
_BYTE_ORDER_MARK = b'\xef\xbb\xbf'
# An event holds a few tokens; longer data is not an event.
MAX_EVENT_BYTES = 262_144


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event, or bytes between two events that have no meaning.

    :param raw: its bytes, including the empty line at the end.
    :param event_id: its id as the engine wrote it; ``None`` without one.
    :param has_data: whether it has data; others are comments, for instance.
    """

    raw: bytes
    event_id: bytes | None
    has_data: bool

    @classmethod
    def from_bytes(cls, raw: bytes) -> StreamEvent:
        """Read the fields of an event."""
        event_id = None
        has_data = False
        for line in raw.removeprefix(_BYTE_ORDER_MARK).splitlines():
            name, _, text = line.partition(b':')
            if name == b'data':
                has_data = True
            elif name == b'id':
                event_id = text.strip()
        return cls(raw, event_id, has_data)


class EventSplitter:
    """Buffers bytes until events are complete."""

    def __init__(self) -> None:
        """Create a splitter with an empty buffer."""
        self._buffer = b''
        self._ends_with_cr = False

    def feed(self, received: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are complete now."""
        events = []
        if self._ends_with_cr and received.startswith(b'\n'):
            # The second half of the line end that completed the last event.
            events.append(StreamEvent(b'\n', None, has_data=False))
            received = received[1:]
        self._buffer += received
        start = 0
        for end in _EVENT_END.finditer(self._buffer):
            events.append(
                StreamEvent.from_bytes(self._buffer[start : end.end()])
            )
            start = end.end()
        if received:
            is_at_end = start == len(self._buffer)
            self._ends_with_cr = is_at_end and received.endswith(b'\r')
        self._buffer = self._buffer[start:]
        return events

    def take_line_ends(self) -> bytes:
        """Return the empty lines after the last event, at the end."""
        line_ends = self._buffer
        self._buffer = b''
        return line_ends

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds the beginning of an event."""
        return bool(self._buffer.strip(_LINE_ENDS))

    @property
    def is_too_long(self) -> bool:
        """Return whether the buffered data is longer than any event."""
        return len(self._buffer) > MAX_EVENT_BYTES
