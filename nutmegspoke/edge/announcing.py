"""Writes once where this daemon hears news, for the others to read."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.edge.listeners import DaemonRow
from nutmegspoke.metadata_store import (
    Committed,
    Conflict,
    Transaction,
    Write,
)

if TYPE_CHECKING:
    from nutmegspoke.edge.listeners import DaemonsListener
    from nutmegspoke.edge.platform_parts import Store
    from nutmegspoke.entry_host import EntryHost

DAEMONS_TABLE = 'daemons'
# The list of daemons is read within a few round trips.
_LIST_PAUSE_S = 0.05
_AGAIN_S = 0.5


async def announce(
    host: EntryHost,
    store: Store,
    daemons: DaemonsListener,
) -> None:
    """Write this daemon's row, unless it is there from an earlier start.

    Each write would wake the feeds of all daemons.

    :param daemons: tells the rows that are there.
    """
    key = f'{DAEMONS_TABLE}/{host.name}'
    row = DaemonRow(host.ip, host.peer_ports[0])
    write = Write(key, msgspec.json.encode(row))
    while not daemons.is_listed:
        await asyncio.sleep(_LIST_PAUSE_S)
    while daemons.own_row != write.body:
        answer = await store.commit(Transaction((), (write,)))
        if isinstance(answer, Committed | Conflict):
            return
        await asyncio.sleep(_AGAIN_S)
