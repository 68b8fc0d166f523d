"""Which addresses belong to which pool."""

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
    """Joins pool rows with the host list.

    A row's ``targets`` are its members, and so is each entry of the host list
    that bears the label of its ``selector``.
    """

    hosts: dict[str, HostEntry] = dataclasses.field(default_factory=dict)
    _tables: Tables = dataclasses.field(default_factory=Tables)
    _addresses: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict,
    )
    _by_hand: frozenset[str] = frozenset()

    def apply_tables(self, tables: Tables) -> None:
        """Put the pool rows of a revision into force."""
        self._tables = tables
        self._by_hand = frozenset(
            address for row in tables.pools for address in row.targets
        )
        self._renew()

    def apply_hosts(self, entries: Sequence[HostEntry]) -> None:
        """Replace the host list."""
        self.hosts = {entry.address: entry for entry in entries}
        self._renew()

    def row(self, pool: str) -> PoolRow | None:
        """Return the row of a pool."""
        return self._tables.pool(pool)

    def addresses(self, pool: str) -> tuple[str, ...]:
        """Return the addresses of a pool, those listed by hand first."""
        return self._addresses.get(pool, ())

    def all_addresses(self) -> tuple[str, ...]:
        """Return the addresses of all pools, each once and in order."""
        found = {
            address
            for addresses in self._addresses.values()
            for address in addresses
        }
        return tuple(sorted(found))

    def is_by_hand(self, address: str) -> bool:
        """Tell whether some pool row lists the address by hand."""
        return address in self._by_hand

    def _renew(self) -> None:
        self._addresses = {
            row.name: tuple(self._select(row)) for row in self._tables.pools
        }

    def _select(self, row: PoolRow) -> Iterator[str]:
        yield from row.targets
        if not row.selector:
            return
        for address, entry in self.hosts.items():
            if entry.selector == row.selector and address not in row.targets:
                yield address
