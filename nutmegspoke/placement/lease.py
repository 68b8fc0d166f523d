"""The lease of a pool: one daemon at a time gives its engines orders.

No clock of two hosts is compared. The holder counts the lease from before it
sent the write that renewed it; a contender waits the whole duration from when
it first saw the row unchanged. A write whose answer is in doubt counts as not
renewed for the holder, until the row is read back, and as renewed for everyone
else, because the row's version has risen.
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

if TYPE_CHECKING:
    from nutmegspoke.metadata_store import CommitResult

LEASE_PREFIX = 'lease/'
_CLOCK_DRIFT = 0.01
_MAX_IN_DOUBT = 8


class LeaseRow(msgspec.Struct, frozen=True):
    """Body of a lease row.

    :param holder: name and start of the holder; empty if it was given back.
    :param fencing_number: raised each time the lease passes to a holder.
    :param duration_s: time that a contender must wait.
    :param write_id: differs in each write, to recognize one after a doubt.
    """

    holder: str
    fencing_number: int
    duration_s: float
    write_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Times of leases.

    :param duration_s: time that a lease holds.
    :param renew_after_s: time after which the holder renews it.
    :param order_timeout_s: longest time that an order may be under way.
    """

    duration_s: float = 9.0
    renew_after_s: float = 3.0
    order_timeout_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease row and report it.

    :param key: key of the row.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommitLease:
    """Commit this transaction and report its result.

    :param transaction: the conditional write.
    """

    transaction: Transaction


LeaseStep = ReadLease | CommitLease


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    sent_s: float
    row: LeaseRow
    is_take: bool


class LeaseKeeper:
    """Takes, renews and contends for the lease of one pool."""

    def __init__(self, pool: str, holder: str, settings: LeaseSettings) -> None:
        """Know nothing of the lease yet.

        :param pool: name of the pool.
        :param holder: name and start of this daemon.
        """
        self.key = f'{LEASE_PREFIX}{pool}'
        self.version = ABSENT_VERSION
        self.last_row: LeaseRow | None = None
        self._holder = holder
        self._settings = settings
        self._must_read = True
        self._unchanged_since_s = math.inf
        self._held_until_s = -math.inf
        self._renew_s = -math.inf
        self._orders_from_s = math.inf
        self._under_way: _Sent | None = None
        self._in_doubt: collections.deque[_Sent] = collections.deque(
            maxlen=_MAX_IN_DOUBT,
        )
        self._write_id = 0

    def is_held(self, now_s: float) -> bool:
        """Tell whether this daemon holds the lease."""
        return now_s < self._held_until_s

    def fencing_number(
        self,
        now_s: float,
        *,
        checks_fencing: bool,
    ) -> int | None:
        """Return the number with which an order may leave now.

        To engines that ignore the number an order leaves only while the lease
        outlasts the order's timeout, and only after the orders of an earlier
        holder have run out of time.

        :param checks_fencing: whether the engines refuse an old number.
        :returns: ``None`` if no order may leave.
        """
        if self.last_row is None or not self.is_held(now_s):
            return None
        if checks_fencing:
            return self.last_row.fencing_number
        ends_s = now_s + self._settings.order_timeout_s
        if now_s < self._orders_from_s or ends_s >= self._held_until_s:
            return None
        return self.last_row.fencing_number

    def next_step(self, now_s: float) -> LeaseStep | None:
        """Return what to do now; ``None`` for nothing."""
        if self._under_way is not None:
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
        if self._may_take(now_s):
            return self._write(
                self._last_fencing_number() + 1, now_s, is_take=True
            )
        return ReadLease(self.key)

    def release(self, now_s: float) -> CommitLease | None:
        """Return the write that gives the lease back, if it is held."""
        if self._under_way is not None or not self.is_held(now_s):
            return None
        self._held_until_s = -math.inf
        return self._write(self._last_fencing_number(), now_s, holder='')

    def handle_row(self, row: StoredRow, now_s: float) -> None:
        """Take a reading of the lease row.

        :param now_s: when the answer came.
        """
        if row.version < self.version:
            return
        is_first = self._unchanged_since_s == math.inf
        self._must_read = False
        if row.version == self.version and not is_first:
            return
        self.version = row.version
        self.last_row = _decoded(row)
        self._unchanged_since_s = now_s
        own = self._own_write()
        if own is None:
            self._held_until_s = -math.inf
        else:
            self._extend_lease(own, now_s)

    def handle_commit_result(self, result: CommitResult, now_s: float) -> None:
        """Take the result of a write.

        :param now_s: when the answer came.
        """
        sent = self._under_way
        self._under_way = None
        if sent is None or isinstance(result, Unavailable):
            return
        self._in_doubt.append(sent)
        self._must_read = True
        if isinstance(result, InDoubt):
            return
        for row in result.rows:
            if row.key == self.key:
                self.handle_row(row, now_s)

    def _may_take(self, now_s: float) -> bool:
        """Tell whether a write may take the lease, if the row is unchanged.

        A lease that has run out and that nobody else has taken since may be
        taken again by its last holder without waiting.
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
        is_take: bool = False,
        holder: str | None = None,
    ) -> CommitLease:
        self._write_id += 1
        row = LeaseRow(
            self._holder if holder is None else holder,
            fencing_number,
            self._settings.duration_s,
            self._write_id,
        )
        self._under_way = _Sent(now_s, row, is_take)
        body = msgspec.msgpack.encode(row)
        return CommitLease(
            Transaction(
                (Condition(self.key, self.version),),
                (Write(self.key, body),),
            ),
        )

    def _own_write(self) -> _Sent | None:
        if self.last_row is None or self.last_row.holder != self._holder:
            return None
        matching = [
            sent for sent in self._in_doubt if sent.row == self.last_row
        ]
        return matching[-1] if matching else None

    def _extend_lease(self, sent: _Sent, now_s: float) -> None:
        self._in_doubt.clear()
        duration_s = sent.row.duration_s * (1 - _CLOCK_DRIFT)
        self._held_until_s = sent.sent_s + duration_s
        self._renew_s = sent.sent_s + self._settings.renew_after_s
        if sent.is_take:
            self._orders_from_s = now_s + self._settings.order_timeout_s

    def _last_fencing_number(self) -> int:
        return self.last_row.fencing_number if self.last_row else 0


def _decoded(row: StoredRow) -> LeaseRow | None:
    try:
        return msgspec.msgpack.decode(row.body, type=LeaseRow)
    except msgspec.MsgspecError:
        return None
