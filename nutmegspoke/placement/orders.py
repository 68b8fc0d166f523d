"""Orders to engines of one pool: recorded, sent, and confirmed by a report.

An order is recorded in a transaction that also requires the lease row to be
unchanged, so that a daemon that lost its lease records nothing. The key of the
record is the layer range, so that two daemons can't both replace the same
range.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.layers import LayerRange
from nutmegspoke.metadata_store import (
    Committed,
    Condition,
    Conflict,
    StoredRow,
    Transaction,
    Unavailable,
    Write,
)
from nutmegspoke.untrusted import UndecodableError, UntrustedDecoder

if TYPE_CHECKING:
    from nutmegspoke.metadata_store import CommitResult
    from nutmegspoke.placement.lease import LeaseKeeper

ORDER_PREFIX = 'order/'


class OrderRow(msgspec.Struct, frozen=True):
    """Body of the record of an order.

    :param order_id: id of the order.
    :param pool: pool of the engine.
    :param fencing_number: number of the lease under which it was recorded.
    :param target: name of the engine.
    :param address: ``IP:PORT`` of the engine.
    :param model: model to load.
    :param version: version to load.
    :param first_layer: first layer to hold.
    :param stop_layer: layer after the last one to hold.
    :param holder: name and start of the daemon that recorded it.
    """

    order_id: str
    pool: str
    fencing_number: int
    target: str
    address: str
    model: str
    version: str
    first_layer: int
    stop_layer: int
    holder: str

    @property
    def layers(self) -> LayerRange:
        """Return the layers to hold."""
        return LayerRange(self.first_layer, self.stop_layer)

    @property
    def key(self) -> str:
        """Return the key of the record."""
        return f'{ORDER_PREFIX}{self.pool}/{self.layers}'


_decoder = UntrustedDecoder.from_msgpack(OrderRow)


class OrderState(enum.StrEnum):
    """Progress of an order.

    ``IN_DOUBT`` means that the result of the write of its record is unknown.
    """

    NEW = 'new'
    RECORDING = 'recording'
    IN_DOUBT = 'in_doubt'
    RECORDED = 'recorded'
    SENDING = 'sending'
    SENT = 'sent'
    DONE = 'done'
    DROPPED = 'dropped'


class DropReason(enum.StrEnum):
    """Why an order was dropped."""

    NONE = 'none'
    LEASE_LOST = 'lease_lost'
    OTHER_ORDER = 'other_order'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    TIMEOUT = 'timeout'


class SendResult(enum.StrEnum):
    """Result of sending an order; ``IN_DOUBT`` if there was no answer."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    IN_DOUBT = 'in_doubt'


@dataclasses.dataclass(frozen=True, slots=True)
class CommitOrder:
    """Step: commit a transaction and call ``handle_commit_result``."""

    transaction: Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class ReadOrder:
    """Step: read the record and pass it to ``handle_row``."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Step: send the order to its engine and call ``handle_send_result``.

    :param row: the order.
    :param timeout_s: timeout of the request.
    """

    row: OrderRow
    timeout_s: float


OrderStep = CommitOrder | ReadOrder | SendOrder


