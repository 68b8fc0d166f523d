"""Consistency checks across the route and pool tables."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.tables.faults import TableFault, TableFaults
from nutmegspoke.tables.rows import PoolKind, PoolRow, RouteRow, Row, Tables
from nutmegspoke.tables.text import section_title

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


@dataclasses.dataclass(frozen=True, slots=True)
class _RowFault:
    """A fault in a row, before the file name is added."""

    row: Row
    key: str
    problem: str
    allowed: str


def check_tables(tables: Tables, source: str) -> TableFaults | None:
    """Check that the rows of both tables are consistent with each other.

    :param tables: tables whose rows are valid one by one.
    :param source: file name to report in faults.
    :returns: all faults; ``None`` if there are none.
    """
    faults = tuple(
        TableFault(
            source,
            section_title(fault.row),
            fault.key,
            fault.problem,
            fault.allowed,
        )
        for check in _CHECKS
        for fault in check(tables)
    )
    return TableFaults(faults) if faults else None


def _find_unknown_pools(tables: Tables) -> Iterator[_RowFault]:
    known_names = ', '.join(row.name for row in tables.pools) or 'none yet'
    for route in tables.routes:
        if tables.pool(route.pool) is None:
            yield _RowFault(
                route,
                'pool',
                f'names the pool {route.pool!r}, which is not in this file',
                f'a pool of this file: {known_names}',
            )


def _find_overlapping_routes(tables: Tables) -> Iterator[_RowFault]:
    route_by_match: dict[tuple[str, str, str], RouteRow] = {}
    for route in tables.routes:
        match = (route.path, route.model, route.team)
        other = route_by_match.setdefault(match, route)
        if other is not route:
            yield _RowFault(
                route,
                'path',
                f'matches the same requests as [{section_title(other)}]',
                'path, model and team that no other route has together',
            )


def _find_model_mismatches(tables: Tables) -> Iterator[_RowFault]:
    for route in tables.routes:
        pool = tables.pool(route.pool)
        if pool is None or route.model in {'', pool.model}:
            continue
        yield _RowFault(
            route,
            'model',
            f'is {route.model!r}, but the pool {pool.name!r} '
            f'serves {pool.model or "no model"!r}',
            'the model of the pool, or empty for any',
        )


def _find_long_progress_timeouts(tables: Tables) -> Iterator[_RowFault]:
    for route in tables.routes:
        if route.progress_timeout_s > route.timeout_s:
            yield _RowFault(
                route,
                'progress_timeout_s',
                f'is {route.progress_timeout_s:g}, '
                f'longer than timeout_s {route.timeout_s:g}',
                'at most timeout_s',
            )


def _find_team_share_faults(tables: Tables) -> Iterator[_RowFault]:
    for route in tables.routes:
        names = [share.team for share in route.teams]
        yield from _find_repeated_names(route, 'teams', names, 'each team once')
        if route.team and set(names) - {route.team}:
            yield _RowFault(
                route,
                'teams',
                f'lists other teams, but only {route.team!r} matches',
                f'a line for {route.team}, or no "team"',
            )


def _find_unknown_teams(tables: Tables) -> Iterator[_RowFault]:
    known_names = {
        share.team for route in tables.routes for share in route.teams
    }
    for route in tables.routes:
        if route.team and route.team not in known_names:
            yield _RowFault(
                route,
                'team',
                f'names the team {route.team!r}, which has no limits',
                'a team that some route lists under "teams"',
            )


def _find_engine_setting_faults(tables: Tables) -> Iterator[_RowFault]:
    for pool in tables.pools:
        yield from _check_engine_settings(pool)


def _check_engine_settings(pool: PoolRow) -> Iterator[_RowFault]:
    is_engine = pool.kind is PoolKind.ENGINE
    settings = {
        'model': pool.model,
        'version': pool.version,
        'layer_count': pool.layer_count,
    }
    for key, setting in settings.items():
        if is_engine and not setting:
            yield _RowFault(
                pool,
                key,
                'is missing',
                'a pool of engines names model, version and layer_count',
            )
        if setting and not is_engine:
            yield _RowFault(
                pool,
                key,
                f'is {setting!r} in a pool of services',
                'model, version and layer_count only for engines',
            )


def _find_target_faults(tables: Tables) -> Iterator[_RowFault]:
    for pool in tables.pools:
        yield from _find_repeated_names(
            pool, 'targets', pool.targets, 'each target once'
        )
        if not pool.targets and not pool.selector:
            yield _RowFault(
                pool,
                'targets',
                'is empty, and there is no selector',
                'targets, a selector, or both',
            )
        unknown_names = set(pool.leaving) - set(pool.targets)
        if unknown_names and not pool.selector:
            yield _RowFault(
                pool,
                'leaving',
                f'names {", ".join(sorted(unknown_names))}, no target of the pool',
                'targets of this pool',
            )


def _find_shared_targets(tables: Tables) -> Iterator[_RowFault]:
    owners: dict[str, PoolRow] = {}
    for pool in tables.pools:
        for key, name in _list_selector_and_targets(pool):
            owner = owners.setdefault(name, pool)
            if owner is not pool:
                yield _RowFault(
                    pool,
                    key,
                    f'names {name}, which [{section_title(owner)}] has too',
                    'a target in one pool only',
                )


def _list_selector_and_targets(pool: PoolRow) -> Iterator[tuple[str, str]]:
    if pool.selector:
        yield 'selector', pool.selector
    for target in dict.fromkeys(pool.targets):
        yield 'targets', target


def _find_repeated_names(
    row: Row,
    key: str,
    names: list[str] | tuple[str, ...],
    allowed: str,
) -> Iterator[_RowFault]:
    for name, count in collections.Counter(names).items():
        if count > 1:
            yield _RowFault(row, key, f'lists {name} {count} times', allowed)


_CHECKS: tuple[Callable[[Tables], Iterator[_RowFault]], ...] = (
    _find_unknown_pools,
    _find_overlapping_routes,
    _find_model_mismatches,
    _find_long_progress_timeouts,
    _find_team_share_faults,
    _find_unknown_teams,
    _find_engine_setting_faults,
    _find_target_faults,
    _find_shared_targets,
)
