"""Keeps the layers of all pools placed while this daemon holds the lease."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.border.periodic import Periodic
from nutmegspoke.edge.slices import in_slices
from nutmegspoke.engine_orders import OrderAnswer
from nutmegspoke.placement.layer_changes import (
    find_next_change,
    find_zones_with_gaps,
)
from nutmegspoke.placement.layer_plan import Holder, group_by_zone, plan_zone
from nutmegspoke.placement.zone_gaps import (
    REASSIGN_DELAY_S,
    ZoneGaps,
)

if TYPE_CHECKING:
    from collections.abc import Container

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.held_lease import HeldLease
    from nutmegspoke.edge.listeners import TargetsListener
    from nutmegspoke.edge.view import View
    from nutmegspoke.engine_orders import EngineCalls
    from nutmegspoke.entry_host import ModelProfile, TargetEntry
    from nutmegspoke.layers import LayerRange
    from nutmegspoke.placement.layer_plan import LayerPlan

_STEP_S = 0.25
# Engines list themselves over the first seconds; the plan waits for the last.
_LIST_CALM_S = 1.5
# Time in which a lost order may still be carried out, or a load end.
_ORDER_LIMIT_S = 12.0
# Time in which an engine in work lists the layers that it now holds: drafts
# that pass through it end, and some layers load.
_MOVE_LIMIT_S = 6.0
# Orders that load at the same time slow each other down beyond this number.
_MAX_LOADS = 5
_MAY_HAVE_BEGUN = frozenset(
    (OrderAnswer.BEGUN, OrderAnswer.DONE, OrderAnswer.IN_DOUBT),
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Ordered:
    layers: LayerRange
    started_ms: int
    until_s: float


class LayerKeeper:
    """Plans, orders, and sees to losses.

    :param calls: gives orders to engines.
    :param lease: allows orders while this daemon holds it.
    :param targets: tells when the list of engines last grew or shrank.
    """

    def __init__(
        self,
        view: View,
        calls: EngineCalls,
        lease: HeldLease,
        targets: TargetsListener,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        """Prepare to keep."""
        self._view = view
        self._calls = calls
        self._targets = targets
        self._log = log
        self._clock = clock
        self._lease = lease
        self._gaps_version = -1
        self._ordered: dict[str, _Ordered] = {}
        self._settled: tuple[Holder, ...] = ()
        self._gaps = ZoneGaps()
        self._lease_steps = Periodic('lease', _STEP_S, self._step_lease)
        self._periodic = Periodic('layers', _STEP_S, self._step)

    async def start(self) -> None:
        """Begin to keep; the lease is renewed while a plan is made."""
        self._lease_steps.start()
        self._periodic.start()

    async def stop(self) -> None:
        """Keep no more, and give the lease back."""
        await self._periodic.stop()
        await self._lease_steps.stop()
        await self._lease.release()

    async def _step_lease(self) -> None:
        if await self._lease.step():
            self._ordered.clear()

    async def _step(self) -> None:
        now_s = self._clock.now_s()
        self._note_gaps(now_s)
        if not self._lease.leads() or not self._targets.is_current:
            return
        if now_s - self._targets.changed_s < _LIST_CALM_S:
            if not self._has_placement():
                return
        for pool in self._layered_pools():
            await self._place(pool[0], pool[1], now_s)

    def _note_gaps(self, now_s: float) -> None:
        """Note since when zones lack layers, also while another one leads."""
        version = self._view.targets_version
        if version == self._gaps_version:
            return
        self._gaps_version = version
        gaps: set[str] = set()
        for pool, profile in self._layered_pools():
            live = self._view.targets.live(pool)
            holders = [self._holder(entry) for entry in live]
            gaps |= find_zones_with_gaps(holders, profile)
        self._gaps.update_zones(gaps, self._targets.quiet_leaves_s, now_s)

    def _layered_pools(self) -> list[tuple[str, ModelProfile]]:
        tables = self._view.tables
        if tables is None:
            return []
        return [
            (pool.name, pool.profile)
            for pool in tables.pools.values()
            if pool.profile is not None
        ]

    def _has_placement(self) -> bool:
        return any(
            entry.layers is not None for entry in self._view.targets.all()
        )

    async def _place(
        self,
        pool: str,
        profile: ModelProfile,
        now_s: float,
    ) -> None:
        live = {entry.name: entry for entry in self._view.targets.live(pool)}
        self._forget_done(live, now_s)
        holders = [self._holder(entry) for entry in live.values()]
        if self._settled == tuple(holders):
            return
        if all(holder.layers is None for holder in holders):
            for members in group_by_zone(holders):
                found = await in_slices(plan_zone(members, profile))
                await self._order_all(live, found)
            return
        reassignable_zones = self._movable_zones(holders, now_s)
        plan = await self._changes(holders, profile, reassignable_zones)
        is_calm = now_s - self._targets.changed_s > REASSIGN_DELAY_S
        if is_calm and not plan and not self._ordered:
            self._settled = tuple(holders)
        await self._order_all(live, plan)

    async def _order_all(
        self,
        live: dict[str, TargetEntry],
        plan: LayerPlan,
    ) -> None:
        orders = (
            self._order(live[name], layers) for name, layers in plan.items()
        )
        await asyncio.gather(*orders)

    async def _changes(
        self,
        holders: list[Holder],
        profile: ModelProfile,
        reassignable_zones: Container[str],
    ) -> dict[str, LayerRange]:
        plan: dict[str, LayerRange] = {}
        present = {holder.name: holder for holder in holders}
        while len(plan) + len(self._ordered) < _MAX_LOADS:
            change = await in_slices(
                find_next_change(
                    tuple(present.values()),
                    profile,
                    reassignable_zones=reassignable_zones,
                ),
            )
            if change is None or change.target in plan:
                break
            plan[change.target] = change.layers
            present[change.target] = dataclasses.replace(
                present[change.target],
                layers=change.layers,
            )
        return plan

    def _movable_zones(
        self,
        holders: list[Holder],
        now_s: float,
    ) -> set[str]:
        """Return the zones with a gap to close; all if nothing has changed."""
        if now_s - self._targets.changed_s > REASSIGN_DELAY_S:
            return {holder.availability_zone for holder in holders}
        return self._gaps.find_zones_to_close(now_s)

    def _holder(self, entry: TargetEntry) -> Holder:
        ordered = self._ordered.get(entry.name)
        layers = entry.layers if ordered is None else ordered.layers
        return Holder(entry.name, entry.availability_zone, entry.kind, layers)

    def _forget_done(
        self,
        live: dict[str, TargetEntry],
        now_s: float,
    ) -> None:
        for name, ordered in tuple(self._ordered.items()):
            entry = live.get(name)
            is_over = (
                entry is None
                or entry.layers == ordered.layers
                or entry.started_ms != ordered.started_ms
                or now_s > ordered.until_s
            )
            if is_over:
                self._ordered.pop(name)

    async def _order(self, entry: TargetEntry, layers: LayerRange) -> None:
        now_s = self._clock.now_s()
        self._ordered[entry.name] = _Ordered(
            layers,
            entry.started_ms,
            now_s + _ORDER_LIMIT_S,
        )
        report = await self._calls.report(entry.address)
        number = self._lease.fencing_number()
        if number is None or report is None or report.is_busy:
            self._ordered.pop(entry.name, None)
            return
        if entry.layers is not None:
            self._view.reassignments.ordered(
                entry.name,
                layers,
                _MOVE_LIMIT_S,
                self._clock.now_s(),
            )
        answer = await self._calls.hold(
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
        if answer not in _MAY_HAVE_BEGUN:
            self._ordered.pop(entry.name, None)
            self._view.reassignments.forget(entry.name)
