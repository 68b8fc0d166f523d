"""Publishes the address at which this daemon receives updates."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.edge.listeners import DaemonRow
from nutmegspoke.metadata_store import (
    Committed,
    Transaction,
    Write,
)

if TYPE_CHECKING:
    from nutmegspoke.edge.listeners import DaemonsListener
    from nutmegspoke.edge.platform_parts import Store
    from nutmegspoke.entry_host import EntryHost

DAEMONS_TABLE = 'daemons'
# The list of daemons arrives within a few round trips to the store.
_LIST_POLL_S = 0.05
_RETRY_PAUSE_S = 0.5
# A written row arrives with the next list of daemons; until then it is not
# written again.
_REWRITE_PAUSE_S = 5.0


async def announce(
    host: EntryHost,
    store: Store,
    daemons: DaemonsListener,
) -> None:
    """Write this daemon's row to the store whenever it is not there.

    The store may lose it when it comes back from an older copy. An unchanged
    row is not written again, because each write wakes the feeds of all daemons.

    :param daemons: listener that holds the rows in the store.
    """
    key = f'{DAEMONS_TABLE}/{host.name}'
    row = DaemonRow(host.ip, host.peer_ports[0], host.availability_zone)
    write = Write(key, msgspec.json.encode(row))
    while not daemons.is_listed:
        await asyncio.sleep(_LIST_POLL_S)
    while True:
        pause_s = _RETRY_PAUSE_S
        if daemons.own_row != write.body:
            result = await store.commit(Transaction((), (write,)))
            if isinstance(result, Committed):
                pause_s = _REWRITE_PAUSE_S
        await asyncio.sleep(pause_s)
