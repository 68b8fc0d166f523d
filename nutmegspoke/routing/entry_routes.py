"""Find the route of a request by host name and longest path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.entry_host import EntryRoute, EntryTables, PoolShare


class RouteIndex:
    """Index of the routes of one version of the tables.

    :param routes: the routes; their prefixes end with a slash.
    """

    def __init__(self, routes: Sequence[EntryRoute]) -> None:
        """Create the index."""
        self._by_host: dict[str, dict[str, EntryRoute]] = {}
        for route in routes:
            by_prefix = self._by_host.setdefault(route.host_name.lower(), {})
            by_prefix[route.path_prefix] = route

    @classmethod
    def from_tables(cls, tables: EntryTables) -> RouteIndex:
        """Return the index of the routes in the tables."""
        return cls(tables.routes)

    def match(self, host_name: str, path: str) -> EntryRoute | None:
        """Return the route with the longest prefix that matches a path.

        :param host_name: host in lower case, without a port.
        :param path: path without the query.
        :returns: ``None`` if no route matches.
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
    """Return a pool, selected at random by weight.

    :param shares: pools with their weights.
    :param draw: uniformly distributed random number from 0 to 1.
    :returns: ``None`` if no pool has a weight.
    """
    total = sum(share.weight for share in shares)
    remaining = draw * total
    for share in shares:
        remaining -= share.weight
        if remaining < 0:
            return share.pool
    return shares[-1].pool if total > 0 else None
