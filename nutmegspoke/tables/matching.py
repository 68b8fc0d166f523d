"""Finds the route of a request."""

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
    """Return the most specific route of a request.

    :param tables: the tables in force.
    :param path: path of the request.
    :param model: model that the request names; empty if none.
    :param team: team of the caller.
    :returns: ``None`` if no route matches.
    """
    matching = [
        row for row in tables.routes if _matches(row, path, model, team)
    ]
    return max(matching, key=_specificity, default=None)


def path_is_routed(tables: Tables, path: str) -> bool:
    """Tell whether some route takes the path, whatever model or team."""
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
