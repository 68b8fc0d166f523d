"""Assigns layers to engines in all pools while this daemon is the leader."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.border.periodic import Periodic
from nutmegspoke.edge.slices import run_cooperatively
from nutmegspoke.engine_orders import OrderAnswer
from nutmegspoke.placement.layer_changes import (
    find_next_change,
    find_zones_with_gaps,
)
from nutmegspoke.placement.layer_plan import (
    PlacedEngine,
    group_by_zone,
    plan_zone,
)
from nutmegspoke.placement.zone_gaps import (
    REASSIGN_DELAY_S,
    ZoneGaps,
)

if TYPE_CHECKING:
    from collections.abc import Container

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.held_lease import PlacementLease
    from nutmegspoke.edge.listeners import TargetsListener
    from nutmegspoke.edge.view import View
    from nutmegspoke.engine_orders import EngineCalls
    from nutmegspoke.entry_host import ModelProfile, TargetEntry
    from nutmegspoke.layers import LayerRange
    from nutmegspoke.placement.layer_plan import LayerPlan

# Interval between two steps of the lease, and of the controller.
_INTERVAL_S = 0.25
# Engines register over the first seconds; the first plan waits until no engine
# was added or removed for this time.
_LIST_SETTLE_S = 1.5
# Time for which an order counts as pending: without an answer it may still be
# carried out, or its load of layers may end.
_ORDER_TIMEOUT_S = 12.0
# Time until an engine in use lists its new layers, in which chains use none that
# it may drop: running drafts end first, then some layers are loaded.
_REASSIGNMENT_TIMEOUT_S = 6.0
# More concurrent loads of layers (weights) than this slow each other down.
_MAX_LOADS = 5
_MAY_HAVE_BEGUN = frozenset(
    (OrderAnswer.BEGUN, OrderAnswer.DONE, OrderAnswer.IN_DOUBT),
)


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingOrder:
    layers: LayerRange
    started_ms: int
    expires_s: float


class LayerController:
    """Controller that plans layers and closes gaps, layers that no engine holds.

    :param view: state of the daemon.
    :param calls: sends orders to engines.
    :param lease: lease on placement; only its holder sends orders.
    :param targets: knows when the list of engines last grew or shrank.
    :param log: log of decisions.
    :param clock: clock of the process.
    """

    def __init__(
        self,
        view: View,
        calls: EngineCalls,
        lease: PlacementLease,
        targets: TargetsListener,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        """Create a controller that is not started yet."""
        self._view = view
        self._calls = calls
        self._targets_listener = targets
        self._log = log
        self._clock = clock
        self._lease = lease
        self._gaps_version = -1
        self._pending_orders: dict[str, _PendingOrder] = {}
        # The last holders for which no change was found; they are not planned
        # again.
        self._holders_without_change: tuple[PlacedEngine, ...] = ()
        self._zone_gaps = ZoneGaps()
        self._lease_steps = Periodic('lease', _INTERVAL_S, self._step_lease)
        self._periodic = Periodic('layers', _INTERVAL_S, self._step)

    async def start(self) -> None:
        """Start two tasks, so that the lease is renewed during planning."""
        self._lease_steps.start()
        self._periodic.start()

    async def stop(self) -> None:
        """Stop the tasks and release the lease."""
        await self._periodic.stop()
        await self._lease_steps.stop()
        await self._lease.release()

    async def _step_lease(self) -> None:
        if await self._lease.step():
            self._pending_orders.clear()

    async def _step(self) -> None:
        now_s = self._clock.now_s()
        self._track_gaps(now_s)
        if not self._lease.is_leader() or not self._targets_listener.is_current:
            return
        if now_s - self._targets_listener.changed_s < _LIST_SETTLE_S:
            if not self._has_assigned_layers():
                return
        for pool in self._layered_pools():
            await self._assign_layers(pool[0], pool[1], now_s)

    def _track_gaps(self, now_s: float) -> None:
        """Record since when zones have gaps, also while not the leader."""
        version = self._view.targets_version
        if version == self._gaps_version:
            return
        self._gaps_version = version
        gaps: set[str] = set()
        for pool, profile in self._layered_pools():
            live = self._view.targets.live(pool)
            holders = [self._new_holder(entry) for entry in live]
            gaps |= find_zones_with_gaps(holders, profile)
        self._zone_gaps.update_zones(
            gaps, self._targets_listener.planned_departures_s, now_s
        )

    def _layered_pools(self) -> list[tuple[str, ModelProfile]]:
        tables = self._view.tables
        if tables is None:
            return []
        return [
            (pool.name, pool.profile)
            for pool in tables.pools.values()
            if pool.profile is not None
        ]

    def _has_assigned_layers(self) -> bool:
        return any(
            entry.layers is not None for entry in self._view.targets.all()
        )

    async def _assign_layers(
        self,
        pool: str,
        profile: ModelProfile,
        now_s: float,
    ) -> None:
        live = {entry.name: entry for entry in self._view.targets.live(pool)}
        self._drop_finished_orders(live, now_s)
        holders = [self._new_holder(entry) for entry in live.values()]
        if self._holders_without_change == tuple(holders):
            return
        if all(holder.layers is None for holder in holders):
            for members in group_by_zone(holders):
                zone_plan = await run_cooperatively(plan_zone(members, profile))
                await self._send_orders(live, zone_plan)
            return
        reassignable_zones = self._find_reassignable_zones(holders, now_s)
        plan = await self._plan_changes(holders, profile, reassignable_zones)
        is_stable = now_s - self._targets_listener.changed_s > REASSIGN_DELAY_S
        if is_stable and not plan and not self._pending_orders:
            self._holders_without_change = tuple(holders)
        await self._send_orders(live, plan)

    async def _send_orders(
        self,
        live: dict[str, TargetEntry],
        plan: LayerPlan,
    ) -> None:
        orders = (
            self._send_order(live[name], layers)
            for name, layers in plan.items()
        )
        await asyncio.gather(*orders)

    async def _plan_changes(
        self,
        holders: list[PlacedEngine],
        profile: ModelProfile,
        reassignable_zones: Container[str],
    ) -> dict[str, LayerRange]:
        plan: dict[str, LayerRange] = {}
        planned_holders = {holder.name: holder for holder in holders}
        while len(plan) + len(self._pending_orders) < _MAX_LOADS:
            change = await run_cooperatively(
                find_next_change(
                    tuple(planned_holders.values()),
                    profile,
                    reassignable_zones=reassignable_zones,
                ),
            )
            if change is None or change.target in plan:
                break
            plan[change.target] = change.layers
            planned_holders[change.target] = dataclasses.replace(
                planned_holders[change.target],
                layers=change.layers,
            )
        return plan

    def _find_reassignable_zones(
        self,
        holders: list[PlacedEngine],
        now_s: float,
    ) -> set[str]:
        """Return the zones in which engines may be reassigned.

        These are the zones with a gap to close, or all zones once the list
        of engines has not changed for some time.
        """
        if now_s - self._targets_listener.changed_s > REASSIGN_DELAY_S:
            return {holder.availability_zone for holder in holders}
        return self._zone_gaps.find_zones_to_close(now_s)

    def _new_holder(self, entry: TargetEntry) -> PlacedEngine:
        pending_order = self._pending_orders.get(entry.name)
        layers = entry.layers if pending_order is None else pending_order.layers
        return PlacedEngine(
            entry.name, entry.availability_zone, entry.kind, layers
        )

    def _drop_finished_orders(
        self,
        live: dict[str, TargetEntry],
        now_s: float,
    ) -> None:
        for name, pending_order in tuple(self._pending_orders.items()):
            entry = live.get(name)
            is_finished = (
                entry is None
                or entry.layers == pending_order.layers
                or entry.started_ms != pending_order.started_ms
                or now_s > pending_order.expires_s
            )
            if is_finished:
                self._pending_orders.pop(name)

    async def _send_order(self, entry: TargetEntry, layers: LayerRange) -> None:
        now_s = self._clock.now_s()
        self._pending_orders[entry.name] = _PendingOrder(
            layers,
            entry.started_ms,
            now_s + _ORDER_TIMEOUT_S,
        )
        report = await self._calls.report(entry.address)
        number = self._lease.fencing_number()
        if number is None or report is None or report.is_busy:
            self._pending_orders.pop(entry.name, None)
            return
        # Recorded before sending, so that no chain uses layers that the engine
        # is about to drop.
        if entry.layers is not None:
            self._view.reassignments.record_order(
                entry.name,
                layers,
                _REASSIGNMENT_TIMEOUT_S,
                self._clock.now_s(),
            )
        answer = await self._calls.order_layers(
            entry.address,
            entry.name,
            layers,
            number,
            report.order_number,
        )
        self._log.decided(
            'layers_ordered',
            target=entry.name,
            kind=entry.kind,
            zone=entry.availability_zone,
            held=str(entry.layers),
            wanted=str(layers),
            fencing_number=number,
            order_number=report.order_number,
            outcome=answer.value,
        )
        # The order was not begun, so the engine keeps its layers.
        if answer not in _MAY_HAVE_BEGUN:
            self._pending_orders.pop(entry.name, None)
            self._view.reassignments.forget(entry.name)
