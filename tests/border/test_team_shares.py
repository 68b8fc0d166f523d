"""Tests of this daemon's shares of team limits."""

from __future__ import annotations

import types
import unittest

from nutmegspoke.border.admission_gate import AdmissionGate
from nutmegspoke.border.team_shares import TeamShares
from nutmegspoke.membership.messages import TeamDemand
from nutmegspoke.tables.rows import RouteRow, Tables, TeamShare
from tests.border.test_admission_gate import _Clock, _FixedCapacity, _request


class _Peers:
    """Peers of a daemon, which may be cut off from them."""

    def __init__(self) -> None:
        self.name = 'own'
        self.start_number = 1
        self.get_demands = None
        self.members: tuple = ()
        self.cut_off = False

    def live(self) -> tuple:
        return self.members

    def is_cut_off(self) -> bool:
        return self.cut_off


def _member(name: str, in_flight: int):
    demand = TeamDemand('roster', 'press', in_flight)
    return types.SimpleNamespace(
        entry=types.SimpleNamespace(name=name, start=7),
        demand=types.SimpleNamespace(teams=(demand,)),
    )


class TeamSharesTest(unittest.IsolatedAsyncioTestCase):
    """Shares follow the demand of all daemons and reach the queues."""

    def setUp(self) -> None:
        """Create shares for a gate with a capacity of 100 and one route."""
        self.clock = _Clock()
        self.gate = AdmissionGate(self.clock, _FixedCapacity(100), seed=1)
        self.peers = _Peers()
        row = RouteRow(
            'roster',
            '/roster',
            'records',
            teams=(TeamShare('press', 1.0, 10),),
        )
        tables = types.SimpleNamespace(current=Tables(1, (row,)))
        self.shares = TeamShares(self.clock, tables, self.peers, self.gate)

    async def asyncTearDown(self) -> None:
        """Stop the timers."""
        await self.gate.stop()

    async def test_share_follows_demand_after_delay(self) -> None:
        """With a demand of 1 and 4 the share is a fifth of the limit, after 3 s."""
        self.assertIsNone(await self.gate.enter(_request('a')))
        demand = self.peers.get_demands()
        self.assertEqual(demand, (TeamDemand('roster', 'press', 1),))
        self.peers.members = (_member('other', 4),)
        self.shares.recompute()
        self.assertEqual(self._share(), 1)
        self.clock.time_s += 3
        self.shares.recompute()
        self.assertEqual(self._share(), 2)
        self.gate.leave(_request('a'), is_served=True)
        self.assertEqual(self.peers.get_demands(), ())

    async def test_the_last_split_holds_while_cut_off(self) -> None:
        """A daemon that is cut off keeps its last share."""
        self.peers.members = (_member('other', 9),)
        self.shares.recompute()
        self.clock.time_s += 3
        self.peers.members = ()
        self.peers.cut_off = True
        self.shares.recompute()
        self.clock.time_s += 60
        self.shares.recompute()
        self.assertEqual(self._share(), 1)

    def _share(self) -> int:
        key = 'roster/press'
        return self.gate.team_limits.share_of(key, 10, self.clock.now_s())
