"""Keeps evidence in bounded memory until the object store has it."""

from __future__ import annotations

import collections
import dataclasses

from nutmegspoke.evidence import names
from nutmegspoke.evidence.records import (
    AdoptionRecord,
    Record,
    RecordKind,
    RequestRecord,
    encode_batch,
    encode_record,
)

_DROP_ORDER = tuple(RecordKind)


@dataclasses.dataclass(frozen=True, slots=True)
class BufferLimits:
    """Limits of the buffer.

    :param max_bytes: encoded records kept in memory.
    :param max_object_bytes: encoded records in one object.
    """

    max_bytes: int = 8 * 1024 * 1024
    max_object_bytes: int = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """An encoded record and where it belongs."""

    kind: RecordKind
    prefix: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records that go into one object.

    :param name: name of the object; the same when it is sent again.
    :param body: content of the object.
    :param entries: what it holds, for the buffer.
    """

    name: str
    body: bytes
    entries: tuple[_Entry, ...]


class EvidenceBuffer:
    """Records that wait for the object store.

    When the memory is full the oldest record of the kind that matters least
    is dropped and counted; records of non-repeatable calls go last.
    """

    def __init__(self, start_id: str, limits: BufferLimits) -> None:
        """Start empty.

        :param start_id: names this start of the daemon.
        :param limits: limits of the buffer.
        """
        self.dropped: collections.Counter[RecordKind] = collections.Counter()
        self.buffered_bytes = 0
        self._start_id = start_id
        self._limits = limits
        self._sequence = 0
        self._queues: dict[RecordKind, collections.deque[_Entry]] = {
            kind: collections.deque() for kind in RecordKind
        }
        self._sent: Batch | None = None

    def __len__(self) -> int:
        """Return the number of records that wait."""
        waiting = sum(len(queue) for queue in self._queues.values())
        return waiting + (len(self._sent.entries) if self._sent else 0)

    def add(self, record: Record) -> None:
        """Take a record, dropping others if there is no room."""
        entry = _Entry(record.kind, _prefix(record), encode_record(record))
        self._queues[entry.kind].append(entry)
        self.buffered_bytes += len(entry.body)
        while self.buffered_bytes > self._limits.max_bytes:
            if not self._drop_one():
                break

    def next_batch(self) -> Batch | None:
        """Return the object to write now; ``None`` if nothing waits.

        Until :meth:`mark_stored` is called it is the same one.
        """
        if self._sent is None:
            entries = self._take_entries()
            if not entries:
                return None
            self._sequence += 1
            self._sent = Batch(
                names.object_name(
                    entries[0].prefix,
                    self._start_id,
                    self._sequence,
                ),
                encode_batch(tuple(entry.body for entry in entries)),
                entries,
            )
        return self._sent

    def mark_stored(self) -> None:
        """Forget the present batch; the object store has it."""
        if self._sent is not None:
            self._forget(self._sent.entries)
            self._sent = None

    def _take_entries(self) -> tuple[_Entry, ...]:
        kind = next(
            (kind for kind in reversed(_DROP_ORDER) if self._queues[kind]),
            None,
        )
        if kind is None:
            return ()
        queue = self._queues[kind]
        prefix = queue[0].prefix
        taken: list[_Entry] = []
        size_bytes = 0
        others: list[_Entry] = []
        while queue and size_bytes < self._limits.max_object_bytes:
            entry = queue.popleft()
            if entry.prefix == prefix:
                taken.append(entry)
                size_bytes += len(entry.body)
            else:
                others.append(entry)
        queue.extendleft(reversed(others))
        return tuple(taken)

    def _drop_one(self) -> bool:
        for kind in _DROP_ORDER:
            if self._queues[kind]:
                self._forget((self._queues[kind].popleft(),))
                self.dropped[kind] += 1
                return True
        return False

    def _forget(self, entries: tuple[_Entry, ...]) -> None:
        self.buffered_bytes -= sum(len(entry.body) for entry in entries)


def _prefix(record: Record) -> str:
    match record:
        case RequestRecord():
            place = names.RequestLocation.from_request_id(record.request_id)
            return (
                place.prefix if place else names.RequestLocation('', '').prefix
            )
        case AdoptionRecord():
            bucket = names.adoption_bucket(record.wall_s)
            return names.adoption_prefix(bucket)
