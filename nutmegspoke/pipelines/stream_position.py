"""Position of a stream, at which another run can go on.

The ids of events are text. Only numbers can be compared, so a stream has a known
position only while the ids of its events are numbers that rise.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.pipelines.event_stream import StreamEvent

    # Number of digits and digits, without leading zeros.
    _Number = tuple[int, bytes]

# An id is sent in a header, whose length targets limit.
_MAX_DIGITS = 4_096


class Placement(enum.Enum):
    """Where an event belongs in the stream that the caller receives."""

    NEXT = 'next'
    SENT_BEFORE = 'sent before'
    UNKNOWN = 'unknown'


class StreamPosition:
    """Position up to which a caller has received a stream.

    :param resume_after: id of the last event that the caller has received in
        an earlier answer; empty if there is none.
    :ivar last_id: id of the last event that the caller has received, as its
        engine wrote it; empty before the first.
    """

    def __init__(self, resume_after: str = '') -> None:
        """Start at the beginning of an answer."""
        self.last_id = resume_after
        self._number = parse_number(resume_after.encode('latin-1'))
        self._has_sent = False
        self._is_numbered = True
        self._is_last_numbered = True

    @property
    def is_known(self) -> bool:
        """Return whether another run can go on where the caller is."""
        if not self._has_sent:
            return True
        return self._is_numbered and self._is_last_numbered

    def place(self, event: StreamEvent, *, has_joined: bool) -> Placement:
        """Return where an event belongs, and record it if it is the next.

        :param has_joined: whether the caller has received an event of the same
            run. What a run writes from then on is relayed as it is.
        """
        if not event.has_data and event.event_id is None:
            return Placement.NEXT
        number = parse_number(event.event_id or b'')
        if not has_joined:
            if number is None and self._has_sent:
                return Placement.UNKNOWN
            if not self._is_after(number):
                return Placement.SENT_BEFORE
        self._record(event.event_id, number)
        return Placement.NEXT

    def _is_after(self, number: _Number | None) -> bool:
        return number is None or self._number is None or number > self._number

    def _record(self, event_id: bytes | None, number: _Number | None) -> None:
        self._is_last_numbered = number is not None
        if event_id is not None:
            self._is_numbered &= number is not None and self._is_after(number)
            self._number = number
            self.last_id = event_id.decode('latin-1')
        self._has_sent = True


def parse_number(text: bytes) -> _Number | None:
    """Return a number; ``None`` if the text is none."""
    if not text.isdigit() or len(text) > _MAX_DIGITS:
        return None
    digits = text.lstrip(b'0')
    return len(digits), digits
