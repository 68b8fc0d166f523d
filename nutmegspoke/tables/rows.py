"""Rows of the two tables: routes and pools."""

from __future__ import annotations

import dataclasses
import enum


class PoolKind(enum.StrEnum):
    """What the targets of a pool are."""

    ENGINE = 'engine'
    SERVICE = 'service'


@dataclasses.dataclass(frozen=True, slots=True)
class TeamShare:
    """What one team may use of a route.

    :param team: name of the team.
    :param weight: share of the pool under contention, relative to the others.
    :param max_in_flight: requests of the team in flight over all daemons.
    """

    team: str
    weight: float
    max_in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRow:
    """A row of the table of routes.

    :param name: name of the row.
    :param path: path that a request must have; a trailing ``*`` takes any rest.
    :param model: model that the request must name; empty takes any.
    :param team: team that the request must come from; empty takes any.
    :param pool: name of the pool that serves it.
    :param repeatable: whether the call may run more than once.
    :param timeout_s: the whole time a call may take.
    :param progress_timeout_s: the longest silence of a target.
    :param priority: a higher one is served first.
    :param teams: shares and limits by team.
    :param max_body_bytes: the largest request body.
    :param retry_budget_share: retries as a share of the route's requests.
    """

    name: str
    path: str
    pool: str
    model: str = ''
    team: str = ''
    repeatable: bool = False
    timeout_s: float = 60.0
    progress_timeout_s: float = 5.0
    priority: int = 0
    teams: tuple[TeamShare, ...] = ()
    max_body_bytes: int = 1_048_576
    retry_budget_share: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class PoolRow:
    """A row of the table of pools.

    :param name: name of the row.
    :param kind: engines that hold layers, or plain services.
    :param model: model that the engines serve; empty for services.
    :param version: version of the model.
    :param layer_count: layers of the model; 0 for services.
    :param targets: ``IP:PORT`` of targets listed by hand.
    :param selector: label of the host list that picks targets; may be empty.
    :param leaving: names of targets that the operator takes out.
    :param checks_fencing: whether targets refuse an old fencing number.
    :param max_in_flight: calls in flight on one target at most.
    :param max_queue: calls that wait for a target on one daemon at most.
    """

    name: str
    kind: PoolKind
    model: str = ''
    version: str = ''
    layer_count: int = 0
    targets: tuple[str, ...] = ()
    selector: str = ''
    leaving: tuple[str, ...] = ()
    checks_fencing: bool = False
    max_in_flight: int = 16
    max_queue: int = 256


Row = RouteRow | PoolRow


@dataclasses.dataclass(frozen=True, slots=True)
class Tables:
    """Both tables at one revision.

    :param revision: number that each accepted change raises by one.
    :param routes: rows of the table of routes, in order of their names.
    :param pools: rows of the table of pools, in order of their names.
    """

    revision: int = 0
    routes: tuple[RouteRow, ...] = ()
    pools: tuple[PoolRow, ...] = ()

    def pool(self, name: str) -> PoolRow | None:
        """Return the pool of a name."""
        return next((row for row in self.pools if row.name == name), None)
