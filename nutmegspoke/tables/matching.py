"""Matches requests to routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.tables.rows import RouteRow, Tables


def match_route(
    tables: Tables,
    path: str,
    model: str,
    team: str,
) -> RouteRow | None:
    """Return the most specific route that matches a request.

    An exact path takes precedence over a path prefix, then a route for one
    team over a route for any, then a route for one model over a route for
    any, then the longer path.

    :param tables: the tables in force.
    :param path: path of the request.
    :param model: model named in the request; empty if none.
    :param team: team of the caller.
    :returns: the route; ``None`` if no route matches.
    """
    candidates = [
        row for row in tables.routes if _matches(row, path, model, team)
    ]
    return max(candidates, key=_specificity, default=None)


def path_is_routed(tables: Tables, path: str) -> bool:
    """Return whether any route matches the path, for any model or team."""
    return any(_path_matches(row.path, path) for row in tables.routes)


def _matches(row: RouteRow, path: str, model: str, team: str) -> bool:
    return (
        _path_matches(row.path, path)
        and row.model in {'', model}
        and row.team in {'', team}
    )


def _path_matches(pattern: str, path: str) -> bool:
    if pattern.endswith('*'):
        return path.startswith(pattern[:-1])
    return path == pattern


def _specificity(row: RouteRow) -> tuple[bool, bool, bool, int]:
    return (
        not row.path.endswith('*'),
        bool(row.team),
        bool(row.model),
        len(row.path),
    )
