"""How a stand-in target writes the events of a stream."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EventFormat:
    """Format of events; a target that resumes a stream looks up its last id.

    :param ids: id of each event; ``None`` for an event without one.
    :param line_end: end of each line.
    :param shows_place: whether each event has a comment with its place.
    """

    ids: tuple[str | None, ...]
    line_end: str = '\n'
    shows_place: bool = True

    @classmethod
    def numbered(cls, count: int) -> EventFormat:
        """Return the format of events with ids from 1 on."""
        ids = tuple(str(number) for number in range(1, count + 1))
        return cls(ids, shows_place=False)

    def write(self, place: int, name: str) -> bytes:
        """Return an event.

        :param place: its place in the stream, from 0 on.
        :param name: name of the target, which is its data.
        """
        event_id = self.ids[place]
        lines = [] if event_id is None else [f'id: {event_id}']
        lines.append(f'data: {name}')
        if self.shows_place:
            lines.append(f': event {place}')
        lines.append('')
        return ''.join(line + self.line_end for line in lines).encode()

    def first_place(self, last_id: str | None) -> int:
        """Return the place at which a stream goes on.

        :param last_id: id that the caller has received last; a target that
            does not know it begins with the first event.
        """
        if last_id is None or last_id not in self.ids:
            return 0
        return self.ids.index(last_id) + 1
