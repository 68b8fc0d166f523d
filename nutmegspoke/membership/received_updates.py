"""The updates received from other daemons, and what they say together.

An update replaces the previous one of the same sender and scope, so that a lost
update is harmless. One that is too old is ignored.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.admission.draft_room import Reservation, sum_reservations
from nutmegspoke.contention.demand import DemandNews, sum_demand
from nutmegspoke.membership.load_news import (
    SILENCE_LIMIT_S,
    LoadUpdate,
    Scope,
    max_load_age_s,
)
from nutmegspoke.membership.relays import Relays
from nutmegspoke.retries.window_budget import PoolUsage

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from typing import Self

    from nutmegspoke.entry_host import EntryHost

# Age of the last update from which a daemon is removed.
_FORGET_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedUpdate:
    """An update and the time of its arrival."""

    update: LoadUpdate
    received_s: float
    reservations: Mapping[str, Reservation]

    def age_s(self, now_s: float) -> float:
        """Return the time since the arrival in seconds."""
        return now_s - self.received_s


class ReceivedUpdates:
    """The last update of each sender and scope.

    What the other daemons say is taken from the updates of single daemons and
    of groups, or from a summary of all others, whichever contains more daemons.
    A relay receives the former, and daemons that use relays the latter.

    :ivar relays: relays through which updates arrive.
    """

    def __init__(self, relays: Relays) -> None:
        """Start without updates."""
        self.relays = relays
        self._received: dict[tuple[Scope, str], ReceivedUpdate] = {}

    @classmethod
    def from_host(cls, host: EntryHost) -> Self:
        """Return an instance for the daemon of a host."""
        return cls(Relays(host.name, host.availability_zone))

    def receive(self, update: LoadUpdate, now_s: float) -> bool:
        """Store an update.

        If the last update has expired, any update is accepted: the clock that
        distinguishes the starts of a daemon may have been set back between
        them.

        :returns: ``False`` if the update is older than the last one.
        """
        key = (update.scope, update.host)
        known = self._received.get(key)
        if known is not None and known.age_s(now_s) < SILENCE_LIMIT_S:
            known_order = (known.update.started_ms, known.update.number)
            if (update.started_ms, update.number) <= known_order:
                return False
        reservations = {
            engine: Reservation(*sums)
            for engine, sums in update.reservations.items()
        }
        self._received[key] = ReceivedUpdate(update, now_s, reservations)
        return True

    def is_relay(self, now_s: float) -> bool:
        """Return whether this daemon is a relay, or others use it as one."""
        if not self.relays.is_relayed:
            return False
        return self.relays.is_relay(now_s) or bool(self.asking_members(now_s))

    def members(self, now_s: float) -> list[ReceivedUpdate]:
        """Return the recent updates of single daemons of this group."""
        return [
            received
            for received in self._recent(Scope.HOST, now_s)
            if received.update.group == self.relays.group
        ]

    def asking_members(self, now_s: float) -> list[LoadUpdate]:
        """Return the updates of those members that use this relay."""
        return [
            received.update
            for received in self.members(now_s)
            if received.update.asks_summary
        ]

    def parts(self, now_s: float) -> list[ReceivedUpdate]:
        """Return recent updates that contain no daemon twice.

        These are the summary of each other group that contains most daemons,
        and the updates of single daemons of all groups without one.
        """
        groups: dict[str, ReceivedUpdate] = {}
        for received in self._recent(Scope.GROUP, now_s):
            # Groups are divided anew when an availability zone grows. Until
            # all know the new daemons, another group may have the same name.
            if received.update.group == self.relays.group:
                continue
            known = groups.get(received.update.group)
            if known is None or _is_better(received, known):
                groups[received.update.group] = received
        single = (
            received
            for received in self._recent(Scope.HOST, now_s)
            if received.update.group not in groups
        )
        return [*groups.values(), *single]

    def total_reservations(self, now_s: float) -> dict[str, Reservation]:
        """Return the sum of the other daemons' reservations, by engine."""
        return sum_reservations(
            received.reservations for received in self.others(now_s)
        )

    def has_leader(self, now_s: float) -> bool:
        """Return whether another daemon reports that it holds the lease."""
        return any(received.update.leads for received in self.others(now_s))

    def usage(self, pool: str, now_s: float) -> PoolUsage:
        """Return the sums of the other daemons' recent use of a pool.

        They include requests, and retries borrowed beyond the daemons' own
        shares.
        """
        usages = [
            received.update.used[pool]
            for received in self.others(now_s)
            if pool in received.update.used
        ]
        return PoolUsage(
            requests=sum(requests for requests, _, _ in usages),
            borrowed=sum(borrowed for _, borrowed, _ in usages),
            daemons=sum(daemons for _, _, daemons in usages),
        )

    def live_hosts(self, now_s: float) -> list[str]:
        """Return hosts of other daemons with recent updates.

        Summaries name those that are first in rank only.
        """
        return [
            host
            for received in self.others(now_s)
            for host in hosts_of(received.update)
        ]

    def daemons(self, now_s: float) -> int:
        """Return the number of other daemons with recent updates."""
        return _count(self.others(now_s))

    def max_load_age_s(self, now_s: float) -> float:
        """Return the longest expected age of reservations, in seconds."""
        return max_load_age_s(self.daemons(now_s))

    def count_known_hosts(self, now_s: float) -> int:
        """Return the number of other hosts with an update in the last 30 s.

        Unlike ``daemons``, it includes those that are ignored by now. Older
        updates are removed.
        """
        self._received = {
            key: received
            for key, received in self._received.items()
            if received.age_s(now_s) < _FORGET_S
        }
        summaries = (
            received.update.known_daemons
            for (scope, _), received in self._received.items()
            if scope == Scope.ALL_OTHERS
        )
        return max(self.count_known_parts(), *summaries, 0)

    def count_known_parts(self) -> int:
        """Return the number of other hosts that are known without summaries.

        A relay reports this number. If it included those of other relays, they
        would confirm each other's numbers forever.
        """
        groups: dict[str, int] = {}
        for (scope, _), received in self._received.items():
            if scope == Scope.GROUP:
                update = received.update
                known = groups.get(update.group, 0)
                groups[update.group] = max(known, update.known_daemons)
        return sum(groups.values()) + sum(
            1
            for (scope, _), received in self._received.items()
            if scope == Scope.HOST and received.update.group not in groups
        )

    def count_known_members(self) -> int:
        """Return the number of other hosts of this group that are known."""
        return sum(
            1
            for (scope, _), received in self._received.items()
            if scope == Scope.HOST
            and received.update.group == self.relays.group
        )

    def others(self, now_s: float) -> list[ReceivedUpdate]:
        """Return recent updates that contain each other daemon once."""
        parts = self.parts(now_s)
        summary: ReceivedUpdate | None = None
        for received in self._recent(Scope.ALL_OTHERS, now_s):
            if summary is None or _is_better(received, summary):
                summary = received
        if summary is None or _count(parts) >= summary.update.daemons:
            return parts
        return [summary]

    def _recent(self, wanted: Scope, now_s: float) -> list[ReceivedUpdate]:
        return [
            received
            for (scope, _), received in self._received.items()
            if scope == wanted and received.age_s(now_s) < SILENCE_LIMIT_S
        ]


