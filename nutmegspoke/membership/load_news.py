"""Load updates that daemons send each other several times per second.

Beside the load, an update contains other news of the daemon: the lease on
placement, changes of layers, the versions of its feeds, ended engines and
faults of targets.

Where there are many daemons, relays sum up the updates of several daemons in
one update of the same type.
"""

from __future__ import annotations

import enum
import itertools
import math

import msgspec

from nutmegspoke.contention.demand import DemandNews, is_possible
from nutmegspoke.membership.relays import RELAYED_FROM, SUMMARY_INTERVAL_S
from nutmegspoke.retries.notices import Notice  # noqa: TC001 -- a field's type
from nutmegspoke.retries.target_limits import (
    LimitNews,  # noqa: TC001 -- a field's type
)

# Minimum interval between updates: a chain fills up within seconds.
_INTERVAL_S = 0.1
# Interval between updates for each receiver, which limits the number of
# datagrams that all daemons send.
_INTERVAL_PER_RECEIVER_S = 0.01
# Largest believable number of daemons.
_MAX_DAEMONS = 100_000
# Largest believable number of requests between two events.
_MAX_SENT = 10_000
# Largest believable number of copies in a window.
_MAX_COPIED = 1_000_000
# Interval between updates to relays, which receive those of a whole group.
_RELAYED_INTERVAL_S = 0.25
# Age of the last update from which a daemon is ignored. Several updates in a
# row may be lost, as they are sent several times per second.
SILENCE_LIMIT_S = 2.0


def update_interval_s(other_count: int) -> float:
    """Return the interval between two updates of a daemon.

    :param other_count: number of other daemons.
    """
    if other_count >= RELAYED_FROM:
        return _RELAYED_INTERVAL_S
    return max(_INTERVAL_S, other_count * _INTERVAL_PER_RECEIVER_S)


def max_load_age_s(other_count: int) -> float:
    """Return the longest expected age of the other daemons' reservations.

    :param other_count: number of other daemons.
    """
    interval_s = update_interval_s(other_count)
    if other_count >= RELAYED_FROM:
        return interval_s + SUMMARY_INTERVAL_S
    return interval_s


class Scope(enum.StrEnum):
    """The daemons whose load and news an update contains."""

    HOST = 'host'
    GROUP = 'group'
    ALL_OTHERS = 'all_others'


class TargetFault(msgspec.Struct, frozen=True, array_like=True):
    """A target that a daemon avoids because of a fault.

    :param target: name of the target.
    :param left_s: for how much longer it is avoided.
    """

    target: str
    left_s: float


class LoadUpdate(msgspec.Struct, frozen=True, array_like=True, tag='load2'):
    """Load and other news of one or more daemons, sent to other daemons.

    Fields of an update that sums up several daemons hold the sums, the newest
    values, or the union.

    :param host: name of the sender's host, on which no other daemon runs.
    :param started_ms: start time of the sender; distinguishes its starts.
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
        the daemons' own shares, in the last window, and of daemons.
    :param era: era of the store in which the versions of the feeds hold.
    :param notices: crashes of targets, and requests quarantined for them.
    :param silence_age_s: time since this daemon found the store silent, if it
        answers again; negative otherwise, or if that is long ago.
    :param asks_summary: whether the sender relies on summaries of relays.
    :param scope: the daemons that the update contains.
    :param group: group of the sender.
    :param daemons: number of daemons that the update contains.
    :param known_daemons: the same, with those that have become silent lately.
    :param first_hosts: hosts of some of these daemons, the first in rank.
    :param limits: limits of targets, and requests sent to these lately.
    :param demand: by pool with several ranks, and by rank, the room that drafts
        hold, ask for and free.
    :param copied: by pool, the copies of slow requests in the last window.
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
    used: dict[str, tuple[int, int, int]] = {}
    era: int = 0
    notices: tuple[Notice, ...] = ()
    silence_age_s: float = -1.0
    asks_summary: bool = False
    scope: Scope = Scope.HOST
    group: str = ''
    daemons: int = 1
    known_daemons: int = 1
    first_hosts: tuple[str, ...] = ()
    limits: dict[str, LimitNews] = {}
    demand: DemandNews = {}
    copied: dict[str, int] = {}


class EventUpdate(msgspec.Struct, frozen=True, array_like=True, tag='event'):
    """News that is sent to all daemons at once.

    :param host: name of the sender's host.
    :param faults: targets that the sender avoids because of faults.
    :param lost: engines that it has recently detected as ended.
    :param notices: crashes of targets, and requests quarantined for them.
    :param sent: requests sent to limited targets since the last event.
    :param leaving: time of the start in ms, by name, of targets that have said
        that they leave.
    """

    host: str
    faults: tuple[TargetFault, ...] = ()
    lost: tuple[str, ...] = ()
    notices: tuple[Notice, ...] = ()
    sent: dict[str, int] = {}
    leaving: dict[str, int] = {}


def check_event(event: EventUpdate) -> None:
    """Check that the numbers of an event can be true.

    :raises ValueError: if they can't.
    """
    if not all(0 < count <= _MAX_SENT for count in event.sent.values()):
        raise ValueError('impossible number of requests')


def check_update(update: LoadUpdate) -> None:
    """Check that the numbers of an update can be true.

    :raises ValueError: if they can't.
    """
    counts = (update.daemons, update.known_daemons)
    if not all(1 <= count <= _MAX_DAEMONS for count in counts):
        raise ValueError(f'impossible numbers of daemons: {counts}')
    sums = (*update.reservations.values(), *update.used.values())
    numbers = itertools.chain.from_iterable(sums)
    if not all(0 <= number < math.inf for number in numbers):
        raise ValueError('impossible sum of reservations or uses')
    times_s = (fault.left_s for fault in update.faults)
    if not all(-math.inf < time_s < math.inf for time_s in times_s):
        raise ValueError('impossible duration of a fault')
    if not all(limit.is_possible() for limit in update.limits.values()):
        raise ValueError('impossible limit of a target')
    _check_work(update)


def _check_work(update: LoadUpdate) -> None:
    """Check the demand and the copies that an update tells.

    :raises ValueError: if they can't be true.
    """
    if not is_possible(update.demand):
        raise ValueError('impossible demand')
    if not all(0 < count <= _MAX_COPIED for count in update.copied.values()):
        raise ValueError('impossible number of copies')
