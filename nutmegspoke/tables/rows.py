"""Rows of the route and pool tables."""

from __future__ import annotations

import dataclasses
import enum


class PoolKind(enum.StrEnum):
    """Kind of the targets in a pool."""

    ENGINE = 'engine'
    SERVICE = 'service'


@dataclasses.dataclass(frozen=True, slots=True)
class TeamShare:
    """A team's share of a route and its limit.

    :param team: name of the team.
    :param weight: share of the pool under contention, relative to the weights
        of the other teams.
    :param max_in_flight: limit on the team's requests in flight, over all
        daemons.
    """

    team: str
    weight: float
    max_in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRow:
    """A row of the route table.

    :param name: name of the row.
    :param path: path to match; a trailing ``*`` matches any suffix.
    :param model: model to match; empty matches any.
    :param team: team to match; empty matches any.
    :param pool: name of the pool that serves the route.
    :param repeatable: whether the call may run more than once.
    :param timeout_s: timeout for the whole call.
    :param progress_timeout_s: timeout for the next data from a target.
    :param priority: requests with a higher priority are served first.
    :param teams: shares and limits of the teams.
    :param max_body_bytes: maximum size of a request body.
    :param retry_budget_share: maximum retries as a share of the route's
        requests.
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
    """A row of the pool table.

    :param name: name of the row.
    :param kind: kind of the targets: engines that hold layers, or services.
    :param model: model that the engines serve; empty for services.
    :param version: version of the model; empty for services.
    :param layer_count: number of layers of the model; 0 for services.
    :param targets: ``IP:PORT`` of explicitly listed targets.
    :param selector: label that selects targets from the host list; may be
        empty.
    :param leaving: names of targets that the operator takes out of service.
    :param checks_fencing: whether targets refuse an old fencing number.
    :param max_in_flight: maximum calls in flight on one target.
    :param max_queue: maximum calls queued for a target on one daemon.
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

    :param revision: revision number; each accepted change increments it.
    :param routes: rows of the route table, sorted by name.
    :param pools: rows of the pool table, sorted by name.
    """

    revision: int = 0
    routes: tuple[RouteRow, ...] = ()
    pools: tuple[PoolRow, ...] = ()

    def pool(self, name: str) -> PoolRow | None:
        """Return the pool with this name; ``None`` if there is none."""
        return next((row for row in self.pools if row.name == name), None)
