"""Two daemons that want one pool, its row and engines of both kinds."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

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
from nutmegspoke.metadata_store import (
    Committed,
    CommitResult,
    InDoubt,
    Transaction,
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
    unanswered: list[Callable[[], None]] = dataclasses.field(
        default_factory=list,
    )


@dataclasses.dataclass
class _UnderWay:
    sent_s: float
    tenure: int
    step: SendOrder
    order: Order


class LeaseWorld:
    """Each method is one step of somebody; ``check`` holds after each.

    A daemon that gets no turn is paused. One that sends to an engine that
    checks numbers may be paused between the decision and the sending too.
    Orders to it arrive however late; to the other kind within their timeout.
    """

    def __init__(self) -> None:
        """Start two daemons, none of which holds the lease."""
        self.now_s = 0.0
        self.count = 0
        self.store = build.Store()
        self.late: list[Transaction] = []
        self.under_way: list[_UnderWay] = []
        self.effective: dict[bool, list[int]] = {True: [], False: []}
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
        fate: str,
        age: int,
    ) -> None:
        """Let a daemon work on its lease after some time."""
        self.now_s += pause_s
        daemon = self.daemons[number]
        step = daemon.keeper.next_step(self.now_s)
        if isinstance(step, ReadLease):
            row = self.store.read(step.key, age)
            daemon.keeper.handle_row(row, self.now_s)
        if isinstance(step, CommitLease):
            result = self._commit(step.transaction, fate)
            daemon.unanswered.append(
                lambda: daemon.keeper.handle_commit_result(result, self.now_s),
            )

    def answer(self, number: int, pause_s: float) -> None:
        """Let the answers of the table service reach a daemon."""
        self.now_s += pause_s
        daemon = self.daemons[number]
        while daemon.unanswered:
            daemon.unanswered.pop(0)()

    def step_order(
        self,
        number: int,
        checks_fencing: bool,
        fate: str,
        waits: bool,
    ) -> None:
        """Let a daemon work on an order."""
        daemon = self.daemons[number]
        if daemon.unsent is not None:
            self._leave(daemon, daemon.unsent)
            return
        if daemon.order is None or daemon.order.is_ended:
            daemon.order = self._new_order(checks_fencing)
        step = daemon.order.next_step(daemon.keeper, self.now_s)
        if isinstance(step, ReadOrder):
            daemon.order.handle_row(self.store.read(step.key))
        if isinstance(step, CommitOrder):
            result = self._commit(step.transaction, fate)
            daemon.order.handle_commit_result(result)
        if isinstance(step, SendOrder):
            daemon.unsent = step
            if not (waits and daemon.order.checks_fencing):
                self._leave(daemon, step)

    def land_late_write(self, position: int) -> None:
        """Let a write whose answer was given up on take effect."""
        if not self.late:
            return
        self._land(self.late.pop(position % len(self.late)))

    def deliver(self, position: int, is_answered: bool) -> None:
        """Let an order reach its engine."""
        if not self.under_way:
            return
        sent = self.under_way.pop(position % len(self.under_way))
        row = sent.step.row
        if sent.order.checks_fencing:
            if row.fencing_number < self.highest_number:
                sent.order.handle_send_result(SendResult.REFUSED, self.now_s)
                return
            self.highest_number = row.fencing_number
        elif self.now_s > sent.sent_s + sent.step.timeout_s:
            sent.order.handle_send_result(SendResult.IN_DOUBT, self.now_s)
            return
        self.effective[sent.order.checks_fencing].append(sent.tenure)
        sent.order.handle_send_result(SendResult.IN_DOUBT, self.now_s)
        if is_answered:
            sent.order.handle_layer_report(row.address, row.layers)

    def check(self) -> None:
        """Check all that must always hold."""
        self._check_one_holder()
        self._check_orders_in_turn()
        self._check_recorded_before_sent()

    def _check_one_holder(self) -> None:
        """Never do two daemons hold the lease, by their own reckoning."""
        held = [item.keeper.is_held(self.now_s) for item in self.daemons]
        assert sum(held) <= 1

    def _check_orders_in_turn(self) -> None:
        """Orders take effect in the order of their holders' tenures."""
        for tenures in self.effective.values():
            assert tenures == sorted(tenures)

    def _check_recorded_before_sent(self) -> None:
        """Each order that left stands in the table service."""
        for sent in self.under_way:
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

    def _leave(self, daemon: _Daemon, step: SendOrder) -> None:
        tenure = self._tenure(daemon.name)
        sent = _UnderWay(self.now_s, tenure, step, daemon.order)
        self.under_way.append(sent)
        daemon.unsent = None

    def _tenure(self, holder: str) -> int:
        """Return how often the lease had passed on when it last came here."""
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

    def _commit(self, transaction: Transaction, fate: str) -> CommitResult:
        if fate == 'late':
            self.late.append(transaction)
        if fate in {'late', 'dropped'}:
            return InDoubt(fate)
        result = self._land(transaction)
        return result if fate == 'answered' else InDoubt(fate)

    def _land(self, transaction: Transaction) -> CommitResult:
        result = self.store.commit(transaction)
        if isinstance(result, Committed):
            for row in result.rows:
                self._check_record(row.key, row.body)
        return result

    def _check_record(self, key: str, body: bytes) -> None:
        """Only the holder of the lease records orders, under its number."""
        if key.startswith('order/'):
            recorded = msgspec.msgpack.decode(body, type=OrderRow)
            number = self._lease_rows()[-1].fencing_number
            assert recorded.fencing_number == number
