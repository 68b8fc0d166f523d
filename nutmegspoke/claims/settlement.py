"""Settles a claim whose outcome nobody can know, on an operator's word."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke import metadata_store
from nutmegspoke.claims import rows

if TYPE_CHECKING:
    from collections.abc import Collection


class Verdict(enum.StrEnum):
    """What an operator found out about a call."""

    RAN = 'ran'
    NOT_RUN = 'not_run'


class SettleRefusal(enum.StrEnum):
    """Why a claim can't be settled."""

    NO_CLAIM = 'no_claim'
    HAS_OUTCOME = 'has_outcome'
    HOLDER_LIVES = 'holder_lives'


def is_unsettled(row: rows.ClaimRow) -> bool:
    """Tell whether nobody knows the outcome of a claim."""
    if row.state is rows.ClaimState.INSERTED:
        return True
    return row.outcome is not None and (
        row.outcome.kind is rows.OutcomeKind.UNKNOWN
    )


def settle(
    found: metadata_store.StoredRow,
    verdict: Verdict,
    operator: str,
    live_daemons: Collection[str],
) -> metadata_store.Transaction | SettleRefusal:
    """Return the write that settles a claim.

    A claim that is settled as not run can be claimed anew. A claim that is
    settled as run keeps its key used up.

    :param found: the row of the claim.
    :param verdict: what the operator found out.
    :param operator: name of the operator.
    :param live_daemons: names of the daemons that live.
    """
    row = rows.decode_claim(found.body) if found.version else None
    if row is None:
        return SettleRefusal.NO_CLAIM
    if not is_unsettled(row):
        return SettleRefusal.HAS_OUTCOME
    if row.daemon in live_daemons and row.outcome is None:
        return SettleRefusal.HOLDER_LIVES
    settled = rows.encode_claim(_settled_row(row, verdict, operator))
    return metadata_store.Transaction(
        conditions=(metadata_store.Condition(found.key, found.version),),
        writes=(metadata_store.Write(found.key, settled),),
    )


def _settled_row(
    row: rows.ClaimRow,
    verdict: Verdict,
    operator: str,
) -> rows.ClaimRow:
    if verdict is Verdict.NOT_RUN:
        return msgspec.structs.replace(
            row,
            state=rows.ClaimState.RELEASED,
            outcome=None,
            settled_by=operator,
        )
    return msgspec.structs.replace(
        row,
        state=rows.ClaimState.SETTLED,
        outcome=rows.StoredOutcome(rows.OutcomeKind.ANSWER_GONE),
        settled_by=operator,
    )
