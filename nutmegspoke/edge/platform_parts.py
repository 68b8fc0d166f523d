"""What an entry daemon needs of the platform that it runs on."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

from nutmegspoke.metadata_store import ChangeFeed, TableService

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.engine_orders import EngineCalls
    from nutmegspoke.entry_host import EntryHost, EntryTables, TargetEntry
    from nutmegspoke.forwarded import HeaderCodec


class Store(TableService, ChangeFeed, Protocol):
    """The platform's metadata store."""

    def use_address(self, address: str) -> None:
        """Make the next calls to this ``IP:PORT``."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformParts:
    """The platform, as the daemon sees it.

    :param read_host: reads the host's description; raises ``SettingsError``.
    :param store: the metadata store.
    :param engines: calls to engines beside requests.
    :param dialect: headers of requests and answers.
    :param tables_table: table of the store that holds the operator's tables.
    :param tables_row: row of that table.
    :param decode_tables: reads the row.
    :param targets_table: table in which targets register themselves.
    :param decode_target: reads one of its rows.
    """

    read_host: Callable[[], EntryHost]
    store: Store
    engines: EngineCalls
    dialect: HeaderCodec
    tables_table: str
    tables_row: str
    decode_tables: Callable[[bytes], EntryTables]
    targets_table: str
    decode_target: Callable[[str, bytes], TargetEntry | None]