def requests_to_limited(updates: Iterable[ReceivedUpdate]) -> dict[str, int]:
    """Return the requests that daemons have sent to limited targets lately."""
    total: dict[str, int] = {}
    for received in updates:
        for target, limit in received.update.limits.items():
            total[target] = total.get(target, 0) + limit.sent
    return total


def demand_elsewhere(updates: Iterable[ReceivedUpdate]) -> DemandNews:
    """Return the demand of other daemons by pool and rank."""
    return sum_demand(received.update.demand for received in updates)


def count_copied(updates: Iterable[ReceivedUpdate], pool: str) -> int:
    """Return the copies of slow requests that daemons have sent lately."""
    return sum(received.update.copied.get(pool, 0) for received in updates)


def hosts_of(update: LoadUpdate) -> tuple[str, ...]:
    """Return the hosts that an update names as those of its daemons."""
    if update.scope == Scope.HOST:
        return (update.host,)
    return update.first_hosts


def _count(updates: Iterable[ReceivedUpdate]) -> int:
    return sum(received.update.daemons for received in updates)


def _is_better(update: ReceivedUpdate, known: ReceivedUpdate) -> bool:
    """Return whether an update contains more daemons, or is more recent."""
    return (update.update.daemons, update.received_s) > (
        known.update.daemons,
        known.received_s,
    )
