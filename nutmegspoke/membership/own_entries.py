"""Entry and demand that a daemon reports about itself."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.membership.messages import DaemonEntry, DemandEntry

if TYPE_CHECKING:
    from nutmegspoke.membership.gossip_types import OwnState
    from nutmegspoke.membership.messages import TeamDemand

MAX_DEMAND_BYTES = 320
_DEMAND_ROW_BYTES = 6


@dataclasses.dataclass(slots=True)
class OwnEntries:
    """The newest entry and demand of this daemon.

    :param entry: entry sent with each message.
    :param demand: demand sent with each message.
    """

    entry: DaemonEntry
    demand: DemandEntry
    _created_s: float = -math.inf
    _confirmed_s: float | None = None

    @classmethod
    def from_entry(cls, entry: DaemonEntry) -> OwnEntries:
        """Create from a first entry, without demand."""
        return cls(entry, DemandEntry(entry.name, entry.start, 0))

    @property
    def key(self) -> tuple[str, int]:
        """Return name and start of this daemon."""
        return self.entry.name, self.entry.start

    def renew(self, state: OwnState, now_s: float, heartbeat_s: float) -> None:
        """Update the entry if the state has changed or a heartbeat is due.

        The demand is only updated with a heartbeat.
        """
        self._confirmed_s = state.confirmed_s
        renewed = msgspec.structs.replace(
            self.entry,
            revision=state.revision,
            is_store_reachable=state.is_store_reachable,
            is_stopping=state.is_stopping,
        )
        is_due = now_s - self._created_s >= heartbeat_s
        if is_due or renewed != self.entry:
            self.entry = renewed
            self.raise_sequence(now_s)
        teams = _largest(state.demands)
        if is_due and teams != self.demand.teams:
            self.demand = msgspec.structs.replace(
                self.demand,
                sequence=self.demand.sequence + 1,
                teams=teams,
            )

    def raise_sequence(self, now_s: float) -> None:
        """Raise the sequence number, which shows that this daemon is live."""
        self.entry = msgspec.structs.replace(
            self.entry,
            sequence=self.entry.sequence + 1,
        )
        self._created_s = now_s

    def refute(self, refutations: int, now_s: float) -> None:
        """Refute a suspicion, unless a later entry has already done so.

        :param refutations: refutations known to the daemon that suspects it.
        """
        if refutations < self.entry.refutations:
            return
        self.entry = msgspec.structs.replace(
            self.entry,
            refutations=refutations + 1,
        )
        self.raise_sequence(now_s)

    def confirmed_age_s(self, now_s: float) -> float | None:
        """Return the time since the store itself last confirmed the revision.

        :returns: ``None`` if it never did.
        """
        if self._confirmed_s is None:
            return None
        return now_s - self._confirmed_s


def _largest(demands: tuple[TeamDemand, ...]) -> tuple[TeamDemand, ...]:
    """Return as many of the first demands as fit into a message."""
    left_bytes = MAX_DEMAND_BYTES
    fitting: list[TeamDemand] = []
    for demand in demands:
        left_bytes -= len(demand.route) + len(demand.team) + _DEMAND_ROW_BYTES
        if left_bytes < 0:
            break
        fitting.append(demand)
    return tuple(fitting)
