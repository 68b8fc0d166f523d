"""What daemons tell each other of their load, some times a second.

Each news replaces the earlier one of its daemon, so lost ones are harmless.
A daemon that is not heard for a while no longer counts.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.admission.draft_room import Promise, sum_promises
from nutmegspoke.retries.window_budget import PoolUse

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

# Shortest pause between news: a chain fills up in some seconds.
_INTERVAL_S = 0.1
# Pause for each daemon told, which bounds the datagrams of all daemons.
_INTERVAL_PER_DAEMON_S = 0.01
# Several lost news in a row, as news leave some times a second.
SILENCE_LIMIT_S = 2.0
# A daemon of which nothing was heard for so long is forgotten.
_FORGET_S = 30.0


def update_interval_s(daemons_told: int) -> float:
    """Return the pause between the news of a daemon."""
    return max(_INTERVAL_S, daemons_told * _INTERVAL_PER_DAEMON_S)


class TargetFault(msgspec.Struct, frozen=True, array_like=True):
    """A target that a daemon avoids.

    :param target: name of the target.
    :param left_s: for how much longer.
    """

    target: str
    left_s: float


class LoadUpdate(msgspec.Struct, frozen=True, array_like=True, tag='load'):
    """News of one daemon.

    :param host: name of its host.
    :param started_ms: start of the daemon; tells two of its lives apart.
    :param number: rises with each news.
    :param reservations: token layers, requests and first requests promised, by
        engine.
    :param faults: targets that it avoids.
    :param leads: it holds the lease on placement.
    :param lease: version and body of the lease row, if it leads.
    :param reports: slowness and unknown load of engines that report such, if
        this daemon reads the reports for all.
    :param reassignments: engines that change their layers, if it leads: the layers
        that they are to hold, and the seconds in which they list them.
    :param used: requests, and repeats beyond its own share, in the last
        window, by pool.
    :param lost: engines that it has just found to have ended.
    :param feeds: versions of the store that its feeds have read, by table.
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


@dataclasses.dataclass(slots=True)
class _Heard:
    news: LoadUpdate
    heard_s: float
    reservations: Mapping[str, Promise]


class LoadUpdates:
    """The last news of each other daemon."""

    def __init__(self) -> None:
        """Start without news."""
        self._heard: dict[str, _Heard] = {}

    def receive(self, news: LoadUpdate, now_s: float) -> bool:
        """Take news; ``False`` if they are older than those known.

        After a silence any news are taken: the time of day, which tells two
        lives of a daemon apart, may have been set back between them.
        """
        known = self._heard.get(news.host)
        if known is not None and now_s - known.heard_s < SILENCE_LIMIT_S:
            known_order = (known.news.started_ms, known.news.number)
            if (news.started_ms, news.number) <= known_order:
                return False
        reservations = {
            engine: Promise(*sums) for engine, sums in news.reservations.items()
        }
        self._heard[news.host] = _Heard(news, now_s, reservations)
        return True

    def promised(self, now_s: float) -> dict[str, Promise]:
        """Return what the other daemons have promised on each engine."""
        return sum_promises(heard.reservations for heard in self._recent(now_s))

    def has_leader(self, now_s: float) -> bool:
        """Tell whether another daemon says that it holds the lease."""
        return any(heard.news.leads for heard in self._recent(now_s))

    def used(self, pool: str, now_s: float) -> PoolUse:
        """Return what the other daemons did lately for a pool."""
        told = [
            heard.news.used[pool]
            for heard in self._recent(now_s)
            if pool in heard.news.used
        ]
        return PoolUse(
            requests=sum(requests for requests, _ in told),
            borrowed=sum(borrowed for _, borrowed in told),
            daemons=len(told),
        )

    def heard(self, now_s: float) -> list[str]:
        """Return the hosts of the other daemons that are heard."""
        return [heard.news.host for heard in self._recent(now_s)]

    def daemons(self, now_s: float) -> int:
        """Return how many other daemons are heard."""
        return sum(1 for _ in self._recent(now_s))

    def count_known_hosts(self, now_s: float) -> int:
        """Return how many others were heard lately, silent ones included."""
        self._heard = {
            host: heard
            for host, heard in self._heard.items()
            if now_s - heard.heard_s < _FORGET_S
        }
        return len(self._heard)

    def _recent(self, now_s: float) -> Iterator[_Heard]:
        return (
            heard
            for heard in self._heard.values()
            if now_s - heard.heard_s < SILENCE_LIMIT_S
        )
