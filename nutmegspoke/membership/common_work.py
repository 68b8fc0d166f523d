"""Which daemons do work that is done once, or by a few, for all.

Every daemon ranks itself among those it hears, so nothing is agreed on: where
two hear different ones the work is done once too often, not too rarely.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Daemons that all read a table of the store themselves; fewer than a dozen
# cost the store less than passing on would cost their hosts.
ALL_READ_LIMIT = 12
# Daemons that read it for more: the loss of some at once leaves others.
READER_COUNT = 6


def rank(own: str, others: Iterable[str]) -> int:
    """Return a daemon's place among others; 0 for the first.

    Names are ranked by their checksums, which spreads the first places over
    availability zones.
    """
    place = _order(own)
    return sum(1 for other in others if _order(other) < place)


def reads_store(
    own: str, live_daemons: Iterable[str], known_count: int
) -> bool:
    """Tell whether a daemon reads a busy table of the store for others.

    :param live_daemons: names of the other daemons that are heard.
    :param known_count: other daemons that have ever told their address.
    """
    if known_count < ALL_READ_LIMIT:
        return True
    return rank(own, live_daemons) < READER_COUNT


def _order(name: str) -> tuple[int, str]:
    return zlib.crc32(name.encode()), name
