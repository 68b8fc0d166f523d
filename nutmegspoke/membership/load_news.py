"""Load updates that daemons send each other several times per second.

Beside the load, an update contains other news of the daemon: the lease on
placement, changes of layers, the versions of its feeds, ended engines and
faults of targets.

An update replaces the previous one of the same daemon, so that a lost update is
harmless. A daemon without recent updates is ignored.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.admission.draft_room import Reservation, sum_reservations
from nutmegspoke.retries.notices import Notice  # noqa: TC001 -- a field's type
from nutmegspoke.retries.window_budget import PoolUsage

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

# Minimum interval between updates: a chain fills up within seconds.
_INTERVAL_S = 0.1
# Interval between updates for each receiver, which limits the number of
# datagrams that all daemons send.
_INTERVAL_PER_RECEIVER_S = 0.01
# Age of the last update from which a daemon is ignored. Several updates in a
# row may be lost, as they are sent several times per second.
SILENCE_LIMIT_S = 2.0
# Age of the last update from which a daemon is removed.
_FORGET_S = 30.0


def update_interval_s(receiver_count: int) -> float:
    """Return the interval between two updates of a daemon.

    :param receiver_count: number of daemons to which it sends them.
    """
    return max(_INTERVAL_S, receiver_count * _INTERVAL_PER_RECEIVER_S)


class TargetFault(msgspec.Struct, frozen=True, array_like=True):
    """A target that a daemon avoids because of a fault.

    :param target: name of the target.
    :param left_s: for how much longer it is avoided.
    """

    target: str
    left_s: float


class LoadUpdate(msgspec.Struct, frozen=True, array_like=True, tag='load'):
    """Load and other news of one daemon, sent to the other daemons.

    :param host: name of its host, on which no other daemon runs.
    :param started_ms: start time of the daemon; distinguishes its starts.
    :param number: sequence number, raised with each update.
    :param reservations: by engine, the fields of :class:`Reservation`: reserved
        token layers (cached tokens times layers), requests, and requests for
        which the engine is the first of the chain.
    :param faults: targets that it avoids because of faults.
    :param leads: whether it holds the lease on placement.
    :param lease: version and body of the lease row, if it leads.
    :param reports: by engine, the slowness, and the memory in use that no
        daemon has reserved, in token layers; only for engines where they are
        unusual, and only from the daemon that polls the reports for all.
    :param feeds: by table, the version of the newest change that its feed has
        read; 0 for none.
    :param reassignments: engines that change their layers, if it leads: first
        layer, stop layer, and seconds left until the engine must appear with
        these layers in discovery.
    :param lost: engines that it has recently detected as ended.
    :param used: by pool, the number of requests, and of retries borrowed beyond
        its own share, in the last window.
    :param era: era of the store in which the versions of the feeds hold.
    :param notices: crashes of targets, and requests quarantined for them.
    :param silence_age_s: time since this daemon found the store silent, if it
        answers again; negative otherwise, or if that is long ago.
    """

    host: str
    started_ms: int
    number: int
    reservations: dict[str, tuple[float, int, int]]
    faults: tuple[TargetFault, ...] = ()
    leads: bool = False
    lease: tuple[int, bytes] | None = None
    reports: dict[str, tuple[float, float]] = {}
    feeds: dict[str, int] = {}
    reassignments: dict[str, tuple[int, int, float]] = {}
    lost: tuple[str, ...] = ()
    used: dict[str, tuple[int, int]] = {}
    era: int = 0
    notices: tuple[Notice, ...] = ()
    silence_age_s: float = -1.0


@dataclasses.dataclass(slots=True)
class _ReceivedUpdate:
    update: LoadUpdate
    received_s: float
    reservations: Mapping[str, Reservation]


class ReceivedUpdates:
    """The last update received from each other daemon."""

    def __init__(self) -> None:
        """Start without updates."""
        self._received: dict[str, _ReceivedUpdate] = {}

    def receive(self, update: LoadUpdate, now_s: float) -> bool:
        """Store an update.

        If the last update has expired, any update is accepted: the clock that
        distinguishes the starts of a daemon may have been set back between
        them.

        :returns: ``False`` if the update is older than the last one.
        """
        known = self._received.get(update.host)
        if known is not None and now_s - known.received_s < SILENCE_LIMIT_S:
            known_order = (known.update.started_ms, known.update.number)
            if (update.started_ms, update.number) <= known_order:
                return False
        reservations = {
            engine: Reservation(*sums)
            for engine, sums in update.reservations.items()
        }
        self._received[update.host] = _ReceivedUpdate(
            update, now_s, reservations
        )
        return True

    def total_reservations(self, now_s: float) -> dict[str, Reservation]:
        """Return the sum of the other daemons' reservations, by engine."""
        return sum_reservations(
            received.reservations for received in self._recent(now_s)
        )

    def has_leader(self, now_s: float) -> bool:
        """Return whether another daemon reports that it holds the lease."""
        return any(received.update.leads for received in self._recent(now_s))

    def usage(self, pool: str, now_s: float) -> PoolUsage:
        """Return the sums of the other daemons' recent use of a pool.

        They include requests, and retries borrowed beyond the daemons' own
        shares.
        """
        usages = [
            received.update.used[pool]
            for received in self._recent(now_s)
            if pool in received.update.used
        ]
        return PoolUsage(
            requests=sum(requests for requests, _ in usages),
            borrowed=sum(borrowed for _, borrowed in usages),
            daemons=len(usages),
        )

    def live_hosts(self, now_s: float) -> list[str]:
        """Return the hosts of the other daemons with unexpired updates."""
        return [received.update.host for received in self._recent(now_s)]

    def daemons(self, now_s: float) -> int:
        """Return the number of other daemons with unexpired updates."""
        return sum(1 for _ in self._recent(now_s))

    def count_known_hosts(self, now_s: float) -> int:
        """Return the number of other hosts with an update in the last 30 s.

        Unlike ``daemons``, it includes those that are ignored by now. Older
        updates are removed.
        """
        self._received = {
            host: received
            for host, received in self._received.items()
            if now_s - received.received_s < _FORGET_S
        }
        return len(self._received)

    def _recent(self, now_s: float) -> Iterator[_ReceivedUpdate]:
        return (
            received
            for received in self._received.values()
            if now_s - received.received_s < SILENCE_LIMIT_S
        )
