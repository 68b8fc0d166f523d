"""What the daemon believes now: tables, targets, load and faults."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.admission.draft_room import (
    NO_PROMISE,
    AnswerLengths,
    RoomLedger,
    sum_promises,
)
from nutmegspoke.admission.socket_shares import target_share
from nutmegspoke.membership.engine_health import EngineReports
from nutmegspoke.membership.layer_moves import LayerReassignments
from nutmegspoke.membership.load_news import LoadUpdates, update_interval_s
from nutmegspoke.membership.lost_engines import LostEngines
from nutmegspoke.membership.target_entries import TargetEntries
from nutmegspoke.retries.pool_budgets import PoolBudgets
from nutmegspoke.retries.target_faults import TargetFaults
from nutmegspoke.retries.window_budget import WindowSettings
from nutmegspoke.routing.crossing_budget import CrossingBudget
from nutmegspoke.routing.entry_routes import RouteIndex
from nutmegspoke.routing.engine_loads import EngineLoad, fill_limit
from nutmegspoke.routing.room_chains import ChainFinder

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from nutmegspoke.admission.draft_room import Promise
    from nutmegspoke.entry_host import (
        EntryHost,
        EntryPool,
        EntryTables,
        ModelProfile,
        RecoveryBounds,
    )
    from nutmegspoke.routing.engine_loads import DraftNeed


# Daemons that may come up unheard while this one starts or is cut off.
_MIN_OTHERS = 8


class View:
    """Beliefs of the daemon; every part reads them, their owners write.

    :param host: the host of this daemon.
    """

    def __init__(self, host: EntryHost) -> None:
        """Start without tables and targets."""
        self.host = host
        self.tables: EntryTables | None = None
        self._has_tables = asyncio.Event()
        self.routes = RouteIndex(())
        self.targets = TargetEntries(host.bounds.drain_s)
        self.targets_version = 0
        self.faults = TargetFaults()
        self.ledger = RoomLedger()
        self.board = LoadUpdates()
        self.reports = EngineReports()
        self.reassignments = LayerReassignments()
        self.lost_engines = LostEngines()
        self.budgets = PoolBudgets(_window_settings(host.bounds))
        self._lengths: dict[str, AnswerLengths] = {}
        self._finders: dict[str, ChainFinder] = {}
        self._crossings: dict[str, CrossingBudget] = {}

    def take_tables(self, tables: EntryTables) -> bool:
        """Serve by these tables from now on; ``False`` if they are old."""
        if self.tables is not None and tables.version <= self.tables.version:
            return False
        self.tables = tables
        self._has_tables.set()
        self.routes = RouteIndex.from_tables(tables)
        self._finders = {
            pool.name: ChainFinder(pool.profile, self.host.availability_zone)
            for pool in tables.pools.values()
            if pool.profile is not None
        }
        return True

    async def first_tables(self, limit_s: float) -> None:
        """Wait for the first tables.

        :param limit_s: longest wait.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._has_tables.wait()

    def take_host(self, host: EntryHost) -> None:
        """See the host as its settings describe it now."""
        self.host = host
        self.targets.set_drain_time(host.bounds.drain_s)
        self.budgets.use(_window_settings(host.bounds))

    @property
    def version(self) -> int:
        """Return the version of the tables; 0 without tables."""
        return 0 if self.tables is None else self.tables.version

    def pool(self, name: str) -> EntryPool | None:
        """Return a pool of the tables."""
        return None if self.tables is None else self.tables.pools.get(name)

    def finder(self, pool: str) -> ChainFinder:
        """Return the finder of chains of a pool of engines."""
        return self._finders[pool]

    def budget_daemons(self, now_s: float) -> int:
        """Return how many daemons share the budgets, silent ones included."""
        return 1 + max(_MIN_OTHERS, self.board.count_known_hosts(now_s))

    def connection_share(self, pool: EntryPool, now_s: float) -> int:
        """Return how many connections to a target this daemon may open."""
        return target_share(pool.max_connections, self.budget_daemons(now_s))

    def crossings(self, pool: str, profile: ModelProfile) -> CrossingBudget:
        """Return the budget for chains of a pool that cross zones."""
        budget = self._crossings.get(pool)
        if budget is None:
            budget = CrossingBudget(profile)
            self._crossings[pool] = budget
        return budget

    def lengths(self, pool: str, profile: ModelProfile) -> AnswerLengths:
        """Return what is known of the lengths of a pool's answers."""
        lengths = self._lengths.get(pool)
        if lengths is None:
            lengths = AnswerLengths(profile.usual_answer_tokens)
            self._lengths[pool] = lengths
        return lengths

    def engine_loads(
        self,
        pool: str,
        profile: ModelProfile,
        avoided: Collection[str],
        now_s: float,
    ) -> list[EngineLoad]:
        """Return the engines of a pool that may run a part of a chain.

        :param avoided: names of engines that the request has failed on.
        """
        promised = self.promised(now_s)
        limit = fill_limit(update_interval_s(self.board.daemons(now_s)))
        loads: list[EngineLoad] = []
        for entry in self.targets.live(pool):
            kind = profile.kinds.get(entry.kind)
            layers = self.reassignments.usable_layers(entry, now_s)
            if kind is None or layers is None or entry.name in avoided:
                continue
            if self.faults.is_left_out(entry.name, now_s):
                continue
            promise = promised.get(entry.name, NO_PROMISE)
            state = self.reports.find_state(entry.name, now_s)
            held = self.reassignments.max_held_layers(entry, now_s)
            loads.append(
                EngineLoad(
                    name=entry.name,
                    address=entry.address,
                    availability_zone=entry.availability_zone,
                    layers=layers,
                    accelerator=kind,
                    total_token_layers=profile.room_token_layers(
                        entry.kind,
                        held,
                    ),
                    used_token_layers=(
                        promise.token_layers + state.unknown_token_layers
                    ),
                    requests=promise.requests,
                    firsts=promise.firsts,
                    slowness=state.slowness,
                    fill_limit=limit,
                ),
            )
        return loads

    def has_layers(self, pool: str, need: DraftNeed, now_s: float) -> bool:
        """Tell whether chains of a pool's engines could run a draft.

        Load and faults of the moment don't count.
        """
        found = self.pool(pool)
        if found is None or found.profile is None:
            return False
        profile = found.profile
        engines = [
            dataclasses.replace(load, used_token_layers=0.0)
            for load in self.engine_loads(pool, profile, (), now_s)
        ]
        return self.finder(pool).find(engines, need) is not None

    def fill_of(self, target: str, now_s: float) -> float:
        """Return how full an engine is, as far as promises tell; 0 to 1."""
        entry = self.targets.find(target)
        pool = None if entry is None else self.pool(entry.pool)
        if entry is None or entry.layers is None or pool is None:
            return 0.0
        if pool.profile is None:
            return 0.0
        held = len(entry.layers)
        total = pool.profile.room_token_layers(entry.kind, held)
        unknown = self.reports.find_state(target, now_s).unknown_token_layers
        promise = self.promised(now_s).get(target, NO_PROMISE)
        used = promise.token_layers + unknown
        return used / max(1.0, total)

    def promised(self, now_s: float) -> Mapping[str, Promise]:
        """Return what daemons have promised on each engine."""
        return sum_promises(
            (self.ledger.promised(), self.board.promised(now_s)),
        )

    def zone_of(self, target: str) -> str:
        """Return the availability zone of a target."""
        entry = self.targets.find(target)
        return '' if entry is None else entry.availability_zone

    def name_at(self, address: str) -> str | None:
        """Return the name of the target at an address."""
        for entry in self.targets.all():
            if entry.address == address:
                return entry.name
        return None


def _window_settings(bounds: RecoveryBounds) -> WindowSettings:
    return WindowSettings(
        bounds.retry_share,
        bounds.retry_slack,
        bounds.retry_window_s,
    )
