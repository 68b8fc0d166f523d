"""State of one open claim of this daemon, and the writes that it needs."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke import metadata_store
from nutmegspoke.claims import rows
from nutmegspoke.claims.steps import CommitClaim

if TYPE_CHECKING:
    from nutmegspoke import outcomes
    from nutmegspoke.claims.steps import ClaimRequest


class Phase(enum.StrEnum):
    """Phase of an open claim.

    ``INSERTING``: the insert has no known result yet. ``HELD``: the insert took
    effect. ``DISPATCHED``: the call may be sent to a target. ``SAVING`` and
    ``RELEASING``: the outcome, or that the call did not run, is written.
    """

    INSERTING = 'inserting'
    HELD = 'held'
    DISPATCHED = 'dispatched'
    SAVING = 'saving'
    RELEASING = 'releasing'


@dataclasses.dataclass(slots=True)
class OpenClaim:
    """State of one open claim.

    :param request: the call.
    :param row: the row that the next write stores.
    :param version: row version that is the condition of the next write.
    :param phase: phase of the claim.
    :param may_be_written: whether a write of this claim has taken or may take
        effect.
    :param insert_count: number of inserts sent.
    :param outcome: outcome of the call; ``None`` if it has not ended.
    :param write_count: number of background writes sent.
    :param next_write_s: time at which the next background write is due.
    """

    request: ClaimRequest
    row: rows.ClaimRow
    version: int = metadata_store.ABSENT_VERSION
    phase: Phase = Phase.INSERTING
    may_be_written: bool = False
    insert_count: int = 0
    outcome: outcomes.Outcome | None = None
    write_count: int = 0
    next_write_s: float = 0.0

    @classmethod
    def from_request(cls, request: ClaimRequest, daemon: str) -> OpenClaim:
        """Return a claim that is not written yet.

        :param request: the call.
        :param daemon: name of this daemon.
        """
        row = rows.ClaimRow(
            nonce=request.nonce,
            daemon=daemon,
            fingerprint=request.fingerprint,
            state=rows.ClaimState.INSERTED,
            request_id=request.request_id,
            wall_s=request.wall_s,
        )
        return cls(request=request, row=row)

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the request was received.

        The first insert was sent after that, so the row is never older.
        """
        return now_s - self.request.started_s

    def write(self) -> CommitClaim:
        """Return the write that the current phase needs."""
        key = self.request.key
        transaction = metadata_store.Transaction(
            conditions=(metadata_store.Condition(key, self.version),),
            writes=(metadata_store.Write(key, rows.encode_claim(self.row)),),
        )
        return CommitClaim(key, transaction)

    def release(self, now_s: float) -> None:
        """Enter ``RELEASING``: the next write stores that the call did not run."""
        self.phase = Phase.RELEASING
        self.next_write_s = now_s
        self.row = msgspec.structs.replace(
            self.row,
            state=rows.ClaimState.RELEASED,
        )

    def save(
        self,
        outcome: outcomes.Outcome,
        stored: rows.StoredOutcome,
        now_s: float,
    ) -> None:
        """Enter ``SAVING``: the next write stores the outcome of the call."""
        self.phase = Phase.SAVING
        self.outcome = outcome
        self.next_write_s = now_s
        self.row = msgspec.structs.replace(
            self.row,
            state=rows.ClaimState.DONE,
            outcome=stored,
        )
