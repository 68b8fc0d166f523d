"""Finds the route of a request by host name and longest path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.entry_host import EntryRoute, EntryTables, PoolShare


class RouteIndex:
    """Routes of one version of the tables.

    :param routes: the routes; their prefixes end with a slash.
    """

    def __init__(self, routes: Sequence[EntryRoute]) -> None:
        """Index the routes."""
        self._by_host: dict[str, dict[str, EntryRoute]] = {}
        for route in routes:
            by_prefix = self._by_host.setdefault(route.host_name.lower(), {})
            by_prefix[route.path_prefix] = route

    @classmethod
    def from_tables(cls, tables: EntryTables) -> RouteIndex:
        """Index the routes of the tables."""
        return cls(tables.routes)

    def match(self, host_name: str, path: str) -> EntryRoute | None:
        """Return the route whose prefix is the longest; ``None`` without one.

        :param host_name: host in lower case, without a port.
        :param path: path without the query.
        """
        by_prefix = self._by_host.get(host_name)
        if by_prefix is None:
            return None
        end = len(path)
        while True:
            slash = path.rfind('/', 0, end)
            if slash < 0:
                return None
            route = by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash


def pick_pool(shares: Sequence[PoolShare], draw: float) -> str | None:
    """Return the pool on which a draw falls; ``None`` if there is none.

    :param shares: pools with their weights.
    :param draw: number from 0 to 1, evenly spread.
    """
    total = sum(share.weight for share in shares)
    mark = draw * total
    for share in shares:
        mark -= share.weight
        if mark < 0:
            return share.pool
    return shares[-1].pool if total > 0 else None
