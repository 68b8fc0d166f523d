"""Select the daemons that do work for all, such as reading a busy table.

Every daemon ranks itself among the daemons from which it receives updates,
without any agreement. If two daemons see different ones, the work is done more
often than necessary, never less often.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# With fewer other daemons than this, all read the tables of the store. Reads
# by fewer than a dozen cost the store less than forwarding costs their hosts.
ALL_READ_LIMIT = 12
# Daemons that read a busy table for all others in larger deployments. Several
# may be lost at once.
READER_COUNT = 6


def rank(own: str, others: Iterable[str]) -> int:
    """Return the rank of a daemon among others, from 0.

    Names are ranked by their checksums, which spreads the first ranks over
    availability zones.
    """
    own_key = rank_key(own)
    return sum(1 for other in others if rank_key(other) < own_key)


def all_read(known_count: int) -> bool:
    """Return whether each daemon reads busy tables for itself.

    :param known_count: number of other daemons whose address is known.
    """
    return known_count < ALL_READ_LIMIT


def reads_store(
    own: str, live_daemons: Iterable[str], known_count: int
) -> bool:
    """Return whether a daemon reads a busy table of the store itself.

    :param own: name of the daemon.
    :param live_daemons: names of the other daemons from which updates are
        received.
    :param known_count: number of other daemons whose address is known.
    """
    if all_read(known_count):
        return True
    return rank(own, live_daemons) < READER_COUNT


def rank_key(name: str) -> tuple[int, str]:
    """Return the key by which names are ranked."""
    return zlib.crc32(name.encode()), name
