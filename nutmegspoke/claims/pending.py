"""Background writes of outcomes and releases, retried until confirmed."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from nutmegspoke import metadata_store
from nutmegspoke.claims import rows

if TYPE_CHECKING:
    from nutmegspoke.claims.held import OpenClaim
    from nutmegspoke.claims.steps import CommitClaim

logger = logging.getLogger(__name__)

_MAX_BACKOFF_DOUBLINGS = 10


class PendingWrites:
    """Retries each write until it has taken effect or can no longer do so."""

    def __init__(self, retry_s: float, max_retry_s: float) -> None:
        """Create without writes.

        :param retry_s: first wait between two writes of a claim, in seconds.
        :param max_retry_s: longest wait between two writes of a claim, in
            seconds.
        """
        self._retry_s = retry_s
        self._max_retry_s = max_retry_s
        self._claims: dict[str, OpenClaim] = {}

    def add(self, claim: OpenClaim) -> None:
        """Add a claim in phase ``SAVING`` or ``RELEASING``."""
        self._claims[claim.request.key] = claim

    def due(self, now_s: float) -> tuple[CommitClaim, ...]:
        """Return the writes to send now.

        A returned write is not due again before :meth:`settle` gets its result.
        """
        return tuple(
            self._send(claim)
            for claim in self._claims.values()
            if claim.next_write_s <= now_s
        )

    def next_due_s(self) -> float | None:
        """Return the time of the next due write in seconds; ``None`` for never."""
        return min(
            (claim.next_write_s for claim in self._claims.values()),
            default=None,
        )

    def settle(
        self,
        key: str,
        commit: metadata_store.CommitResult,
        now_s: float,
    ) -> bool:
        """Process the result of a write.

        :param key: key of the claim row.
        :param commit: result that the table service returned.
        :param now_s: current time on the daemon's clock, in seconds.
        :returns: whether the claim needs no further write.
        """
        claim = self._claims.get(key)
        if claim is None:
            return False
        claim.next_write_s = self._next_write_s(claim, now_s)
        if not self._is_settled(claim, commit):
            return False
        self._claims.pop(key)
        return True

    def _send(self, claim: OpenClaim) -> CommitClaim:
        claim.write_count += 1
        claim.next_write_s = math.inf
        return claim.write()

    def _next_write_s(self, claim: OpenClaim, now_s: float) -> float:
        doublings = min(claim.write_count, _MAX_BACKOFF_DOUBLINGS)
        wait_s = self._retry_s * 2 ** (doublings - 1)
        return now_s + min(wait_s, self._max_retry_s)

    def _is_settled(
        self, claim: OpenClaim, commit: metadata_store.CommitResult
    ) -> bool:
        key = claim.request.key
        match commit:
            case metadata_store.Committed():
                return True
            case metadata_store.Conflict():
                found = metadata_store.find_row(key, commit.rows)
                return found is not None and self._is_settled_by(claim, found)
            case metadata_store.InDoubt() | metadata_store.Unavailable():
                logger.info(
                    'claims: write in doubt, will be retried key=%s', key
                )
                return False

    def _is_settled_by(
        self, claim: OpenClaim, found: metadata_store.StoredRow
    ) -> bool:
        row = rows.decode_claim(found.body) if found.version else None
        is_own = row is not None and row.nonce == claim.row.nonce
        if is_own and row.state is rows.ClaimState.INSERTED:
            claim.version = found.version
            claim.next_write_s = 0.0
            return False
        if not (is_own and row.state is claim.row.state):
            logger.warning(
                'claims: claim was changed by others key=%s phase=%s',
                claim.request.key,
                claim.phase,
            )
        return True
