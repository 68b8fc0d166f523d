"""Outcomes for callers whose call can't be claimed."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.claims import rows
from nutmegspoke.claims.held import OpenClaim, Phase

if TYPE_CHECKING:
    from nutmegspoke.claims.steps import ClaimRequest, DaemonLiveness

_RUNNING_RETRY_S = 1.0
_STORE_RETRY_S = 2.0
_STALE_RETRY_S = 1.0
_MAX_FIRST_READS = 4096


def store_unavailable() -> outcomes.NotRun:
    """Return the refusal of a call whose claim can't be written."""
    return outcomes.NotRun(
        outcomes.RefusalReason.STORE_UNAVAILABLE,
        _STORE_RETRY_S,
        'the claim of the call could not be written',
    )


def claim_stale() -> outcomes.NotRun:
    """Return the refusal of a call whose claim is too old to dispatch."""
    return outcomes.NotRun(
        outcomes.RefusalReason.CLAIM_STALE,
        _STALE_RETRY_S,
        'the claim of the call grew too old before the call left',
    )


def reply_for_open_claim(
    claim: OpenClaim, request: ClaimRequest
) -> outcomes.Outcome:
    """Return the outcome for a call whose key has an open claim here.

    :param claim: the open claim of an earlier call with the same key.
    :param request: the later call.
    """
    if claim.phase is Phase.RELEASING:
        return store_unavailable()
    if claim.row.fingerprint != request.fingerprint:
        return _key_reused()
    if claim.row.outcome is not None:
        return rows.from_stored(claim.row.outcome)
    return _key_running()


@dataclasses.dataclass(frozen=True, slots=True)
class _FirstRead:
    nonce: str
    first_read_s: float


class RowReader:
    """Derives outcomes from claim rows that other attempts have written.

    It remembers when it first read each unfinished claim. If the claim has no
    outcome after the longest time that its call can run, the outcome is
    unknown.
    """

    def __init__(self, daemon: str, liveness: DaemonLiveness) -> None:
        """Create a reader.

        :param daemon: name of this process in its claim rows.
        :param liveness: reports which daemons are alive.
        """
        self._daemon = daemon
        self._liveness = liveness
        self._first_reads: dict[str, _FirstRead] = {}

    def reply(
        self,
        request: ClaimRequest,
        row: rows.ClaimRow | None,
        now_s: float,
    ) -> outcomes.Outcome:
        """Return the outcome for a call whose key another attempt has claimed.

        :param request: the call.
        :param row: the row of its key; ``None`` if it can't be decoded.
        :param now_s: current time on the daemon's clock, in seconds.
        """
        if row is None:
            return outcomes.Unknown(outcomes.UnknownReason.HOLDER_GONE)
        if row.state is rows.ClaimState.RELEASED:
            return store_unavailable()
        if row.fingerprint != request.fingerprint:
            return _key_reused()
        if row.outcome is not None:
            return rows.from_stored(row.outcome)
        return self._reply_to_unfinished(request, row, now_s)

    def _reply_to_unfinished(
        self,
        request: ClaimRequest,
        row: rows.ClaimRow,
        now_s: float,
    ) -> outcomes.Outcome:
        if self._may_still_run(request, row, now_s):
            return _key_running()
        return outcomes.Unknown(
            outcomes.UnknownReason.HOLDER_GONE,
            detail='the daemon that held the claim left no outcome',
        )

    def _may_still_run(
        self,
        request: ClaimRequest,
        row: rows.ClaimRow,
        now_s: float,
    ) -> bool:
        if row.daemon == self._daemon:
            return False
        if self._liveness.is_gone(row.daemon, now_s):
            return False
        first_read_s = self._first_read_s(request.key, row.nonce, now_s)
        return now_s - first_read_s <= request.run_limit_s

    def _first_read_s(self, key: str, nonce: str, now_s: float) -> float:
        first_read = self._first_reads.get(key)
        if first_read is not None and first_read.nonce == nonce:
            return first_read.first_read_s
        if len(self._first_reads) >= _MAX_FIRST_READS:
            self._first_reads.pop(next(iter(self._first_reads)))
        self._first_reads[key] = _FirstRead(nonce, now_s)
        return now_s


def _key_reused() -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.RefusalReason.KEY_REUSED,
        detail='the key was used with another call',
    )


def _key_running() -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.RefusalReason.KEY_RUNNING,
        _RUNNING_RETRY_S,
        'the first call with this key has no outcome yet',
    )
