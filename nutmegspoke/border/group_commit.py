"""Commit the writes of claims in groups."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from nutmegspoke.claims.grouping import CommitGroups, Group

if TYPE_CHECKING:
    from nutmegspoke import metadata_store

_MAX_MEMBERS = 64
_MAX_GROUPS_IN_FLIGHT = 4


class GroupCommitter:
    """Committer of transactions that combines them into groups.

    Up to ``_MAX_GROUPS_IN_FLIGHT`` groups are in flight. A transaction that
    is added while none is in flight is sent at once, so that transactions of
    a daemon with little load do not wait.
    """

    def __init__(self, tables: metadata_store.TableService) -> None:
        """Create a committer.

        :param tables: the platform's table service.
        """
        self._tables = tables
        self._groups = CommitGroups(_MAX_MEMBERS)
        self._waiters: dict[
            int, asyncio.Future[metadata_store.CommitResult]
        ] = {}
        self._in_flight: set[asyncio.Task[None]] = set()

    async def commit(
        self,
        transaction: metadata_store.Transaction,
    ) -> metadata_store.CommitResult:
        """Commit a transaction as part of a group and return its result."""
        number = self._groups.add(transaction)
        result = asyncio.get_running_loop().create_future()
        self._waiters[number] = result
        self._send_groups()
        return await result

    def _send_groups(self) -> None:
        while len(self._in_flight) < _MAX_GROUPS_IN_FLIGHT:
            group = self._groups.next_group()
            if group is None:
                return
            task = asyncio.create_task(self._send(group))
            self._in_flight.add(task)
            task.add_done_callback(self._on_group_sent)

    async def _send(self, group: Group) -> None:
        commit = await self._tables.commit(group.transaction())
        for part in self._groups.resolve(group, commit):
            future = self._waiters.pop(part.number)
            if not future.done():
                future.set_result(part.commit)

    def _on_group_sent(self, task: asyncio.Task[None]) -> None:
        self._in_flight.discard(task)
        task.result()
        self._send_groups()
