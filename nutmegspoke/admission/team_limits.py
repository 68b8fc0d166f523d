"""Splits the limit of a team over the live daemons by their demand."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_RAISE_DELAY_S = 3.0
_START_SHARE = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a daemon says of a team.

    :param daemon: name of the daemon.
    :param requests: requests in flight and waiting there.
    """

    daemon: str
    requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class _View:
    seen_at_s: float
    share: int


def split_limit(limit: int, demands: Iterable[Demand]) -> dict[str, int]:
    """Split a limit by demand, with the largest remainders rounded up.

    Each daemon counts with a demand of at least 1, so that it can begin. All
    daemons with the same view work out the same shares.

    :param limit: requests in flight over all daemons.
    :param demands: demand of each live daemon.
    :returns: shares by daemon; they add up to the limit.
    """
    wants = {each.daemon: max(1, each.requests) for each in demands}
    total = sum(wants.values())
    shares = {name: limit * want // total for name, want in wants.items()}
    by_remainder = sorted(
        wants,
        key=lambda name: (-(limit * wants[name] % total), name),
    )
    for name in by_remainder[: limit - sum(shares.values())]:
        shares[name] += 1
    return shares


class TeamLimitShares:
    """This daemon's shares of the limits of teams.

    The share in force is the lowest one of all views of the last three
    seconds: it goes down at once, and up only when every daemon has heard the
    same and has lowered its own. While membership is unknown, the last split
    holds. A daemon that has just started has one request a team until its own
    first view has stood as long.

    The sum over all daemons is at most the limit plus one for each daemon
    that started within the last three seconds, as long as demands reach all
    daemons within that time. Requests that run are not cut when a share goes
    down.
    """

    def __init__(self, daemon: str) -> None:
        """Create the shares of a daemon that has just started.

        :param daemon: name of this daemon.
        """
        self._daemon = daemon
        self._views: dict[str, list[_View]] = {}

    def update(
        self,
        limits: Mapping[str, int],
        demands: Mapping[str, tuple[Demand, ...]] | None,
        now_s: float,
    ) -> None:
        """Take the present view of the live daemons.

        :param limits: limit of each team over all daemons.
        :param demands: demands by team, this daemon's among them; ``None``
            while membership is unknown.
        :param now_s: present time.
        """
        if demands is None:
            return
        for team, limit in limits.items():
            split = split_limit(limit, demands.get(team, ()))
            self._take(team, split.get(self._daemon, 0), now_s)
        for gone in self._views.keys() - limits.keys():
            self._views.pop(gone)

    def share_of(self, team: str, limit: int, now_s: float) -> int:
        """Return how many requests of a team may be in flight here.

        :param team: name of the team.
        :param limit: its limit over all daemons.
        :param now_s: present time.
        """
        views = self._views.get(team)
        if views is None:
            return min(_START_SHARE, limit)
        _forget_old(views, now_s)
        return min(limit, *(view.share for view in views))

    def _take(self, team: str, share: int, now_s: float) -> None:
        views = self._views.get(team)
        if views is None:
            first = _View(now_s, min(_START_SHARE, share))
            self._views[team] = [first, _View(now_s, share)]
            return
        _forget_old(views, now_s)
        if views[-1].share != share:
            views.append(_View(now_s, share))


def _forget_old(views: list[_View], now_s: float) -> None:
    """Drop the views that were replaced more than three seconds ago."""
    while len(views) > 1 and now_s - views[1].seen_at_s >= _RAISE_DELAY_S:
        views.pop(0)
