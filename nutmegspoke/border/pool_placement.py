"""Holds the lease of one pool and executes its layer orders."""

from __future__ import annotations

import dataclasses
import logging
import secrets
from typing import TYPE_CHECKING

from nutmegspoke.placement.lease import (
    CommitLease,
    LeaseKeeper,
    LeaseSettings,
    ReadLease,
)
from nutmegspoke.placement.orders import (
    CommitOrder,
    Order,
    OrderRow,
    ReadOrder,
    SendOrder,
)
from nutmegspoke.placement.spares import Replacement, SpareFinder
from nutmegspoke.metadata_store import Unavailable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.border.order_client import OrderClient
    from nutmegspoke.placement.orders import OrderStep
    from nutmegspoke.metadata_store import TableService, WeightStore
    from nutmegspoke.tables.rows import PoolRow
    from nutmegspoke.targets import Target

logger = logging.getLogger(__name__)
_ORDER_ID_BYTES = 8
_MAX_STEPS_PER_ROUND = 4


@dataclasses.dataclass(slots=True)
class _PlannedOrder:
    """An order and the time from which the weight store permits it."""

    order: Order
    replacement: Replacement
    ready_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementTools:
    """Dependencies of the placement of a pool.

    :param clock: the process's clock.
    :param tables: the table service.
    :param weights: the weight store.
    :param client: sends orders to engines.
    :param settings: durations of leases and orders.
    """

    clock: Clock
    tables: TableService
    weights: WeightStore
    client: OrderClient
    settings: LeaseSettings


class PoolPlacement:
    """Placement of one pool: its lease, lost layers and orders."""

    def __init__(self, pool: str, holder: str, tools: PlacementTools) -> None:
        """Start without a lease.

        :param pool: name of the pool.
        :param holder: name and start number of this daemon.
        :param tools: services and settings.
        """
        self._pool = pool
        self._holder = holder
        self._tools = tools
        self._keeper = LeaseKeeper(pool, holder, tools.settings)
        self._spare_finder = SpareFinder()
        self._planned: list[_PlannedOrder] = []
        self._was_held = False

    async def run_round(self, row: PoolRow, members: Sequence[Target]) -> None:
        """Renew the lease and, while it is held, replace lost layers.

        :param row: row of the pool.
        :param members: all targets of the pool, whatever their state.
        """
        await self._maintain_lease()
        if not self._keeper.is_held(self._tools.clock.now_s()):
            self._planned.clear()
            return
        await self._plan_replacements(row, members)
        for planned in self._planned:
            self._report_layers(planned.order, members)
            await self._advance_order(planned)
        self._planned = [
            planned for planned in self._planned if not planned.order.is_ended
        ]

    async def release(self) -> None:
        """Release the lease, unless an order may be in progress."""
        if self._planned:
            return
        step = self._keeper.release(self._tools.clock.now_s())
        if step is not None:
            await self._tools.tables.commit(step.transaction)
            logger.info('placement: lease released pool=%s', self._pool)

    async def _maintain_lease(self) -> None:
        clock = self._tools.clock
        step = self._keeper.next_step(clock.now_s())
        if isinstance(step, ReadLease):
            row = await self._tools.tables.read(step.key)
            if isinstance(row, Unavailable):
                return
            self._keeper.handle_row(row, clock.now_s())
            step = self._keeper.next_step(clock.now_s())
        if isinstance(step, CommitLease):
            result = await self._tools.tables.commit(step.transaction)
            self._keeper.handle_commit_result(result, clock.now_s())
        self._log_lease()

    def _log_lease(self) -> None:
        is_held = self._keeper.is_held(self._tools.clock.now_s())
        if is_held != self._was_held and self._keeper.last_row is not None:
            logger.info(
                'placement: lease %s pool=%s fencing=%d',
                'taken' if is_held else 'lost',
                self._pool,
                self._keeper.last_row.fencing_number,
            )
        self._was_held = is_held

    async def _plan_replacements(
        self, row: PoolRow, members: Sequence[Target]
    ) -> None:
        now_s = self._tools.clock.now_s()
        pending = [planned.replacement for planned in self._planned]
        for replacement in self._spare_finder.find(
            row, members, pending, now_s
        ):
            layers = str(replacement.layers)
            wait_s = await self._tools.weights.reserve(row.model, layers)
            if isinstance(wait_s, Unavailable):
                logger.warning(
                    'placement: weight store unavailable pool=%s', row.name
                )
                return
            logger.info(
                'placement: layers lost pool=%s layers=%s spare=%s wait_s=%.3f',
                row.name,
                layers,
                replacement.spare.name,
                wait_s,
            )
            ready_s = self._tools.clock.now_s() + wait_s
            order = self._new_order(row, replacement)
            self._planned.append(_PlannedOrder(order, replacement, ready_s))

    def _new_order(self, row: PoolRow, replacement: Replacement) -> Order:
        spare = replacement.spare
        order_row = OrderRow(
            order_id=secrets.token_hex(_ORDER_ID_BYTES),
            pool=row.name,
            fencing_number=0,
            target=spare.name,
            address=spare.address,
            model=row.model,
            version=row.version,
            first_layer=replacement.layers.start,
            stop_layer=replacement.layers.stop,
            holder=self._holder,
        )
        timeout_s = self._tools.settings.order_timeout_s
        return Order(order_row, row.checks_fencing, timeout_s)

    def _report_layers(self, order: Order, members: Sequence[Target]) -> None:
        for target in members:
            order.handle_layer_report(target.address, target.layers)

    async def _advance_order(self, planned: _PlannedOrder) -> None:
        order = planned.order
        if self._tools.clock.now_s() < planned.ready_s:
            return
        old_state = order.state
        for _ in range(_MAX_STEPS_PER_ROUND):
            step = order.next_step(self._keeper, self._tools.clock.now_s())
            if step is None:
                break
            await self._execute_step(order, step)
        if order.state != old_state or order.is_ended:
            _log_order(order)

    async def _execute_step(self, order: Order, step: OrderStep) -> None:
        if isinstance(step, SendOrder):
            result = await self._tools.client.send(step)
            order.handle_send_result(result, self._tools.clock.now_s())
        elif isinstance(step, CommitOrder):
            result = await self._tools.tables.commit(step.transaction)
            order.handle_commit_result(result)
        elif isinstance(step, ReadOrder):
            row = await self._tools.tables.read(step.key)
            if not isinstance(row, Unavailable):
                order.handle_row(row)


def _log_order(order: Order) -> None:
    logger.info(
        'placement: order state=%s id=%s pool=%s layers=%s target=%s '
        'fencing=%d reason=%s',
        order.state,
        order.row.order_id,
        order.row.pool,
        order.row.layers,
        order.row.target,
        order.row.fencing_number,
        order.drop_reason,
    )
