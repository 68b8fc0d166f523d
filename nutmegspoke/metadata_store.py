"""What nutmegspoke needs of the platform: values and Protocols."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

ABSENT_VERSION = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of the table service.

    :param key: ``TABLE/NAME``.
    :param version: number that each write of the row raises; 0 if absent.
    :param body: encoded content.
    """

    key: str
    version: int
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A row must have this version for a transaction to commit."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A new body of a row; ``None`` deletes it."""

    key: str
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together if all conditions hold."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect.

    :param versions: the rows written, with their new versions.
    """

    rows: tuple[StoredRow, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A condition failed; nothing was written.

    :param rows: the rows of the failed conditions, as they are now.
    """

    rows: tuple[StoredRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InDoubt:
    """The transaction may have taken effect.

    :param reason: what went wrong.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform gave no answer, and nothing was written.

    :param reason: what went wrong.
    """

    reason: str


CommitResult = Committed | Conflict | InDoubt | Unavailable


@dataclasses.dataclass(frozen=True, slots=True)
class TableChanges:
    """What happened to a table since a version.

    :param version: version up to which the changes are complete.
    :param rows: rows written, in the order of their last writes.
    :param removed: names of rows that are gone, within their table.
    :param newest_change: version of the newest change told; 0 for none.
    """

    version: int
    rows: tuple[StoredRow, ...] = ()
    removed: tuple[str, ...] = ()
    newest_change: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer knows what happened since that version."""


def find_row(key: str, found: tuple[StoredRow, ...]) -> StoredRow | None:
    """Return the row of a key among several; ``None`` if it is not there."""
    return next((row for row in found if row.key == key), None)


class HostState(enum.StrEnum):
    """State of a host in the host list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class HostEntry:
    """An entry of the host list.

    :param name: name of the target.
    :param address: ``IP:PORT``.
    :param availability_zone: where it is.
    :param selector: label that pool rows select by.
    :param state: live or leaving.
    """

    name: str
    address: str
    availability_zone: str
    selector: str
    state: HostState = HostState.LIVE


class TableService(Protocol):
    """The platform's transactional table service."""

    async def read(self, key: str) -> StoredRow | Unavailable:
        """Return a row; version 0 if it is absent."""

    async def scan(self, prefix: str) -> tuple[StoredRow, ...] | Unavailable:
        """Return the rows whose keys begin with the prefix, in order."""

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Carry out a transaction."""


class ChangeFeed(Protocol):
    """Tells what happens to tables."""

    async def snapshot(self, table: str) -> TableChanges | Unavailable:
        """Return all rows of a table and the version that they are of."""

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> TableChanges | HistoryLost | Unavailable:
        """Return the changes after a version, waiting for the first one."""


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, name: str, body: bytes) -> Unavailable | None:
        """Store an object; ``None`` if it is kept."""

    async def get(self, name: str) -> bytes | Unavailable | None:
        """Return an object; ``None`` if there is none."""

    async def names(self, prefix: str) -> tuple[str, ...] | Unavailable:
        """Return the names that begin with the prefix, in order."""


class HostList(Protocol):
    """The platform's list of live and leaving hosts."""

    async def entries(self) -> tuple[HostEntry, ...] | Unavailable:
        """Return all entries."""


class WeightStore(Protocol):
    """The platform's rate-limited weight store."""

    async def reserve(self, model: str, layers: str) -> float | Unavailable:
        """Ask to load layers; the seconds to wait before the load may start."""
