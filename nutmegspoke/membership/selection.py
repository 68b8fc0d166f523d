"""Select the addresses that belong to each pool."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.tables.rows import Tables

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from nutmegspoke.metadata_store import HostEntry
    from nutmegspoke.tables.rows import PoolRow


@dataclasses.dataclass(slots=True)
class PoolSelection:
    """Members of each pool, from pool rows and the host list.

    The members of a pool are the ``targets`` of its row and all entries of the
    host list whose selector equals that of the row.
    """

    hosts: dict[str, HostEntry] = dataclasses.field(default_factory=dict)
    _tables: Tables = dataclasses.field(default_factory=Tables)
    _addresses: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict,
    )
    _pool_row_addresses: frozenset[str] = frozenset()

    def apply_tables(self, tables: Tables) -> None:
        """Replace the pool rows by those of another revision."""
        self._tables = tables
        self._pool_row_addresses = frozenset(
            address for row in tables.pools for address in row.targets
        )
        self._rebuild()

    def apply_hosts(self, entries: Sequence[HostEntry]) -> None:
        """Replace the host list."""
        self.hosts = {entry.address: entry for entry in entries}
        self._rebuild()

    def row(self, pool: str) -> PoolRow | None:
        """Return the row of a pool; ``None`` if there is none."""
        return self._tables.pool(pool)

    def addresses(self, pool: str) -> tuple[str, ...]:
        """Return the addresses of a pool, those listed in its row first."""
        return self._addresses.get(pool, ())

    def all_addresses(self) -> tuple[str, ...]:
        """Return the addresses of all pools, sorted and without duplicates."""
        found = {
            address
            for addresses in self._addresses.values()
            for address in addresses
        }
        return tuple(sorted(found))

    def is_listed_in_pool(self, address: str) -> bool:
        """Return whether a pool row lists the address in its ``targets``."""
        return address in self._pool_row_addresses

    def _rebuild(self) -> None:
        self._addresses = {
            row.name: tuple(self._select_addresses(row))
            for row in self._tables.pools
        }

    def _select_addresses(self, row: PoolRow) -> Iterator[str]:
        yield from row.targets
        if not row.selector:
            return
        for address, entry in self.hosts.items():
            if entry.selector == row.selector and address not in row.targets:
                yield address
