"""Interface between the daemon and the platform that it runs on."""

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
        """Use this ``IP:PORT`` for the next calls."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformParts:
    """Implementations of the platform that the daemon uses.

    :param read_host: reads the description of the host; raises
        :exc:`~nutmegspoke.errors.SettingsError`.
    :param store: the metadata store.
    :param engines: control calls to engines, separate from requests.
    :param header_codec: reads and writes the headers of requests and answers.
    :param tables_table: table of the store that holds the operator's tables.
    :param tables_row: name of the row that holds them.
    :param decode_tables: decodes the body of that row.
    :param targets_table: table in which targets register themselves.
    :param decode_target: decodes the name and body of one of its rows.
    """

    read_host: Callable[[], EntryHost]
    store: Store
    engines: EngineCalls
    header_codec: HeaderCodec
    tables_table: str
    tables_row: str
    decode_tables: Callable[[bytes], EntryTables]
    targets_table: str
    decode_target: Callable[[str, bytes], TargetEntry | None]
