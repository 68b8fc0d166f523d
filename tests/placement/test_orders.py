"""Tests of orders to engines."""

from __future__ import annotations

import unittest

from nutmegspoke.layers import LayerRange
from nutmegspoke.metadata_store import InDoubt, Unavailable
from nutmegspoke.placement.lease import CommitLease, LeaseKeeper, LeaseSettings
from nutmegspoke.placement.orders import (
    CommitOrder,
    DropReason,
    Order,
    OrderState,
    ReadOrder,
    SendOrder,
    SendResult,
)
from tests import builders_placement as build


def _acquire(store: build.Store, name: str, now_s: float = 0.0) -> LeaseKeeper:
    keeper = LeaseKeeper('drafting', name, LeaseSettings(9.0, 3.0, 2.0))
    keeper.handle_row(store.read(keeper.key), now_s)
    _step_lease(store, keeper, now_s)
    return keeper


def _step_lease(
    store: build.Store,
    keeper: LeaseKeeper,
    now_s: float,
) -> None:
    step = keeper.next_step(now_s)
    if isinstance(step, CommitLease):
        keeper.handle_commit_result(store.commit(step.transaction), now_s)
    else:
        keeper.handle_row(store.read(keeper.key), now_s)


class OrderTest(unittest.TestCase):
    """One order of the daemon that holds the lease."""

    def setUp(self) -> None:
        """Let a daemon hold the lease from second 0 to 9."""
        self.store = build.Store()
        self.lease = _acquire(self.store, 'daemon-1')
        self.order = build.order()

    def _read(self, order: Order | None = None) -> None:
        order = order or self.order
        step = order.next_step(self.lease, 0.0)
        self.assertIsInstance(step, ReadOrder)
        order.handle_row(self.store.read(step.key))

    def _record(self, now_s: float = 0.0) -> None:
        step = self.order.next_step(self.lease, now_s)
        self.assertIsInstance(step, CommitOrder)
        self.order.handle_commit_result(self.store.commit(step.transaction))

    def test_is_recorded_before_it_is_sent(self) -> None:
        """The order is done when the engine reports the ordered layers."""
        self._read()
        self._record()
        step = self.order.next_step(self.lease, 0.0)
        self.assertIsInstance(step, SendOrder)
        self.assertEqual(step.row.fencing_number, 1)
        self.assertIsNone(self.order.next_step(self.lease, 0.0))
        self.order.handle_send_result(SendResult.ACCEPTED, 1.0)
        self.order.handle_layer_report(step.row.address, LayerRange(0, 4))
        self.assertEqual(self.order.state, OrderState.SENT)
        self.order.handle_layer_report(step.row.address, LayerRange(4, 8))
        self.assertEqual(self.order.state, OrderState.DONE)

    def test_a_lost_answer_to_the_record_is_read_back(self) -> None:
        """The order is recorded once, whether or not the write took effect."""
        for took_effect in (True, False):
            with self.subTest(took_effect=took_effect):
                self.setUp()
                self._read()
                step = self.order.next_step(self.lease, 0.0)
                if took_effect:
                    self.store.commit(step.transaction)
                self.order.handle_commit_result(InDoubt('reset'))
                self._read()
                if not took_effect:
                    self._record()
                self.assertEqual(self.order.state, OrderState.RECORDED)
                self.assertEqual(len(self.store.history[step_key(step)]), 1)

    def test_a_late_write_conflicts_with_its_own_retry(self) -> None:
        """The retry conflicts with the first write, which holds the order."""
        self._read()
        step = self.order.next_step(self.lease, 0.0)
        self.order.handle_commit_result(InDoubt('timeout'))
        self._read()
        self.store.commit(step.transaction)
        self._record()
        self.assertEqual(self.order.state, OrderState.RECORDED)

    def test_the_record_is_retried_after_a_renewal(self) -> None:
        """The write is retried with the new version of the lease row."""
        self._read()
        step = self.order.next_step(self.lease, 2.0)
        _step_lease(self.store, self.lease, 3.0)
        self.order.handle_commit_result(self.store.commit(step.transaction))
        self.assertEqual(self.order.state, OrderState.NEW)
        self._record(3.0)
        self.assertEqual(self.order.state, OrderState.RECORDED)

    def test_two_daemons_replace_a_range_once(self) -> None:
        """Guards against a record written after the lease was lost."""
        self._read()
        step = self.order.next_step(self.lease, 8.0)
        other = LeaseKeeper('drafting', 'daemon-2', LeaseSettings())
        other.handle_row(self.store.read(other.key), 1.0)
        _step_lease(self.store, other, 10.0)
        self.assertTrue(other.is_held(10.0))
        self.order.handle_commit_result(self.store.commit(step.transaction))
        self.assertIsNone(self.order.next_step(self.lease, 10.0))
        self.assertEqual(self.order.drop_reason, DropReason.LEASE_LOST)
        self.assertNotIn(self.order.row.key, self.store.history)

    def test_another_order_for_the_range_goes_first(self) -> None:
        """The second order is dropped: the layer range is the record's key."""
        second = build.order('order-2')
        self._read()
        self._read(second)
        self._record()
        step = second.next_step(self.lease, 0.0)
        second.handle_commit_result(self.store.commit(step.transaction))
        self.assertEqual(second.drop_reason, DropReason.OTHER_ORDER)

    def test_is_not_sent_under_another_number(self) -> None:
        """An order recorded before the lease was acquired again is dropped."""
        self._read()
        self._record()
        _step_lease(self.store, self.lease, 20.0)
        self.assertEqual(self.lease.last_row.fencing_number, 2)
        self.assertIsNone(self.order.next_step(self.lease, 20.0))
        self.assertEqual(self.order.drop_reason, DropReason.LEASE_LOST)

    def test_an_order_in_doubt_is_not_sent_twice(self) -> None:
        """Loading twice would discard caches; the order times out instead."""
        self._read()
        self._record()
        self.order.next_step(self.lease, 0.0)
        self.order.handle_send_result(SendResult.IN_DOUBT, 2.0)
        for now_s in (2.0, 4.9):
            self.assertIsNone(self.order.next_step(self.lease, now_s))
            self.assertFalse(self.order.is_ended)
        self.order.next_step(self.lease, 5.1)
        self.assertEqual(self.order.drop_reason, DropReason.TIMEOUT)

    def test_an_order_that_is_not_accepted_is_dropped(self) -> None:
        """A refused or unreachable order is dropped with that reason."""
        for result, reason in (
            (SendResult.REFUSED, DropReason.REFUSED),
            (SendResult.UNREACHABLE, DropReason.UNREACHABLE),
        ):
            self.setUp()
            self._read()
            self._record()
            self.order.next_step(self.lease, 0.0)
            self.order.handle_send_result(result, 0.1)
            self.assertEqual(self.order.drop_reason, reason)

    def test_a_store_that_is_down_delays_the_order(self) -> None:
        """An order is not sent before it is recorded."""
        self._read()
        step = self.order.next_step(self.lease, 0.0)
        self.order.handle_commit_result(Unavailable('refused'))
        self.assertEqual(self.order.state, OrderState.NEW)
        self._record()
        self.assertEqual(len(self.store.history[step_key(step)]), 1)


def step_key(step: CommitOrder) -> str:
    """Return the key that a step writes."""
    return step.transaction.writes[0].key
