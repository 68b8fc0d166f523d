"""Splits the bytes of a server-sent event stream into complete events."""

from __future__ import annotations

import dataclasses

_EVENT_SEPARATOR = b'\n\n'
_ID_FIELD = b'id:'
# An event holds a few tokens; longer data is not an event.
MAX_EVENT_BYTES = 262_144
# An id with more digits does not count as a number.
_MAX_ID_DIGITS = 18


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event.

    :param number: its id; ``None`` if it has no numeric id.
    :param raw: its bytes, including the empty line at the end.
    """

    number: int | None
    raw: bytes


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
            StreamEvent(_event_number(raw), raw + _EVENT_SEPARATOR)
            for raw in complete
        ]

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds the beginning of an event."""
        return bool(self._buffer)

    @property
    def is_too_long(self) -> bool:
        """Return whether the buffered data is longer than any event."""
        return len(self._buffer) > MAX_EVENT_BYTES


def _event_number(raw: bytes) -> int | None:
    for line in raw.split(b'\n'):
        if line.startswith(_ID_FIELD):
            return parse_event_number(line[len(_ID_FIELD) :].strip())
    return None


def parse_event_number(text: bytes) -> int | None:
    """Return the id of an event as a number; ``None`` if it is none."""
    is_number = text.isdigit() and len(text) <= _MAX_ID_DIGITS
    return int(text) if is_number else None
