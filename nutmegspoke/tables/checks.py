"""Checks of both tables together."""

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
class _Found:
    """A fault of a row, without the name of the file."""

    row: Row
    key: str
    problem: str
    allowed: str


def check_tables(tables: Tables, source: str) -> TableFaults | None:
    """Check names, matches and ranges over both tables.

    :param tables: rows that are right one by one.
    :param source: name of the file, for faults.
    :returns: every fault, or ``None``.
    """
    faults = tuple(
        TableFault(
            source,
            section_title(found.row),
            found.key,
            found.problem,
            found.allowed,
        )
        for check in _CHECKS
        for found in check(tables)
    )
    return TableFaults(faults) if faults else None


def _dangling_pools(tables: Tables) -> Iterator[_Found]:
    known = ', '.join(row.name for row in tables.pools) or 'none yet'
    for route in tables.routes:
        if tables.pool(route.pool) is None:
            yield _Found(
                route,
                'pool',
                f'names the pool {route.pool!r}, which is not in this file',
                f'a pool of this file: {known}',
            )


def _overlapping_matches(tables: Tables) -> Iterator[_Found]:
    first: dict[tuple[str, str, str], RouteRow] = {}
    for route in tables.routes:
        match = (route.path, route.model, route.team)
        other = first.setdefault(match, route)
        if other is not route:
            yield _Found(
                route,
                'path',
                f'matches the same requests as [{section_title(other)}]',
                'path, model and team that no other route has together',
            )


def _wrong_models(tables: Tables) -> Iterator[_Found]:
    for route in tables.routes:
        pool = tables.pool(route.pool)
        if pool is None or route.model in {'', pool.model}:
            continue
        yield _Found(
            route,
            'model',
            f'is {route.model!r}, but the pool {pool.name!r} '
            f'serves {pool.model or "no model"!r}',
            'the model of the pool, or empty for any',
        )


def _timeouts(tables: Tables) -> Iterator[_Found]:
    for route in tables.routes:
        if route.progress_timeout_s > route.timeout_s:
            yield _Found(
                route,
                'progress_timeout_s',
                f'is {route.progress_timeout_s:g}, '
                f'longer than timeout_s {route.timeout_s:g}',
                'at most timeout_s',
            )


def _teams(tables: Tables) -> Iterator[_Found]:
    for route in tables.routes:
        names = [share.team for share in route.teams]
        yield from _repeated(route, 'teams', names, 'each team once')
        if route.team and set(names) - {route.team}:
            yield _Found(
                route,
                'teams',
                f'lists other teams, but only {route.team!r} matches',
                f'a line for {route.team}, or no "team"',
            )


def _unknown_teams(tables: Tables) -> Iterator[_Found]:
    known = {share.team for route in tables.routes for share in route.teams}
    for route in tables.routes:
        if route.team and route.team not in known:
            yield _Found(
                route,
                'team',
                f'names the team {route.team!r}, which has no limits',
                'a team that some route lists under "teams"',
            )


def _layers(tables: Tables) -> Iterator[_Found]:
    for pool in tables.pools:
        yield from _engine_keys(pool)


def _engine_keys(pool: PoolRow) -> Iterator[_Found]:
    is_engine = pool.kind is PoolKind.ENGINE
    settings = {
        'model': pool.model,
        'version': pool.version,
        'layer_count': pool.layer_count,
    }
    for key, setting in settings.items():
        if is_engine and not setting:
            yield _Found(
                pool,
                key,
                'is missing',
                'a pool of engines names model, version and layer_count',
            )
        if setting and not is_engine:
            yield _Found(
                pool,
                key,
                f'is {setting!r} in a pool of services',
                'model, version and layer_count only for engines',
            )


def _targets(tables: Tables) -> Iterator[_Found]:
    for pool in tables.pools:
        yield from _repeated(pool, 'targets', pool.targets, 'each target once')
        if not pool.targets and not pool.selector:
            yield _Found(
                pool,
                'targets',
                'is empty, and there is no selector',
                'targets, a selector, or both',
            )
        strangers = set(pool.leaving) - set(pool.targets)
        if strangers and not pool.selector:
            yield _Found(
                pool,
                'leaving',
                f'names {", ".join(sorted(strangers))}, no target of the pool',
                'targets of this pool',
            )


def _shared_targets(tables: Tables) -> Iterator[_Found]:
    owners: dict[str, PoolRow] = {}
    for pool in tables.pools:
        for key, name in _target_names(pool):
            owner = owners.setdefault(name, pool)
            if owner is not pool:
                yield _Found(
                    pool,
                    key,
                    f'names {name}, which [{section_title(owner)}] has too',
                    'a target in one pool only',
                )


def _target_names(pool: PoolRow) -> Iterator[tuple[str, str]]:
    if pool.selector:
        yield 'selector', pool.selector
    for target in dict.fromkeys(pool.targets):
        yield 'targets', target


def _repeated(
    row: Row,
    key: str,
    names: list[str] | tuple[str, ...],
    allowed: str,
) -> Iterator[_Found]:
    for name, count in collections.Counter(names).items():
        if count > 1:
            yield _Found(row, key, f'lists {name} {count} times', allowed)


_CHECKS: tuple[Callable[[Tables], Iterator[_Found]], ...] = (
    _dangling_pools,
    _overlapping_matches,
    _wrong_models,
    _timeouts,
    _teams,
    _unknown_teams,
    _layers,
    _targets,
    _shared_targets,
)
