"""Select the daemons that contend for the lease of a pool."""

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
    """Return whether a daemon contends for the lease of a pool.

    Rendezvous hashing spreads the pools over the daemons and limits the reads
    of the lease rows. Daemons may disagree on which others are live, so that
    the number of candidates may differ from ``count``; the lease alone decides
    which daemon holds the pool.

    :param pool: name of the pool.
    :param daemon: name of this daemon.
    :param live: names of the other live daemons.
    :param count: number of candidates.
    """
    own = _rank(pool, daemon)
    higher_ranked = sum(_rank(pool, other) > own for other in live)
    return higher_ranked < count


def _rank(pool: str, daemon: str) -> bytes:
    return hashlib.blake2b(f'{pool}\n{daemon}'.encode(), digest_size=8).digest()
