"""Lease of a pool: only its holder sends orders to the pool's engines.

Clocks of different hosts are never compared. The holder measures the lease
from the time before it sent the write that renewed it. A contender waits the
whole duration from the time when it first read the current version of the row.
If the result of a write is unknown, the holder treats the lease as not renewed
until it has read the row back; for all others it counts as renewed, because
the version of the row has risen.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.metadata_store import (
    ABSENT_VERSION,
    Condition,
    InDoubt,
    StoredRow,
    Transaction,
    Unavailable,
    Write,
)
from nutmegspoke.untrusted import UndecodableError, UntrustedDecoder

if TYPE_CHECKING:
    from nutmegspoke.metadata_store import CommitResult

LEASE_PREFIX = 'lease/'
# Share by which the holder shortens the lease, in case its clock is slow.
_CLOCK_DRIFT = 0.01
# Writes with unknown results that are kept for comparison with the row.
_MAX_IN_DOUBT = 8


class LeaseRow(msgspec.Struct, frozen=True):
    """Body of a lease row.

    :param holder: name and start of the holder; empty after a release.
    :param fencing_number: raised each time that the lease is acquired.
    :param duration_s: time for which a contender must wait.
    :param write_id: different in each write, so that a holder recognizes its
        own write whose result it did not learn.
    """

    holder: str
    fencing_number: int
    duration_s: float
    write_id: int = 0


_decoder = UntrustedDecoder.from_msgpack(LeaseRow)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Durations of a lease.

    :param duration_s: time for which a lease is valid.
    :param renew_after_s: time after which the holder renews it.
    :param order_timeout_s: longest time from sending an order to its delivery.
    """

    duration_s: float = 9.0
    renew_after_s: float = 3.0
    order_timeout_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLease:
    """Step: read the lease row and pass it to ``handle_row``.

    :param key: key of the row.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommitLease:
    """Step: commit a transaction and call ``handle_commit_result``.

    :param transaction: the conditional write of the lease row.
    """

    transaction: Transaction


LeaseStep = ReadLease | CommitLease


@dataclasses.dataclass(frozen=True, slots=True)
class _SentWrite:
    sent_s: float
    row: LeaseRow
    is_acquisition: bool


class LeaseKeeper:
    """Acquires, renews and releases the lease of one pool.

    It does no I/O: the caller carries out each step that it returns and
    reports the result.
    """

    def __init__(self, pool: str, holder: str, settings: LeaseSettings) -> None:
        """Start without the lease; the first step reads its row.

        :param pool: name of the pool.
        :param holder: name and start of this daemon.
        """
        self.key = f'{LEASE_PREFIX}{pool}'
        self.version = ABSENT_VERSION
        self.last_row: LeaseRow | None = None
        self._highest_fencing_number = 0
        self._holder = holder
        self._settings = settings
        self._must_read = True
        self._unchanged_since_s = math.inf
        self._held_until_s = -math.inf
        self._renew_s = -math.inf
        self._orders_from_s = math.inf
        self._pending_write: _SentWrite | None = None
        self._in_doubt: collections.deque[_SentWrite] = collections.deque(
            maxlen=_MAX_IN_DOUBT,
        )
        self._write_id = 0

    def is_held(self, now_s: float) -> bool:
        """Return whether this daemon holds the lease."""
        return now_s < self._held_until_s

    def fencing_number(
        self,
        now_s: float,
        *,
        checks_fencing: bool,
    ) -> int | None:
        """Return the fencing number for an order sent now.

        Engines that ignore the number are sent an order only if the lease
        lasts longer than the order's timeout, and only after all orders of
        the previous holder have timed out.

        :param checks_fencing: whether the engines refuse an old number.
        :returns: ``None`` if no order may be sent now.
        """
        if self.last_row is None or not self.is_held(now_s):
            return None
        if checks_fencing:
            return self.last_row.fencing_number
        deadline_s = now_s + self._settings.order_timeout_s
        if now_s < self._orders_from_s or deadline_s >= self._held_until_s:
            return None
        return self.last_row.fencing_number

    def next_step(self, now_s: float) -> LeaseStep | None:
        """Return the step to carry out now.

        :returns: ``None`` if a write is pending or no renewal is due.
        """
        if self._pending_write is not None:
            return None
        if self._must_read:
            return ReadLease(self.key)
        if self.is_held(now_s):
            is_due = now_s >= self._renew_s
            return (
                self._write(self._last_fencing_number(), now_s)
                if is_due
                else None
            )
        if self._may_acquire(now_s):
            return self._write(
                self._last_fencing_number() + 1, now_s, is_acquisition=True
            )
        return ReadLease(self.key)

    def release(self, now_s: float) -> CommitLease | None:
        """Return the write that releases the lease.

        The lease counts as lost from now on, also if the write fails.

        :returns: ``None`` if the lease is not held or a write is pending.
        """
        if self._pending_write is not None or not self.is_held(now_s):
            return None
        self._held_until_s = -math.inf
        return self._write(self._last_fencing_number(), now_s, holder='')

    def handle_row(self, row: StoredRow, now_s: float) -> None:
        """Update the state from a lease row that was read.

        Versions older than the last one are ignored.

        :param now_s: time at which the row was received.
        """
        if row.version < self.version:
            return
        is_first = self._unchanged_since_s == math.inf
        self._must_read = False
        if row.version == self.version and not is_first:
            return
        self.version = row.version
        self.last_row = _decode_lease(row)
        self._highest_fencing_number = self._last_fencing_number()
        self._unchanged_since_s = now_s
        own = self._own_write()
        if own is None:
            self._held_until_s = -math.inf
        else:
            self._extend_lease(own, now_s)

    def forget_row(self) -> None:
        """Forget the known row, which the store has lost, and the lease.

        The fencing number still rises: engines may know the lost one.
        """
        self.version = ABSENT_VERSION
        self.last_row = None
        self._must_read = True
        self._unchanged_since_s = math.inf
        self._held_until_s = -math.inf
        self._in_doubt.clear()

    def handle_commit_result(self, result: CommitResult, now_s: float) -> None:
        """Update the state from the result of a write.

        The lease is only extended once the row itself shows the write.

        :param now_s: time at which the result was received.
        """
        sent = self._pending_write
        self._pending_write = None
        if sent is None or isinstance(result, Unavailable):
            return
        self._in_doubt.append(sent)
        self._must_read = True
        if isinstance(result, InDoubt):
            return
        for row in result.rows:
            if row.key == self.key:
                self.handle_row(row, now_s)

    def _may_acquire(self, now_s: float) -> bool:
        """Return whether this daemon may try to acquire the lease.

        The last holder need not wait if no other daemon has acquired the lease
        since it expired.
        """
        if self.version == ABSENT_VERSION:
            return True
        if self.last_row is None:
            return False
        if self.last_row.holder in {'', self._holder}:
            return True
        return now_s >= self._unchanged_since_s + self.last_row.duration_s

    def _write(
        self,
        fencing_number: int,
        now_s: float,
        *,
        is_acquisition: bool = False,
        holder: str | None = None,
    ) -> CommitLease:
        self._write_id += 1
        row = LeaseRow(
            self._holder if holder is None else holder,
            fencing_number,
            self._settings.duration_s,
            self._write_id,
        )
        self._pending_write = _SentWrite(now_s, row, is_acquisition)
        body = msgspec.msgpack.encode(row)
        return CommitLease(
            Transaction(
                (Condition(self.key, self.version),),
                (Write(self.key, body),),
            ),
        )

    def _own_write(self) -> _SentWrite | None:
        if self.last_row is None or self.last_row.holder != self._holder:
            return None
        matching = [
            sent for sent in self._in_doubt if sent.row == self.last_row
        ]
        return matching[-1] if matching else None

    def _extend_lease(self, sent: _SentWrite, now_s: float) -> None:
        self._in_doubt.clear()
        duration_s = sent.row.duration_s * (1 - _CLOCK_DRIFT)
        self._held_until_s = sent.sent_s + duration_s
        self._renew_s = sent.sent_s + self._settings.renew_after_s
        if sent.is_acquisition:
            self._orders_from_s = now_s + self._settings.order_timeout_s

    def _last_fencing_number(self) -> int:
        number = self.last_row.fencing_number if self.last_row else 0
        return max(number, self._highest_fencing_number)


def _decode_lease(row: StoredRow) -> LeaseRow | None:
    try:
        return _decoder.decode(row.body)
    except UndecodableError:
        return None
