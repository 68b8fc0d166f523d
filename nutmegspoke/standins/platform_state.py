"""State of the platform stand-in: rows, objects, hosts and weight loads."""

from __future__ import annotations

import dataclasses

import msgspec


class WireCondition(msgspec.Struct):
    """A condition of a transaction."""

    key: str
    version: int


class WireWrite(msgspec.Struct):
    """A write of a transaction; no body deletes the row."""

    key: str
    body: bytes | None


class WireTransaction(msgspec.Struct):
    """A transaction."""

    conditions: tuple[WireCondition, ...]
    writes: tuple[WireWrite, ...]


class WireRow(msgspec.Struct):
    """A row with its version."""

    key: str
    version: int
    body: bytes = b''


class WireRows(msgspec.Struct):
    """Several rows; ``committed`` is false when a condition failed."""

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
    """Rows of the table service. Deleted rows keep counting versions."""

    rows: dict[str, WireRow] = dataclasses.field(default_factory=dict)
    last_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    read_count: int = 0
    commit_count: int = 0

    def read(self, key: str) -> WireRow:
        """Return a row; version 0 if it is absent."""
        self.read_count += 1
        return self.rows.get(key, WireRow(key=key, version=0))

    def scan(self, prefix: str) -> WireRows:
        """Return the rows with a prefix."""
        self.read_count += 1
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return WireRows(rows=tuple(self.rows[key] for key in keys))

    def commit(self, transaction: WireTransaction) -> WireRows:
        """Carry out a transaction whole or not at all."""
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

    :param interval_s: time between two loads.
    :param next_free_s: when the next load may start.
    """

    interval_s: float
    next_free_s: float = 0.0

    def reserve(self, now_s: float) -> float:
        """Return the seconds to wait before this load may start."""
        start_s = max(now_s, self.next_free_s)
        self.next_free_s = start_s + self.interval_s
        return start_s - now_s
