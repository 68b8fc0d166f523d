"""Daemons of a large deployment that exchange updates on a virtual clock."""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import TYPE_CHECKING

from nutmegspoke.contention.demand import RankDemand
from nutmegspoke.membership.load_news import LoadUpdate, update_interval_s
from nutmegspoke.membership.received_updates import ReceivedUpdates
from nutmegspoke.membership.relays import SUMMARY_INTERVAL_S, Relays
from nutmegspoke.membership.summaries import new_summaries
from nutmegspoke.retries.target_limits import TargetLimits

if TYPE_CHECKING:
    from collections.abc import Iterable

# Resolution of the virtual clock; also the delay of each datagram.
_STEP_S = 0.05
_ENGINES = tuple(f'engine-{number}' for number in range(5))


@dataclasses.dataclass(slots=True)
class Member:
    """A daemon of the fleet.

    :ivar next_update_s: time of its next update.
    :ivar next_summary_s: time at which it next sends summaries if a relay.
    """

    host: str
    zone: str
    received: ReceivedUpdates
    next_update_s: float
    next_summary_s: float
    number: int = 0
    is_paused: bool = False
    sent: int = 0
    limits: TargetLimits = dataclasses.field(default_factory=TargetLimits)

    def new_update(self, now_s: float) -> LoadUpdate:
        """Return an update with a request on each of some engines."""
        self.number += 1
        relays = self.received.relays
        return LoadUpdate(
            self.host,
            started_ms=1,
            number=self.number,
            reservations=dict.fromkeys(_ENGINES, (100.0, 1, 1)),
            used={'pool': (1, 0, 1)},
            group=relays.group,
            asks_summary=relays.is_relayed,
            limits=self.limits.outgoing(now_s),
            demand={'pool': {'1.0': RankDemand(10.0, 1.0)}},
        )


class Fleet:
    """Daemons and the network between them.

    :param count: number of daemons.
    :param zone_count: number of availability zones.
    :param seed: seed of the network's losses and of the phases of timers.
    :ivar loss: share of datagrams that are lost.
    :ivar cut_zones: availability zones that reach no others.
    """

    def __init__(self, count: int, zone_count: int = 5, seed: int = 1) -> None:
        """Start all daemons, which know each other's rows."""
        self._random = random.Random(seed)  # noqa: S311 -- no secret
        zones = {
            f'front-{number}': f'zone-{number % zone_count}'
            for number in range(count)
        }
        self._zones = zones
        # Changes of the list of daemons that members have not read yet.
        self._unread: list[tuple[float, Member, dict[str, str]]] = []
        self.members = {host: self._new_member(host, zones) for host in zones}
        self.now_s = 0.0
        self.loss = 0.0
        self.cut_zones: set[str] = set()
        self._in_flight: list[tuple[str, LoadUpdate]] = []

    def run(self, duration_s: float) -> None:
        """Advance the clock."""
        for _ in range(round(duration_s / _STEP_S)):
            self._step()

    def kill(self, hosts: Iterable[str]) -> None:
        """End daemons for good."""
        for host in hosts:
            self.members.pop(host)

    def add(self, count: int) -> None:
        """Add daemons, of whom the others learn within a second."""
        zone_count = len(set(self._zones.values()))
        first = len(self._zones)
        added = {
            f'front-{number}': f'zone-{number % zone_count}'
            for number in range(first, first + count)
        }
        self._zones = {**self._zones, **added}
        for member in self.members.values():
            read_s = self.now_s + self._random.uniform(0, 1)
            self._unread.append((read_s, member, self._zones))
        self.members.update(
            (host, self._new_member(host, self._zones)) for host in added
        )

    def relays(self) -> list[str]:
        """Return the hosts that act as relays."""
        return [
            member.host
            for member in self.members.values()
            if member.received.is_relay(self.now_s)
        ]

    def counts(self) -> collections.Counter[int]:
        """Return how many daemons hear from which number of others."""
        return collections.Counter(
            member.received.daemons(self.now_s)
            for member in self.members.values()
        )

    def request_counts(self) -> set[int]:
        """Return the sums of the others' requests that daemons know of."""
        return {
            reservation.request_count
            for member in self.members.values()
            for reservation in member.received.total_reservations(
                self.now_s
            ).values()
        }

    def _new_member(self, host: str, zones: dict[str, str]) -> Member:
        relays = Relays(host, zones[host])
        relays.replace_hosts(_without(host, zones))
        return Member(
            host,
            zones[host],
            ReceivedUpdates(relays),
            next_update_s=self._random.uniform(0, 0.25),
            next_summary_s=self._random.uniform(0, SUMMARY_INTERVAL_S),
        )

    def _step(self) -> None:
        self.now_s += _STEP_S
        for change in tuple(self._unread):
            read_s, member, zones = change
            if self.now_s >= read_s:
                member.received.relays.replace_hosts(
                    _without(member.host, zones)
                )
                self._unread.remove(change)
        arriving = self._in_flight
        self._in_flight = []
        for host, update in arriving:
            self._deliver(host, update)
        for member in self.members.values():
            if not member.is_paused:
                self._run_timers(member)

    def _deliver(self, host: str, update: LoadUpdate) -> None:
        member = self.members.get(host)
        if member is None or member.is_paused:
            return
        is_new = member.received.receive(update, self.now_s)
        if is_new and update.daemons > 1:
            member.received.relays.record_summary(update.host, self.now_s)
        if is_new:
            member.limits.receive(update.limits, self.now_s)

    def _run_timers(self, member: Member) -> None:
        received = member.received
        if self.now_s >= member.next_update_s:
            others = len(self.members) - 1
            member.next_update_s = self.now_s + update_interval_s(others)
            hosts = received.relays.update_receivers(self.now_s)
            self._send(member, hosts, member.new_update(self.now_s))
        if self.now_s < member.next_summary_s:
            return
        member.next_summary_s = self.now_s + SUMMARY_INTERVAL_S
        if received.is_relay(self.now_s):
            own = member.new_update(self.now_s)
            for hosts, update in new_summaries(own, received, self.now_s):
                self._send(member, hosts, update)

    def _send(
        self, sender: Member, hosts: Iterable[str], update: LoadUpdate
    ) -> None:
        for host in hosts:
            sender.sent += 1
            if self._random.random() >= self.loss and self._reaches(
                sender, host
            ):
                self._in_flight.append((host, update))

    def _reaches(self, sender: Member, host: str) -> bool:
        receiver = self.members.get(host)
        if receiver is None:
            return False
        zones = {sender.zone, receiver.zone}
        return len(zones) == 1 or not zones & self.cut_zones


def _without(host: str, zones: dict[str, str]) -> dict[str, str]:
    return {name: zone for name, zone in zones.items() if name != host}
