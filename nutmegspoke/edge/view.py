"""State of the daemon: tables, targets, load and faults."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.admission.draft_room import (
    NO_RESERVATION,
    AnswerLengths,
    MemoryReservations,
    Reservation,
    sum_reservations,
)
from nutmegspoke.admission.socket_shares import target_share
from nutmegspoke.contention.pools import ContendedPools
from nutmegspoke.membership.engine_health import EngineReports
from nutmegspoke.membership.layer_moves import LayerReassignments
from nutmegspoke.membership.lost_engines import LostEngines
from nutmegspoke.membership.received_updates import ReceivedUpdates
from nutmegspoke.membership.target_entries import TargetEntries
from nutmegspoke.retries.pool_budgets import PoolBudgets
from nutmegspoke.retries.shared_quarantine import SharedQuarantine
from nutmegspoke.retries.target_conditions import TargetConditions
from nutmegspoke.retries.target_faults import TargetFaults
from nutmegspoke.retries.window_budget import WindowSettings
from nutmegspoke.routing.crossing_budget import CrossingBudget
from nutmegspoke.routing.engine_loads import (
    DraftNeed,
    EngineLoad,
    fill_limit,
)
from nutmegspoke.routing.entry_routes import RouteIndex
from nutmegspoke.routing.room_chains import ChainFinder, ChainOptions

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from nutmegspoke.entry_host import (
        EntryHost,
        EntryPool,
        EntryTables,
        ModelProfile,
        RecoveryBounds,
    )


# Daemons assumed to share budgets even if no update from them was received,
# as when this daemon starts or is disconnected.
_MIN_OTHER_DAEMONS = 8


class View:
    """Shared state of the daemon.

    All parts read it; each attribute is written by the part that owns it.

    :param host: description of this host.
    :ivar host: description of this host, as last applied.
    :ivar tables: tables in force; ``None`` before the first.
    :ivar routes: index of the routes of the tables.
    :ivar targets: targets that discovery lists.
    :ivar targets_version: version of the table of targets.
    :ivar faults: targets that are left out because of faults.
    :ivar conditions: what targets say of themselves.
    :ivar own_reservations: memory that this daemon has reserved on engines.
    :ivar load_updates: last updates of the other daemons.
    :ivar reports: state of engines, from their reports.
    :ivar reassignments: engines that change their layers.
    :ivar lost_engines: engines that were found to have ended.
    :ivar retry_budgets: retry budget of each pool.
    :ivar crashes: requests under which targets have crashed.
    """

    def __init__(self, host: EntryHost) -> None:
        """Start without tables and targets."""
        self.host = host
        self.tables: EntryTables | None = None
        self._tables_applied = asyncio.Event()
        self._tables_applied_s = 0.0
        self.routes = RouteIndex(())
        self.conditions = TargetConditions()
        self.targets = TargetEntries(
            host.bounds.drain_s, self.conditions.departures
        )
        self.targets_version = 0
        self.faults = TargetFaults()
        self.own_reservations = MemoryReservations()
        self.load_updates = ReceivedUpdates.from_host(host)
        self.reports = EngineReports()
        self.reassignments = LayerReassignments()
        self.lost_engines = LostEngines()
        self.retry_budgets = PoolBudgets(_window_settings(host.bounds))
        self.crashes = SharedQuarantine()
        self._contention = ContendedPools()
        self._answer_lengths: dict[str, AnswerLengths] = {}
        self._profiles: dict[str, ModelProfile] = {}
        self._crossing_budgets: dict[str, CrossingBudget] = {}

    def apply_tables(self, tables: EntryTables, now_s: float) -> bool:
        """Put tables into force; ``False`` if their version is not newer."""
        if self.tables is not None and tables.version <= self.tables.version:
            return False
        self.tables = tables
        self._tables_applied_s = now_s
        self._tables_applied.set()
        self.routes = RouteIndex.from_tables(tables)
        listed_pools = {entry.pool for entry in self.targets.all()}
        self._profiles = _merge_profiles(self._profiles, tables, listed_pools)
        self._contention.apply_tables(tables)
        return True

    async def wait_for_tables(self, timeout_s: float) -> None:
        """Wait until tables are in force or the timeout has passed.

        :param timeout_s: timeout in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._tables_applied.wait()

    def apply_host(self, host: EntryHost) -> None:
        """Apply a new description of the host."""
        self.host = host
        self.targets.set_drain_time(host.bounds.drain_s)
        self.retry_budgets.update_settings(_window_settings(host.bounds))

    @property
    def contention(self) -> ContendedPools:
        """Return ranks and own demand of pools that several ranks share."""
        return self._contention

    @property
    def version(self) -> int:
        """Return the version of the tables; 0 without tables."""
        return 0 if self.tables is None else self.tables.version

    def tables_age_s(self, now_s: float) -> float:
        """Return for how long the tables have been in force, in seconds.

        :returns: -1 without tables.
        """
        return -1.0 if self.tables is None else now_s - self._tables_applied_s

    def chain_finder(self, profile: ModelProfile) -> ChainFinder:
        """Return a chain finder for engines with a profile.

        A request passes the profile of the tables that it was matched with, as
        newer tables may describe its pool differently or not at all.
        """
        return ChainFinder(profile, self.host.availability_zone)

    def count_budget_daemons(self, now_s: float) -> int:
        """Return the number of daemons that share the budgets.

        Daemons that have stopped sending updates are included.
        """
        return 1 + max(
            _MIN_OTHER_DAEMONS, self.load_updates.count_known_hosts(now_s)
        )

    def max_connections_per_target(self, pool: EntryPool, now_s: float) -> int:
        """Return the limit on connections of this daemon to a target."""
        return target_share(
            pool.max_connections, self.count_budget_daemons(now_s)
        )

    def crossing_budget(
        self, pool: str, profile: ModelProfile
    ) -> CrossingBudget:
        """Return the budget for zone crossings of a pool's chains."""
        budget = self._crossing_budgets.get(pool)
        if budget is None:
            budget = CrossingBudget(profile)
            self._crossing_budgets[pool] = budget
        return budget

    def answer_lengths(self, pool: str, profile: ModelProfile) -> AnswerLengths:
        """Return the statistics on the lengths of a pool's answers."""
        answer_lengths = self._answer_lengths.get(pool)
        if answer_lengths is None:
            answer_lengths = AnswerLengths(profile.usual_answer_tokens)
            self._answer_lengths[pool] = answer_lengths
        return answer_lengths

    def engine_loads(
        self,
        pool: str,
        profile: ModelProfile,
        avoided: Collection[str],
        now_s: float,
    ) -> list[EngineLoad]:
        """Return the load of each usable engine of a pool.

        :param avoided: names of engines on which the request has failed.
        """
        reserved = self.total_reservations(now_s)
        limit = fill_limit(self.load_updates.max_load_age_s(now_s))
        loads: list[EngineLoad] = []
        for entry in self.conditions.pauses.filter_open(
            self.targets.live(pool), now_s
        ):
            kind = profile.kinds.get(entry.kind)
            layers = self.reassignments.usable_layers(entry, now_s)
            if kind is None or layers is None or entry.name in avoided:
                continue
            if self.faults.is_left_out(entry.name, now_s):
                continue
            reservation = reserved.get(entry.name, NO_RESERVATION)
            state = self.reports.find_state(entry.name, now_s)
            held = self.reassignments.max_held_layers(entry, now_s)
            loads.append(
                EngineLoad(
                    name=entry.name,
                    address=entry.address,
                    availability_zone=entry.availability_zone,
                    layers=layers,
                    accelerator=kind,
                    total_token_layers=profile.capacity_token_layers(
                        entry.kind,
                        held,
                    ),
                    used_token_layers=(
                        reservation.token_layers + state.unknown_token_layers
                    ),
                    request_count=reservation.request_count,
                    first_stage_count=reservation.first_stage_count,
                    slowness=state.slowness,
                    fill_limit=limit,
                ),
            )
        return loads

    def has_layers(
        self,
        pool: str,
        need: DraftNeed,
        now_s: float,
        not_first: Collection[str] = (),
    ) -> bool:
        """Return whether some chain of a pool could run a draft if idle.

        Reserved memory is ignored. Engines that are left out because of a
        fault, or have asked for a pause, are not used.

        :param not_first: names of engines at which the chain must not begin.
        """
        profile = self._profiles.get(pool)
        if profile is None:
            return False
        engines = [
            dataclasses.replace(load, used_token_layers=0.0)
            for load in self.engine_loads(pool, profile, (), now_s)
        ]
        finder = self.chain_finder(profile)
        options = ChainOptions(not_first=frozenset(not_first))
        return finder.find(engines, need, options) is not None

    def find_utilization(self, target: str, now_s: float) -> float:
        """Return the share of an engine's memory that is in use.

        :returns: 0 if empty or unknown, 1 if full.
        """
        entry = self.targets.find(target)
        profile = None if entry is None else self._profiles.get(entry.pool)
        if entry is None or entry.layers is None or profile is None:
            return 0.0
        held = len(entry.layers)
        total = profile.capacity_token_layers(entry.kind, held)
        unknown = self.reports.find_state(target, now_s).unknown_token_layers
        reservation = self.total_reservations(now_s).get(target, NO_RESERVATION)
        used = reservation.token_layers + unknown
        return used / max(1.0, total)

    def total_reservations(self, now_s: float) -> Mapping[str, Reservation]:
        """Return the reservations of all daemons on each engine.

        Those of other daemons are as of their last received updates.
        """
        return sum_reservations(
            (
                self.own_reservations.total_reservations(),
                self.load_updates.total_reservations(now_s),
            ),
        )

    def find_zone(self, target: str) -> str:
        """Return the availability zone of a target; empty if unknown."""
        entry = self.targets.find(target)
        return '' if entry is None else entry.availability_zone

    def find_target_at(self, address: str) -> str | None:
        """Return the name of the target at an address; ``None`` if unknown."""
        for entry in self.targets.all():
            if entry.address == address:
                return entry.name
        return None


def _merge_profiles(
    known: Mapping[str, ModelProfile],
    tables: EntryTables,
    listed_pools: Collection[str],
) -> dict[str, ModelProfile]:
    """Return the profiles of the pools, after newer tables.

    That of a pool without one in the tables is kept while targets of the pool
    are listed, as requests matched before still run on them.

    :param known: the profiles until now.
    :param listed_pools: pools of the targets that are listed.
    """
    kept_profiles = {
        name: profile for name, profile in known.items() if name in listed_pools
    }
    profiles = {
        pool.name: pool.profile
        for pool in tables.pools.values()
        if pool.profile is not None
    }
    return {**kept_profiles, **profiles}


def _window_settings(bounds: RecoveryBounds) -> WindowSettings:
    return WindowSettings(
        bounds.retry_share,
        bounds.retry_slack,
        bounds.retry_window_s,
    )
