"""Batches claim writes into transactions and splits the results."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke import metadata_store
from nutmegspoke.errors import BrokenInvariantError

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One transaction of a group.

    :param number: unique number of the member.
    :param transaction: its conditions and writes.
    """

    number: int
    transaction: metadata_store.Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of one member.

    :param number: number of the member.
    :param commit: result of its transaction.
    """

    number: int
    commit: metadata_store.CommitResult


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Members that are committed in one transaction.

    :param members: the members, in the order in which they were added.
    """

    members: tuple[Member, ...]

    def transaction(self) -> metadata_store.Transaction:
        """Return the transaction of all members."""
        return metadata_store.Transaction(
            conditions=tuple(
                condition
                for member in self.members
                for condition in member.transaction.conditions
            ),
            writes=tuple(
                write
                for member in self.members
                for write in member.transaction.writes
            ),
        )


class CommitGroups:
    """Forms groups in which each row occurs only once.

    A transaction is atomic. If the conditions of some members fail, the other
    members have no result; they are put first into the next group. If a
    group is in doubt, each member is in doubt, and has to read its own row.
    """

    def __init__(self, max_members: int) -> None:
        """Create without waiting transactions.

        :param max_members: largest number of members of a group.
        """
        self._max_members = max_members
        self._waiting: list[Member] = []
        self._committing_keys: set[str] = set()
        self._last_number = 0

    def add(self, transaction: metadata_store.Transaction) -> int:
        """Queue a transaction for the next group and return its number."""
        self._last_number += 1
        self._waiting.append(Member(self._last_number, transaction))
        return self._last_number

    def next_group(self) -> Group | None:
        """Return the next group to commit; ``None`` if there is none.

        Transactions with a row that is being committed stay in the queue.
        """
        chosen: list[Member] = []
        remaining: list[Member] = []
        for member in self._waiting:
            keys = _keys(member.transaction)
            is_full = len(chosen) >= self._max_members
            if is_full or keys & self._committing_keys:
                remaining.append(member)
                continue
            self._committing_keys |= keys
            chosen.append(member)
        self._waiting = remaining
        return Group(tuple(chosen)) if chosen else None

    def resolve(
        self,
        group: Group,
        commit: metadata_store.CommitResult,
    ) -> tuple[Result, ...]:
        """Return the results of members; queue the others for another group.

        :param group: a group that :meth:`next_group` returned.
        :param commit: result that the table service returned.
        :raises BrokenInvariantError: if a conflict concerns no member.
        """
        for member in group.members:
            self._committing_keys -= _keys(member.transaction)
        if isinstance(commit, metadata_store.Conflict):
            return self._split(group, commit)
        return tuple(
            Result(member.number, _result_of(member, commit))
            for member in group.members
        )

    def _split(
        self,
        group: Group,
        conflict: metadata_store.Conflict,
    ) -> tuple[Result, ...]:
        parts = {
            member: _conflict_of(member, conflict.rows)
            for member in group.members
        }
        failed = {member: part for member, part in parts.items() if part.rows}
        if not failed:
            raise BrokenInvariantError('conflict without a row of any member')
        others = [member for member in group.members if member not in failed]
        self._waiting = [*others, *self._waiting]
        return tuple(
            Result(member.number, part) for member, part in failed.items()
        )


def _keys(transaction: metadata_store.Transaction) -> set[str]:
    conditions = {condition.key for condition in transaction.conditions}
    return conditions | {write.key for write in transaction.writes}


def _result_of(
    member: Member,
    commit: metadata_store.CommitResult,
) -> metadata_store.CommitResult:
    if isinstance(commit, metadata_store.Committed):
        return metadata_store.Committed(_rows_of(member, commit.rows))
    return commit


def _conflict_of(
    member: Member,
    rows: Iterable[metadata_store.StoredRow],
) -> metadata_store.Conflict:
    versions = {
        condition.key: condition.version
        for condition in member.transaction.conditions
    }
    return metadata_store.Conflict(
        tuple(
            row
            for row in rows
            if row.key in versions and row.version != versions[row.key]
        ),
    )


def _rows_of(
    member: Member,
    rows: Iterable[metadata_store.StoredRow],
) -> tuple[metadata_store.StoredRow, ...]:
    keys = _keys(member.transaction)
    return tuple(row for row in rows if row.key in keys)
