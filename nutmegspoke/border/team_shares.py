"""Update this daemon's shares of the limits of teams."""

from __future__ import annotations

import collections
import logging
from typing import TYPE_CHECKING

from nutmegspoke.admission.team_limits import Demand, TeamLimitShares
from nutmegspoke.border.admission_gate import NAME as ADMISSION
from nutmegspoke.border.admission_gate import AdmissionGate
from nutmegspoke.border.admission_tickets import TeamKey
from nutmegspoke.border.peers import NAME as PEERS
from nutmegspoke.border.peers import Peers
from nutmegspoke.border.periodic import Periodic
from nutmegspoke.border.tables_watch import NAME as TABLES
from nutmegspoke.border.tables_watch import TablesWatch

if TYPE_CHECKING:
    from collections.abc import Iterator

    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.membership.members import Member
    from nutmegspoke.membership.messages import TeamDemand

logger = logging.getLogger(__name__)
NAME = 'team_shares'
_INTERVAL_S = 0.5


class TeamShares:
    """Service that computes the shares from the demand of all daemons.

    The shares are applied to the admission gate.
    """

    def __init__(
        self,
        clock: Clock,
        tables: TablesWatch,
        peers: Peers,
        gate: AdmissionGate,
    ) -> None:
        """Connect gate, shares and peers.

        Shares are low until the first update of a peer is received.
        """
        self._clock = clock
        self._tables = tables
        self._peers = peers
        self._gate = gate
        self._shares = TeamLimitShares(_own_name(peers))
        self._applied_shares: dict[TeamKey, int] = {}
        self._periodic = Periodic(NAME, _INTERVAL_S, self._recompute)
        gate.team_limits = self._shares
        peers.get_demands = gate.demand

    async def start(self) -> None:
        """Start to recompute the shares periodically."""
        self._periodic.start()

    async def stop(self) -> None:
        """Stop recomputing; the last shares stay in force."""
        await self._periodic.stop()

    async def _recompute(self) -> None:
        self.recompute()

    def recompute(self) -> None:
        """Recompute the shares and apply those that changed to the gate.

        A daemon that is cut off from its peers keeps its last shares.
        """
        now_s = self._clock.now_s()
        limits = self._limits()
        demands = None if self._peers.is_cut_off() else self._demands(limits)
        by_name = {str(key): limit for key, limit in limits.items()}
        self._shares.update(by_name, demands, now_s)
        for key, limit in limits.items():
            share = self._shares.share_of(str(key), limit, now_s)
            self._apply_share(key, share, limit)

    def _limits(self) -> dict[TeamKey, int]:
        return {
            TeamKey(share.team, row.name): share.max_in_flight
            for row in self._tables.current.routes
            for share in row.teams
        }

    def _demands(
        self,
        limits: dict[TeamKey, int],
    ) -> dict[str, tuple[Demand, ...]]:
        counts: dict[str, dict[str, int]] = collections.defaultdict(dict)
        for daemon, demand in self._all_demands():
            team = str(TeamKey(demand.team, demand.route))
            counts[team][daemon] = demand.in_flight
        daemons = [_own_name(self._peers)]
        daemons.extend(_daemon_name(member) for member in self._peers.live())
        return {
            team: tuple(
                Demand(daemon, counts[team].get(daemon, 0))
                for daemon in daemons
            )
            for team in map(str, limits)
        }

    def _all_demands(self) -> Iterator[tuple[str, TeamDemand]]:
        own = _own_name(self._peers)
        for demand in self._gate.demand():
            yield own, demand
        for member in self._peers.live():
            for reported in member.demand.teams if member.demand else ():
                yield _daemon_name(member), reported

    def _apply_share(self, key: TeamKey, share: int, limit: int) -> None:
        if self._applied_shares.get(key) == share:
            return
        self._applied_shares[key] = share
        self._gate.limit_team(key, share)
        logger.info(
            'admission: team share changed route=%s team=%s share=%d limit=%d',
            key.route,
            key.team,
            share,
            limit,
        )


def _own_name(peers: Peers) -> str:
    return f'{peers.name}:{peers.start_number}'


def _daemon_name(member: Member) -> str:
    return f'{member.entry.name}:{member.entry.start}'


def setup(app: Application) -> None:
    """Register the shares service."""
    shares = TeamShares(
        app.clock,
        app.kernel.find(TABLES, TablesWatch),
        app.kernel.find(PEERS, Peers),
        app.kernel.find(ADMISSION, AdmissionGate),
    )
    app.kernel.register(NAME, shares)
