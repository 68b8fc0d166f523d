"""Splits the bytes of an event stream into whole events."""

from __future__ import annotations

import dataclasses

_BREAK = b'\n\n'
_ID_FIELD = b'id:'
# An event holds a few tokens; a longer one is no event.
MAX_EVENT_BYTES = 262_144


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event.

    :param number: its id; ``None`` if it bears none.
    :param raw: its bytes, the empty line included.
    """

    number: int | None
    raw: bytes


class EventSplitter:
    """Collects bytes until events are whole."""

    def __init__(self) -> None:
        """Start without bytes."""
        self._held = b''

    def feed(self, received: bytes) -> list[StreamEvent]:
        """Take bytes and return the events that they complete."""
        *whole, rest = (self._held + received).split(_BREAK)
        self._held = rest
        return [StreamEvent(_event_number(raw), raw + _BREAK) for raw in whole]

    @property
    def has_partial_event(self) -> bool:
        """Tell whether an event has begun and is not whole."""
        return bool(self._held)

    @property
    def is_too_long(self) -> bool:
        """Tell whether what has begun can't be an event."""
        return len(self._held) > MAX_EVENT_BYTES


def _event_number(raw: bytes) -> int | None:
    for line in raw.split(b'\n'):
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
