"""Split the limit of a team over the live daemons by their demand."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_RAISE_DELAY_S = 3.0
_START_SHARE = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand that a daemon reports for a team.

    :param daemon: name of the daemon.
    :param requests: number of requests in flight or waiting on the daemon.
    """

    daemon: str
    requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class _TimedShare:
    since_s: float
    share: int


def split_limit(limit: int, demands: Iterable[Demand]) -> dict[str, int]:
    """Split a limit by demand, with the largest remainders rounded up.

    Each daemon counts with a demand of at least 1, so that it can start
    requests. All daemons with the same demands compute the same shares.

    :param limit: limit of the requests in flight on all daemons.
    :param demands: demand of each live daemon.
    :returns: shares by daemon; they add up to the limit.
    """
    requests_by_daemon = {
        each.daemon: max(1, each.requests) for each in demands
    }
    total = sum(requests_by_daemon.values())
    shares = {
        name: limit * requests // total
        for name, requests in requests_by_daemon.items()
    }
    by_remainder = sorted(
        requests_by_daemon,
        key=lambda name: (-(limit * requests_by_daemon[name] % total), name),
    )
    for name in by_remainder[: limit - sum(shares.values())]:
        shares[name] += 1
    return shares


class TeamLimitShares:
    """This daemon's shares of the limits of teams.

    The effective share is the lowest one computed within the last three
    seconds. It falls at once, and rises only after every daemon has received
    the same demands and lowered its own share. While membership is unknown, the
    last split applies. A daemon that has just started has a share of one
    request per team until its first split is three seconds old.

    The sum over all daemons is at most the limit plus one for each daemon that
    started within the last three seconds, provided that demands reach all
    daemons within that time. Running requests are not ended when a share falls.
    """

    def __init__(self, daemon: str) -> None:
        """Create the shares of a daemon that has just started.

        :param daemon: name of this daemon.
        """
        self._daemon = daemon
        self._shares: dict[str, list[_TimedShare]] = {}

    def update(
        self,
        limits: Mapping[str, int],
        demands: Mapping[str, tuple[Demand, ...]] | None,
        now_s: float,
    ) -> None:
        """Update the shares from the present demands of the live daemons.

        :param limits: limit of each team over all daemons.
        :param demands: demands by team, including those of this daemon;
            ``None`` while membership is unknown.
        :param now_s: current time, in seconds.
        """
        if demands is None:
            return
        for team, limit in limits.items():
            split = split_limit(limit, demands.get(team, ()))
            self._add_share(team, split.get(self._daemon, 0), now_s)
        for removed_team in self._shares.keys() - limits.keys():
            self._shares.pop(removed_team)

    def share_of(self, team: str, limit: int, now_s: float) -> int:
        """Return how many requests of a team may be in flight on this daemon.

        :param team: name of the team.
        :param limit: limit of the team over all daemons.
        :param now_s: current time, in seconds.
        """
        recent_shares = self._shares.get(team)
        if recent_shares is None:
            return min(_START_SHARE, limit)
        _remove_old(recent_shares, now_s)
        return min(limit, *(each_share.share for each_share in recent_shares))

    def _add_share(self, team: str, share: int, now_s: float) -> None:
        recent_shares = self._shares.get(team)
        if recent_shares is None:
            first_share = _TimedShare(now_s, min(_START_SHARE, share))
            self._shares[team] = [first_share, _TimedShare(now_s, share)]
            return
        _remove_old(recent_shares, now_s)
        if recent_shares[-1].share != share:
            recent_shares.append(_TimedShare(now_s, share))


def _remove_old(recent_shares: list[_TimedShare], now_s: float) -> None:
    """Remove the shares that were replaced at least three seconds ago."""
    while (
        len(recent_shares) > 1
        and now_s - recent_shares[1].since_s >= _RAISE_DELAY_S
    ):
        recent_shares.pop(0)
