"""Settlement of claims with an unknown outcome by an operator."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke import metadata_store
from nutmegspoke.claims import rows

if TYPE_CHECKING:
    from collections.abc import Collection


class Verdict(enum.StrEnum):
    """Whether the call ran, according to an operator."""

    RAN = 'ran'
    NOT_RUN = 'not_run'


class SettleRefusal(enum.StrEnum):
    """Reason why a claim can't be settled."""

    NO_CLAIM = 'no_claim'
    HAS_OUTCOME = 'has_outcome'
    HOLDER_LIVES = 'holder_lives'


def is_unsettled(row: rows.ClaimRow) -> bool:
    """Return whether a claim has no outcome or an unknown one."""
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
    """Return the transaction that settles a claim, or the reason against it.

    The key of a claim settled as not run can be claimed again. The key of a
    claim settled as run can't.

    :param found: the row of the claim.
    :param verdict: whether the call ran.
    :param operator: name of the operator.
    :param live_daemons: names of the daemons that are alive.
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
