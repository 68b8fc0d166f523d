"""A claim that this daemon works on, and the writes it needs."""

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
    """What the daemon does with a claim."""

    INSERTING = 'inserting'
    HELD = 'held'
    DISPATCHED = 'dispatched'
    SAVING = 'saving'
    RELEASING = 'releasing'


@dataclasses.dataclass(slots=True)
class OpenClaim:
    """State of one claim on its daemon.

    :param request: the call that it is for.
    :param row: the row as this daemon means it to be.
    :param version: version that the next write requires.
    :param phase: what the daemon does with it.
    :param may_be_written: a write of this claim may have taken effect unseen.
    :param insert_count: inserts sent so far.
    :param outcome: outcome of the call once there is one.
    :param write_count: background writes sent so far.
    :param next_write_s: when the next background write is due.
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
        """Create a claim that is not yet written.

        :param request: the call that it is for.
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
        """Return the time since before the claim was first sent."""
        return now_s - self.request.started_s

    def write(self) -> CommitClaim:
        """Return the write that the present phase needs."""
        key = self.request.key
        transaction = metadata_store.Transaction(
            conditions=(metadata_store.Condition(key, self.version),),
            writes=(metadata_store.Write(key, rows.encode_claim(self.row)),),
        )
        return CommitClaim(key, transaction)

    def release(self, now_s: float) -> None:
        """Turn to writing that the call was not dispatched."""
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
        """Turn to writing the outcome of the call."""
        self.phase = Phase.SAVING
        self.outcome = outcome
        self.next_write_s = now_s
        self.row = msgspec.structs.replace(
            self.row,
            state=rows.ClaimState.DONE,
            outcome=stored,
        )
