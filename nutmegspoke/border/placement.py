"""Assigns lost layers to spare engines in the pools of this daemon."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from nutmegspoke.border.http_sessions import NAME as SESSIONS
from nutmegspoke.border.http_sessions import HttpSessions
from nutmegspoke.border.inflight import NAME as INFLIGHT
from nutmegspoke.border.inflight import InFlight
from nutmegspoke.border.order_client import OrderClient
from nutmegspoke.border.peers import NAME as PEERS
from nutmegspoke.border.peers import Peers
from nutmegspoke.border.periodic import Periodic
from nutmegspoke.border.pool_placement import PlacementTools, PoolPlacement
from nutmegspoke.border.tables_watch import NAME as TABLES
from nutmegspoke.border.tables_watch import TablesWatch
from nutmegspoke.border.target_watch import NAME as TARGETS
from nutmegspoke.border.target_watch import TargetWatch
from nutmegspoke.placement.candidates import is_candidate
from nutmegspoke.placement.lease import LeaseSettings
from nutmegspoke.tables.rows import PoolKind

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.tables.rows import PoolRow

logger = logging.getLogger(__name__)
NAME = 'placement'
_ROUND_INTERVAL_S = 0.5


class Placement:
    """Runs the placement of the pools for which this daemon is a candidate."""

    def __init__(self, app: Application) -> None:
        """Look up the services that placement needs."""
        kernel = app.kernel
        sessions = kernel.find(SESSIONS, HttpSessions)
        self._peers = kernel.find(PEERS, Peers)
        self._tables = kernel.find(TABLES, TablesWatch)
        self._targets = kernel.find(TARGETS, TargetWatch)
        self._in_flight = kernel.find(INFLIGHT, InFlight)
        self._clock = app.clock
        self._tools = PlacementTools(
            app.clock,
            sessions.platform.tables,
            sessions.platform.weights,
            OrderClient(sessions.fresh),
            LeaseSettings(),
        )
        self._pools: dict[str, PoolPlacement] = {}
        self._periodic = Periodic(NAME, _ROUND_INTERVAL_S, self._run_round)

    async def start(self) -> None:
        """Start the periodic placement rounds."""
        self._periodic.start()

    async def stop(self) -> None:
        """Stop the rounds and release the leases."""
        await self._periodic.stop()
        for placement in self._pools.values():
            await placement.release()

    async def _run_round(self) -> None:
        rows = [
            row
            for row in self._tables.current.pools
            if row.kind is PoolKind.ENGINE and self._is_candidate(row)
        ]
        names = {row.name for row in rows}
        for name in self._pools.keys() - names:
            await self._pools.pop(name).release()
        for row in rows:
            members = self._targets.directory.members(
                row.name,
                self._clock.now_s(),
            )
            await self._get_placement(row).run_round(row, members)

    def _is_candidate(self, row: PoolRow) -> bool:
        if self._in_flight.is_stopping:
            return False
        live = {
            member.entry.name
            for member in self._peers.live()
            if not member.entry.is_stopping
        }
        return is_candidate(row.name, self._peers.name, live)

    def _get_placement(self, row: PoolRow) -> PoolPlacement:
        placement = self._pools.get(row.name)
        if placement is None:
            holder = f'{self._peers.name}#{self._peers.start_number}'
            placement = PoolPlacement(row.name, holder, self._tools)
            self._pools[row.name] = placement
        return placement


def setup(app: Application) -> None:
    """Register the placement service."""
    app.kernel.register(NAME, Placement(app))
