"""Model of two daemons that contend for a pool, its lease row, and engines.

One engine checks fencing numbers, the other ignores them.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.metadata_store import (
    CommitResult,
    Committed,
    InDoubt,
    Transaction,
)
from nutmegspoke.placement.lease import (
    CommitLease,
    LeaseKeeper,
    LeaseRow,
    LeaseSettings,
    ReadLease,
)
from nutmegspoke.placement.orders import (
    CommitOrder,
    Order,
    OrderRow,
    ReadOrder,
    SendOrder,
    SendResult,
)
from tests import builders_placement as build

if TYPE_CHECKING:
    from collections.abc import Callable

_LEASE = LeaseSettings(9.0, 3.0, build.ORDER_TIMEOUT_S)


@dataclasses.dataclass
class _Daemon:
    keeper: LeaseKeeper
    name: str
    order: Order | None = None
    unsent: SendOrder | None = None
    pending_results: list[Callable[[], None]] = dataclasses.field(
        default_factory=list,
    )


@dataclasses.dataclass
class _SentOrder:
    sent_s: float
    tenure: int
    step: SendOrder
    order: Order


class LeaseDeployment:
    """State of the model. Each method is a step; ``check`` may follow any.

    A daemon that takes no step is paused. A daemon that sends to the engine
    that checks numbers may also be paused between deciding and sending.
    Orders to that engine may arrive at any time, orders to the other engine
    only within their timeout.
    """

    def __init__(self) -> None:
        """Start two daemons, neither of which holds the lease."""
        self.now_s = 0.0
        self.count = 0
        self.store = build.Store()
        self.late_writes: list[Transaction] = []
        self.in_transit: list[_SentOrder] = []
        self.delivered_tenures: dict[bool, list[int]] = {True: [], False: []}
        self.highest_number = 0
        self.daemons = [self._new_daemon() for _ in range(2)]

    def _new_daemon(self) -> _Daemon:
        self.count += 1
        name = f'daemon-{self.count}'
        return _Daemon(LeaseKeeper('drafting', name, _LEASE), name)

    def replace(self, number: int) -> None:
        """Kill a daemon and start another one."""
        self.daemons[number] = self._new_daemon()

    def step_lease(
        self,
        number: int,
        pause_s: float,
        outcome: str,
        age: int,
    ) -> None:
        """Carry out the next lease step of a daemon after a pause.

        :param outcome: result of a write, one of ``answered``, ``lost``,
            ``late`` and ``dropped``.
        :param age: how many versions the row that it reads lags behind.
        """
        self.now_s += pause_s
        daemon = self.daemons[number]
        step = daemon.keeper.next_step(self.now_s)
        if isinstance(step, ReadLease):
            row = self.store.read(step.key, age)
            daemon.keeper.handle_row(row, self.now_s)
        if isinstance(step, CommitLease):
            result = self._commit(step.transaction, outcome)
            daemon.pending_results.append(
                lambda: daemon.keeper.handle_commit_result(result, self.now_s),
            )

    def answer(self, number: int, pause_s: float) -> None:
        """Deliver the pending results of the table service to a daemon."""
        self.now_s += pause_s
        daemon = self.daemons[number]
        while daemon.pending_results:
            daemon.pending_results.pop(0)()

    def step_order(
        self,
        number: int,
        checks_fencing: bool,
        outcome: str,
        pauses_before_sending: bool,
    ) -> None:
        """Carry out the next order step of a daemon.

        :param outcome: result of a write, as for ``step_lease``.
        :param pauses_before_sending: pause between deciding and sending, if
            the engine checks fencing numbers.
        """
        daemon = self.daemons[number]
        if daemon.unsent is not None:
            self._send(daemon, daemon.unsent)
            return
        if daemon.order is None or daemon.order.is_ended:
            daemon.order = self._new_order(checks_fencing)
        step = daemon.order.next_step(daemon.keeper, self.now_s)
        if isinstance(step, ReadOrder):
            daemon.order.handle_row(self.store.read(step.key))
        if isinstance(step, CommitOrder):
            result = self._commit(step.transaction, outcome)
            daemon.order.handle_commit_result(result)
        if isinstance(step, SendOrder):
            daemon.unsent = step
            if not (pauses_before_sending and daemon.order.checks_fencing):
                self._send(daemon, step)

    def apply_late_write(self, position: int) -> None:
        """Apply a write whose daemon has already given up on its result."""
        if not self.late_writes:
            return
        self._apply(self.late_writes.pop(position % len(self.late_writes)))

    def deliver(self, position: int, is_answered: bool) -> None:
        """Deliver an order to its engine.

        :param is_answered: whether the engine also reports the layers.
        """
        if not self.in_transit:
            return
        sent = self.in_transit.pop(position % len(self.in_transit))
        row = sent.step.row
        if sent.order.checks_fencing:
            if row.fencing_number < self.highest_number:
                sent.order.handle_send_result(SendResult.REFUSED, self.now_s)
                return
            self.highest_number = row.fencing_number
        elif self.now_s > sent.sent_s + sent.step.timeout_s:
            sent.order.handle_send_result(SendResult.IN_DOUBT, self.now_s)
            return
        self.delivered_tenures[sent.order.checks_fencing].append(sent.tenure)
        sent.order.handle_send_result(SendResult.IN_DOUBT, self.now_s)
        if is_answered:
            sent.order.handle_layer_report(row.address, row.layers)

    def check(self) -> None:
        """Check all invariants."""
        self._check_one_holder()
        self._check_tenure_order()
        self._check_recorded_before_sent()

    def _check_one_holder(self) -> None:
        """At most one daemon believes that it holds the lease."""
        held = [item.keeper.is_held(self.now_s) for item in self.daemons]
        assert sum(held) <= 1

    def _check_tenure_order(self) -> None:
        """Engines receive orders in the order of the holders' tenures."""
        for tenures in self.delivered_tenures.values():
            assert tenures == sorted(tenures)

    def _check_recorded_before_sent(self) -> None:
        """Every order that was sent has a record in the table service."""
        for sent in self.in_transit:
            row = sent.step.row
            past = self.store.history.get(row.key, [])
            assert any(row.order_id.encode() in kept.body for kept in past)

    def _new_order(self, checks_fencing: bool) -> Order:
        self.count += 1
        return build.order(
            f'order-{self.count}',
            layers=(4, 8) if checks_fencing else (0, 4),
            checks_fencing=checks_fencing,
        )

    def _send(self, daemon: _Daemon, step: SendOrder) -> None:
        tenure = self._tenure(daemon.name)
        sent = _SentOrder(self.now_s, tenure, step, daemon.order)
        self.in_transit.append(sent)
        daemon.unsent = None

    def _tenure(self, holder: str) -> int:
        """Return the number of the latest tenure of a holder.

        Each change of the holder in the lease row starts a tenure.
        """
        tenure = found = 0
        before = ''
        for row in self._lease_rows():
            tenure += row.holder != before
            before = row.holder
            found = tenure if row.holder == holder else found
        return found

    def _lease_rows(self) -> list[LeaseRow]:
        return [
            msgspec.msgpack.decode(row.body, type=LeaseRow)
            for row in self.store.history.get('lease/drafting', [])
        ]

    def _commit(self, transaction: Transaction, outcome: str) -> CommitResult:
        if outcome == 'late':
            self.late_writes.append(transaction)
        if outcome in {'late', 'dropped'}:
            return InDoubt(outcome)
        result = self._apply(transaction)
        return result if outcome == 'answered' else InDoubt(outcome)

    def _apply(self, transaction: Transaction) -> CommitResult:
        result = self.store.commit(transaction)
        if isinstance(result, Committed):
            for row in result.rows:
                self._check_record(row.key, row.body)
        return result

    def _check_record(self, key: str, body: bytes) -> None:
        """An order is only recorded with the current fencing number."""
        if key.startswith('order/'):
            recorded = msgspec.msgpack.decode(body, type=OrderRow)
            number = self._lease_rows()[-1].fencing_number
            assert recorded.fencing_number == number
