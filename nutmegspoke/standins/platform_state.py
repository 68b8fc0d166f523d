"""State of the platform stand-in: table rows, host entries, weight loads."""

from __future__ import annotations

import dataclasses

import msgspec


class WireCondition(msgspec.Struct):
    """Condition of a transaction: the version that a row must have.

    Version 0 stands for an absent row.
    """

    key: str
    version: int


class WireWrite(msgspec.Struct):
    """Write of a transaction; a body of ``None`` deletes the row."""

    key: str
    body: bytes | None


class WireTransaction(msgspec.Struct):
    """Conditions, and the writes that are applied if all of them hold."""

    conditions: tuple[WireCondition, ...]
    writes: tuple[WireWrite, ...]


class WireRow(msgspec.Struct):
    """Row of a table with its version; 0 if the row is absent."""

    key: str
    version: int
    body: bytes = b''


class WireRows(msgspec.Struct):
    """Rows of a scan or transaction.

    If a condition failed, ``committed`` is false, and the rows are those whose
    version differed.
    """

    rows: tuple[WireRow, ...]
    committed: bool = True


class WireHost(msgspec.Struct):
    """An entry of the host list."""

    name: str
    address: str
    availability_zone: str
    selector: str
    state: str = 'live'


@dataclasses.dataclass(slots=True)
class TableState:
    """Rows of the table service.

    Version numbers continue after a row is deleted and written again.
    """

    rows: dict[str, WireRow] = dataclasses.field(default_factory=dict)
    last_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    read_count: int = 0
    commit_count: int = 0

    def read(self, key: str) -> WireRow:
        """Return a row, with version 0 if it is absent."""
        self.read_count += 1
        return self.rows.get(key, WireRow(key=key, version=0))

    def scan(self, prefix: str) -> WireRows:
        """Return the rows whose key starts with a prefix, sorted by key."""
        self.read_count += 1
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return WireRows(rows=tuple(self.rows[key] for key in keys))

    def commit(self, transaction: WireTransaction) -> WireRows:
        """Apply the writes of a transaction if all its conditions hold."""
        self.commit_count += 1
        current = [
            self.rows.get(condition.key, WireRow(condition.key, 0))
            for condition in transaction.conditions
        ]
        failed = tuple(
            row
            for row, condition in zip(
                current,
                transaction.conditions,
                strict=True,
            )
            if row.version != condition.version
        )
        if failed:
            return WireRows(rows=failed, committed=False)
        written = tuple(self._write(write) for write in transaction.writes)
        return WireRows(rows=written)

    def _write(self, write: WireWrite) -> WireRow:
        version = self.last_versions.get(write.key, 0) + 1
        self.last_versions[write.key] = version
        if write.body is None:
            self.rows.pop(write.key, None)
            return WireRow(write.key, 0)
        row = WireRow(write.key, version, write.body)
        self.rows[write.key] = row
        return row


@dataclasses.dataclass(slots=True)
class WeightLimiter:
    """Rate limit of the weight store.

    :param interval_s: time between the starts of two loads.
    :param next_free_s: time at which the next load may start.
    """

    interval_s: float
    next_free_s: float = 0.0

    def reserve(self, now_s: float) -> float:
        """Reserve the next load and return the seconds until it may start."""
        start_s = max(now_s, self.next_free_s)
        self.next_free_s = start_s + self.interval_s
        return start_s - now_s
