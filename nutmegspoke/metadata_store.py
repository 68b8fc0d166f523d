"""Interfaces of the platform's services, and the values they exchange."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

ABSENT_VERSION = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of the table service.

    :param key: ``TABLE/NAME``.
    :param version: version, increased by each write of the row; 0 if absent.
    :param body: encoded content.
    """

    key: str
    version: int
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """The version that a row must have for a transaction to commit."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A new body of a row; a ``None`` body deletes the row."""

    key: str
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied together if all conditions hold."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was applied.

    :param rows: the written rows with their new versions.
    """

    rows: tuple[StoredRow, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A condition failed; nothing was written.

    :param rows: current rows of the failed conditions.
    """

    rows: tuple[StoredRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InDoubt:
    """It is unknown whether the transaction was applied.

    :param reason: description of the failure.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The service did not answer the call, and nothing was written.

    :param reason: description of the failure.
    :param is_silent: whether there was no answer in time.
    """

    reason: str
    is_silent: bool = False


CommitResult = Committed | Conflict | InDoubt | Unavailable


@dataclasses.dataclass(frozen=True, slots=True)
class TableChanges:
    """The changes of a table after a version.

    :param version: version up to which the changes are complete.
    :param rows: written rows, in the order of their last writes.
    :param removed: names of removed rows, without the table name.
    :param newest_change: version of the latest change included; 0 for none.
    :param era: raised each time that the store comes back from an older copy;
        versions of two eras are not comparable. 0 if the store names none.
    """

    version: int
    rows: tuple[StoredRow, ...] = ()
    removed: tuple[str, ...] = ()
    newest_change: int = 0
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the changes since that version.

    Read the whole table again with :meth:`ChangeFeed.snapshot`.
    """


def find_row(key: str, rows: tuple[StoredRow, ...]) -> StoredRow | None:
    """Return the row with this key; ``None`` if it is not among the rows."""
    return next((row for row in rows if row.key == key), None)


class HostState(enum.StrEnum):
    """State of a host in the host list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class HostEntry:
    """An entry of the host list.

    :param name: name of the target.
    :param address: ``IP:PORT``.
    :param availability_zone: availability zone of the target.
    :param selector: label by which pool rows select targets.
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
        """Return a row, with version 0 if it is absent."""

    async def scan(self, prefix: str) -> tuple[StoredRow, ...] | Unavailable:
        """Return the rows whose keys start with the prefix, sorted by key."""

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Commit a transaction; it is applied completely or not at all."""


class ChangeFeed(Protocol):
    """Feed of the changes to tables."""

    async def snapshot(self, table: str) -> TableChanges | Unavailable:
        """Return all rows of a table and the store version for its feed."""

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> TableChanges | HistoryLost | Unavailable:
        """Return the changes after a version; wait for at least one.

        :param table: name of the table.
        :param after: version after which changes are returned.
        :param wait_s: time to wait if there is no change yet.
        """


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, name: str, body: bytes) -> Unavailable | None:
        """Store an object; return ``None`` on success."""

    async def get(self, name: str) -> bytes | Unavailable | None:
        """Return an object; ``None`` if there is none."""

    async def names(self, prefix: str) -> tuple[str, ...] | Unavailable:
        """Return the names that start with the prefix, sorted."""


class HostList(Protocol):
    """The platform's list of live and leaving hosts."""

    async def entries(self) -> tuple[HostEntry, ...] | Unavailable:
        """Return all entries of the list."""


class WeightStore(Protocol):
    """The platform's rate-limited weight store."""

    async def reserve(self, model: str, layers: str) -> float | Unavailable:
        """Reserve a load of layers.

        :returns: seconds to wait before the load may start.
        """
