"""Splits the bytes of a server-sent event stream into complete events."""

from __future__ import annotations

import dataclasses

_EVENT_SEPARATOR = b'\n\n'
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

    def feed(self, received: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are complete now."""
        *complete, rest = (self._buffer + received).split(_EVENT_SEPARATOR)
        self._buffer = rest
        return [
            StreamEvent.from_bytes(raw + _EVENT_SEPARATOR) for raw in complete
        ]

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds the beginning of an event."""
        return bool(self._buffer)

    @property
    def is_too_long(self) -> bool:
        """Return whether the buffered data is longer than any event."""
        return len(self._buffer) > MAX_EVENT_BYTES
