"""Buffers evidence in bounded memory until it is in the object store."""

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

    :param max_bytes: maximum size of the encoded records in memory.
    :param max_object_bytes: size of the encoded records at which an object is
        complete.
    """

    max_bytes: int = 8 * 1024 * 1024
    max_object_bytes: int = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """An encoded record and the prefix of its object name."""

    kind: RecordKind
    prefix: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records that are written as one object.

    :param name: name of the object; unchanged by retries.
    :param body: content of the object.
    :param entries: records in the object, for internal use by the buffer.
    """

    name: str
    body: bytes
    entries: tuple[_Entry, ...]


class EvidenceBuffer:
    """Queue of records to be written to the object store.

    When the memory limit is exceeded, the oldest record of the least important
    kind is dropped and counted. Records of non-repeatable calls are dropped
    last.
    """

    def __init__(self, start_id: str, limits: BufferLimits) -> None:
        """Create an empty buffer.

        :param start_id: id of this start of the daemon.
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
        self._current_batch: Batch | None = None

    def __len__(self) -> int:
        """Return the number of buffered records."""
        queued = sum(len(queue) for queue in self._queues.values())
        return queued + (
            len(self._current_batch.entries) if self._current_batch else 0
        )

    def add(self, record: Record) -> None:
        """Add a record, dropping records while the memory limit is exceeded."""
        entry = _Entry(record.kind, _find_prefix(record), encode_record(record))
        self._queues[entry.kind].append(entry)
        self.buffered_bytes += len(entry.body)
        while self.buffered_bytes > self._limits.max_bytes:
            if not self._drop_oldest():
                break

    def next_batch(self) -> Batch | None:
        """Return the batch to write; ``None`` if the buffer is empty.

        Returns the same batch until :meth:`mark_stored` is called.
        """
        if self._current_batch is None:
            entries = self._pop_entries()
            if not entries:
                return None
            self._sequence += 1
            self._current_batch = Batch(
                names.object_name(
                    entries[0].prefix,
                    self._start_id,
                    self._sequence,
                ),
                encode_batch(tuple(entry.body for entry in entries)),
                entries,
            )
        return self._current_batch

    def mark_stored(self) -> None:
        """Remove the current batch, which is now in the object store."""
        if self._current_batch is not None:
            self._subtract_size(self._current_batch.entries)
            self._current_batch = None

    def _pop_entries(self) -> tuple[_Entry, ...]:
        kind = next(
            (kind for kind in reversed(_DROP_ORDER) if self._queues[kind]),
            None,
        )
        if kind is None:
            return ()
        queue = self._queues[kind]
        prefix = queue[0].prefix
        batch_entries: list[_Entry] = []
        size_bytes = 0
        other_entries: list[_Entry] = []
        while queue and size_bytes < self._limits.max_object_bytes:
            entry = queue.popleft()
            if entry.prefix == prefix:
                batch_entries.append(entry)
                size_bytes += len(entry.body)
            else:
                other_entries.append(entry)
        queue.extendleft(reversed(other_entries))
        return tuple(batch_entries)

    def _drop_oldest(self) -> bool:
        for kind in _DROP_ORDER:
            if self._queues[kind]:
                self._subtract_size((self._queues[kind].popleft(),))
                self.dropped[kind] += 1
                return True
        return False

    def _subtract_size(self, entries: tuple[_Entry, ...]) -> None:
        self.buffered_bytes -= sum(len(entry.body) for entry in entries)


def _find_prefix(record: Record) -> str:
    match record:
        case RequestRecord():
            location = names.RequestLocation.from_request_id(record.request_id)
            return (
                location.prefix
                if location
                else names.RequestLocation('', '').prefix
            )
        case AdoptionRecord():
            bucket = names.adoption_bucket(record.wall_s)
            return names.adoption_prefix(bucket)
