"""Acquires, renews and releases the lease on placement for this daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.metadata_store import StoredRow, Unavailable
from nutmegspoke.placement.candidacy import Candidacy
from nutmegspoke.placement.lease import (
    LEASE_PREFIX,
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

# A lease must outlast several slow answers of the store, yet expire soon
# enough for another daemon to take over.
_LEASE = LeaseSettings(duration_s=2.4, renew_after_s=0.8, order_timeout_s=1.0)
_LEASE_NAME = 'layers'


class PlacementLease:
    """The lease on placement; its holder is the leader.

    :param tables: tables of the store, which hold the lease row.
    """

    def __init__(
        self,
        view: View,
        tables: TableService,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        """Start without the lease."""
        self._view = view
        self._tables = tables
        self._log = log
        self._clock = clock
        holder = f'{view.host.name}/{int(clock.wall_s() * 1_000)}'
        self._lease = LeaseKeeper(_LEASE_NAME, holder, _LEASE)
        self._candidacy = Candidacy()
        self._was_leader = False

    def is_leader(self) -> bool:
        """Return whether this daemon holds the lease."""
        return self._lease.is_held(self._clock.now_s())

    def row(self) -> tuple[int, bytes] | None:
        """Return version and body of the lease row if this daemon is leader."""
        if not self.is_leader() or self._lease.last_row is None:
            return None
        return self._lease.version, msgspec.msgpack.encode(self._lease.last_row)

    def receive_row(self, version: int, body: bytes) -> None:
        """Record the lease row received from another daemon.

        The time for which the row stays unchanged counts from now, without a
        call to the store.
        """
        if version > self._lease.version:
            row = StoredRow(self._lease.key, version, body)
            self._lease.handle_row(row, self._clock.now_s())

    def fencing_number(self) -> int | None:
        """Return the fencing number for an order.

        :returns: ``None`` if this daemon may not give orders now.
        """
        return self._lease.fencing_number(
            self._clock.now_s(),
            checks_fencing=True,
        )

    async def step(self) -> bool:
        """Read, acquire or renew the lease as needed.

        :returns: whether this daemon has acquired or lost the lease.
        """
        now_s = self._clock.now_s()
        if self.is_leader() or self._should_try(now_s):
            await self._sync_with_store(now_s)
        return self._log_change()

    async def release(self) -> None:
        """Release the lease if this daemon holds it."""
        released = self._lease.release(self._clock.now_s())
        if released is not None:
            await self._tables.commit(released.transaction)

    def _should_try(self, now_s: float) -> bool:
        updates = self._view.load_updates
        return self._candidacy.should_try(
            has_leader=updates.has_leader(now_s),
            is_preferred=not updates.relays.is_relayed
            or updates.is_relay(now_s),
            now_s=now_s,
        )

    async def _sync_with_store(self, now_s: float) -> None:
        step = self._lease.next_step(now_s)
        if isinstance(step, ReadLease):
            known_version = self._lease.version
            row = await self._tables.read(step.key)
            if not isinstance(row, Unavailable):
                self._forget_lost_row(known_version, row)
                self._lease.handle_row(row, self._clock.now_s())
        elif isinstance(step, CommitLease):
            answer = await self._tables.commit(step.transaction)
            self._lease.handle_commit_result(answer, self._clock.now_s())

    def _forget_lost_row(self, known_version: int, row: StoredRow) -> None:
        """Forget the known row if the store came back from an older copy.

        :param known_version: version that was known before the read began.
            Other daemons may have sent a newer one since.
        """
        if row.version >= known_version:
            return
        self._log.decided(
            'store_went_back',
            table=LEASE_PREFIX.removesuffix('/'),
            known_version=known_version,
            read_version=row.version,
        )
        self._lease.forget_row()

    def _log_change(self) -> bool:
        is_leader_now = self.is_leader()
        if is_leader_now == self._was_leader:
            return False
        self._was_leader = is_leader_now
        record = self._lease.last_row
        self._log.decided(
            'lease_taken' if is_leader_now else 'lease_lost',
            row_version=self._lease.version,
            fencing_number=record.fencing_number if record else None,
        )
        return True
