"""Which daemons contend for the lease of a pool."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

CANDIDATE_COUNT = 3


def is_candidate(
    pool: str,
    daemon: str,
    live: Collection[str],
    count: int = CANDIDATE_COUNT,
) -> bool:
    """Tell whether a daemon is one of the few that contend for a pool.

    Rendezvous hashing spreads the pools over the daemons and keeps the reads
    of the lease rows few. It is no promise: daemons may disagree on who lives,
    and the lease alone decides who holds the pool.

    :param pool: name of the pool.
    :param daemon: name of this daemon.
    :param live: names of the other live daemons.
    :param count: number of candidates.
    """
    own = _rank(pool, daemon)
    ahead = sum(_rank(pool, other) > own for other in live)
    return ahead < count


def _rank(pool: str, daemon: str) -> bytes:
    return hashlib.blake2b(f'{pool}\n{daemon}'.encode(), digest_size=8).digest()
