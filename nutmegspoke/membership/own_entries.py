"""What a daemon says of itself."""

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

    :param entry: entry that goes along with each message.
    :param demand: demand that goes along with each message.
    """

    entry: DaemonEntry
    demand: DemandEntry
    _made_s: float = -math.inf
    _confirmed_s: float | None = None

    @classmethod
    def from_entry(cls, entry: DaemonEntry) -> OwnEntries:
        """Begin with a first entry and no demand."""
        return cls(entry, DemandEntry(entry.name, entry.start, 0))

    @property
    def key(self) -> tuple[str, int]:
        """Return name and start of this daemon."""
        return self.entry.name, self.entry.start

    def renew(self, state: OwnState, now_s: float, heartbeat_s: float) -> None:
        """Make a new entry if the state has changed or a heartbeat is due."""
        self._confirmed_s = state.confirmed_s
        renewed = msgspec.structs.replace(
            self.entry,
            revision=state.revision,
            is_store_reachable=state.is_store_reachable,
            is_stopping=state.is_stopping,
        )
        is_due = now_s - self._made_s >= heartbeat_s
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
        """Make a new entry, which shows peers that this daemon lives."""
        self.entry = msgspec.structs.replace(
            self.entry,
            sequence=self.entry.sequence + 1,
        )
        self._made_s = now_s

    def refute(self, refutations: int, now_s: float) -> None:
        """Answer a suspicion, unless a later entry has done so.

        :param refutations: refutations that the accuser had heard of.
        """
        if refutations < self.entry.refutations:
            return
        self.entry = msgspec.structs.replace(
            self.entry,
            refutations=refutations + 1,
        )
        self.raise_sequence(now_s)

    def confirmed_age_s(self, now_s: float) -> float | None:
        """Return the age of the store's own confirmation, if there is one."""
        if self._confirmed_s is None:
            return None
        return now_s - self._confirmed_s


def _largest(demands: tuple[TeamDemand, ...]) -> tuple[TeamDemand, ...]:
    """Return as many of the first demands as a message has room for."""
    left_bytes = MAX_DEMAND_BYTES
    kept: list[TeamDemand] = []
    for demand in demands:
        left_bytes -= len(demand.route) + len(demand.team) + _DEMAND_ROW_BYTES
        if left_bytes < 0:
            break
        kept.append(demand)
    return tuple(kept)
