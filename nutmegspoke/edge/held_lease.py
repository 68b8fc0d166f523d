"""The lease on placement, as this daemon takes, renews and loses it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.metadata_store import StoredRow, Unavailable
from nutmegspoke.placement.lease import (
    CommitLease,
    LeaseKeeper,
    LeaseSettings,
    ReadLease,
)

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.view import View
    from nutmegspoke.metadata_store import TableService

# A lease must outlast some slow answers of the store, and pass on soon.
_LEASE = LeaseSettings(duration_s=2.4, renew_after_s=0.8, order_timeout_s=1.0)
_LEASE_NAME = 'layers'


class HeldLease:
    """Takes the lease when nobody else holds it.

    :param tables: where the lease is kept.
    """

    def __init__(
        self,
        view: View,
        tables: TableService,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        """Hold nothing."""
        self._view = view
        self._tables = tables
        self._log = log
        self._clock = clock
        holder = f'{view.host.name}/{int(clock.wall_s() * 1_000)}'
        self._lease = LeaseKeeper(_LEASE_NAME, holder, _LEASE)
        self._held = False

    def leads(self) -> bool:
        """Tell whether this daemon holds the lease."""
        return self._lease.is_held(self._clock.now_s())

    def row(self) -> tuple[int, bytes] | None:
        """Return version and body of the lease row, if this daemon leads."""
        if not self.leads() or self._lease.last_row is None:
            return None
        return self._lease.version, msgspec.msgpack.encode(self._lease.last_row)

    def heard(self, version: int, body: bytes) -> None:
        """Take the lease row as another daemon tells it.

        The time for which it stays unchanged counts from here, without a
        call to the store.
        """
        if version > self._lease.version:
            row = StoredRow(self._lease.key, version, body)
            self._lease.handle_row(row, self._clock.now_s())

    def fencing_number(self) -> int | None:
        """Return the number for an order now; ``None`` if none may be given."""
        return self._lease.fencing_number(
            self._clock.now_s(),
            checks_fencing=True,
        )

    async def step(self) -> bool:
        """Read, take or renew the lease; tell whether that changed hands."""
        now_s = self._clock.now_s()
        if self.leads() or not self._view.board.has_leader(now_s):
            await self._call(now_s)
        return self._note()

    async def release(self) -> None:
        """Give the lease back."""
        released = self._lease.release(self._clock.now_s())
        if released is not None:
            await self._tables.commit(released.transaction)

    async def _call(self, now_s: float) -> None:
        step = self._lease.next_step(now_s)
        if isinstance(step, ReadLease):
            row = await self._tables.read(step.key)
            if not isinstance(row, Unavailable):
                self._lease.handle_row(row, self._clock.now_s())
        elif isinstance(step, CommitLease):
            answer = await self._tables.commit(step.transaction)
            self._lease.handle_commit_result(answer, self._clock.now_s())

    def _note(self) -> bool:
        held = self.leads()
        if held == self._held:
            return False
        self._held = held
        last_row = self._lease.last_row
        self._log.decided(
            'lease_taken' if held else 'lease_lost',
            row_version=self._lease.version,
            fencing_number=last_row.fencing_number if last_row else None,
        )
        return True