@dataclasses.dataclass(slots=True)
class Order:
    """State machine of one order.

    It does no I/O: the caller carries out each step that it returns and
    reports the result.

    :param row: the order; its fencing number is set when it is recorded.
    :param checks_fencing: whether the engine refuses an old number.
    :param base_version: version of the record that it replaces; ``None``
        before the record was read.
    :param timeout_s: timeout of the request to the engine.
    :param done_limit_s: time after sending within which the engine must report
        the layers.
    """

    row: OrderRow
    checks_fencing: bool
    timeout_s: float
    base_version: int | None = None
    done_limit_s: float = 30.0
    state: OrderState = OrderState.NEW
    drop_reason: DropReason = DropReason.NONE
    _sent_s: float = 0.0

    def next_step(self, lease: LeaseKeeper, now_s: float) -> OrderStep | None:
        """Return the step to carry out now.

        :param lease: lease of the order's pool.
        :returns: ``None`` while a step is pending or no order may be sent, and
            after the order has ended.
        """
        if self.state == OrderState.SENT:
            if now_s - self._sent_s > self.done_limit_s:
                self._drop(DropReason.TIMEOUT)
            return None
        if self.is_ended or self.state in _PENDING_STATES:
            return None
        number = lease.fencing_number(now_s, checks_fencing=self.checks_fencing)
        if number is None:
            self._check_lease(lease, now_s)
            return None
        if self.state == OrderState.NEW and self.base_version is not None:
            return self._record(lease, number, self.base_version)
        if self.state != OrderState.RECORDED:
            return ReadOrder(self.row.key)
        return self._send(number, now_s)

    def handle_commit_result(self, result: CommitResult) -> None:
        """Update the state from the result of the write of the record."""
        match result:
            case Committed():
                self.state = OrderState.RECORDED
            case Conflict(rows):
                self._handle_conflict(rows)
            case Unavailable():
                self.state = OrderState.NEW
            case _:
                self.state = OrderState.IN_DOUBT

    def handle_row(self, row: StoredRow) -> None:
        """Update the state from the record that was read.

        The record is read before the first write, and again if the result of
        a write is unknown. A write that has not taken effect by then may still
        do so. The retry writes the same order, so that it does not matter
        which of the two succeeds.
        """
        if self.state == OrderState.NEW:
            self.base_version = row.version
        if self.state != OrderState.IN_DOUBT:
            return
        if row.version == self.base_version:
            self.state = OrderState.NEW
            return
        self._compare_record(row)

    def handle_send_result(self, result: SendResult, now_s: float) -> None:
        """Update the state from the result of sending the order.

        An order without an answer is not sent again, because loading the
        layers twice would discard caches. The engine's load report shows
        whether it was carried out.
        """
        if self.state != OrderState.SENDING:
            return
        if result == SendResult.REFUSED:
            self._drop(DropReason.REFUSED)
        elif result == SendResult.UNREACHABLE:
            self._drop(DropReason.UNREACHABLE)
        else:
            self.state = OrderState.SENT
            self._sent_s = now_s

    def handle_layer_report(
        self, address: str, layers: LayerRange | None
    ) -> None:
        """Mark the order as done if its engine reports the ordered layers.

        :param address: ``IP:PORT`` of the engine that reported.
        :param layers: layers that it holds; ``None`` if it holds none.
        """
        is_engine = address == self.row.address
        if (
            is_engine
            and layers == self.row.layers
            and self._may_have_taken_effect()
        ):
            self.state = OrderState.DONE

    @property
    def is_ended(self) -> bool:
        """Return whether the order is done or dropped."""
        return self.state in {OrderState.DONE, OrderState.DROPPED}

    def _may_have_taken_effect(self) -> bool:
        return self.state in {OrderState.SENDING, OrderState.SENT}

    def _record(
        self,
        lease: LeaseKeeper,
        number: int,
        base_version: int,
    ) -> CommitOrder:
        self.row = msgspec.structs.replace(self.row, fencing_number=number)
        self.state = OrderState.RECORDING
        return CommitOrder(
            Transaction(
                (
                    Condition(lease.key, lease.version),
                    Condition(self.row.key, base_version),
                ),
                (Write(self.row.key, msgspec.msgpack.encode(self.row)),),
            ),
        )

    def _send(self, number: int, now_s: float) -> SendOrder | None:
        if number != self.row.fencing_number:
            self._drop(DropReason.LEASE_LOST)
            return None
        self.state = OrderState.SENDING
        self._sent_s = now_s
        return SendOrder(self.row, self.timeout_s)

    def _handle_conflict(self, rows: tuple[StoredRow, ...]) -> None:
        """Check which condition of the transaction failed.

        If only the version of the lease row has risen, this daemon has renewed
        its lease in the meantime; then the write is retried.
        """
        self.state = OrderState.NEW
        for row in rows:
            if row.key == self.row.key:
                self._compare_record(row)

    def _compare_record(self, stored: StoredRow) -> None:
        recorded = decode_order(stored)
        if recorded is not None and recorded.order_id == self.row.order_id:
            self.row = recorded
            self.state = OrderState.RECORDED
        else:
            self._drop(DropReason.OTHER_ORDER)

    def _check_lease(self, lease: LeaseKeeper, now_s: float) -> None:
        if not lease.is_held(now_s):
            self._drop(DropReason.LEASE_LOST)

    def _drop(self, reason: DropReason) -> None:
        self.state = OrderState.DROPPED
        self.drop_reason = reason


def decode_order(row: StoredRow) -> OrderRow | None:
    """Return the order of a record; ``None`` if it can't be read."""
    try:
        return _decoder.decode(row.body)
    except UndecodableError:
        return None


_PENDING_STATES = frozenset((OrderState.RECORDING, OrderState.SENDING))
