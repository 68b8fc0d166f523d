"""List and settle claims for operators."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.border.claim_holders import holder_name
from nutmegspoke.claims import rows, settlement
from nutmegspoke.membership.daemon_rows import ROW_PREFIX, decode_daemon_row
from nutmegspoke.metadata_store import Committed, Conflict, InDoubt, Unavailable

if TYPE_CHECKING:
    from collections.abc import Collection

    from nutmegspoke.metadata_store import TableService

_MAX_SETTLE_RETRIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class UnresolvedClaim:
    """A claim in the table service without a known outcome.

    :param key: key of the claim row.
    :param row: the claim.
    """

    key: str
    row: rows.ClaimRow


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """The claim was settled.

    :param key: key of the claim row.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotSettled:
    """The claim was not changed.

    :param reason: why it was not settled.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SettleInDoubt:
    """The claim may have been settled.

    :param reason: error of the write.
    """

    reason: str


SettleResult = Settled | NotSettled | SettleInDoubt | Unavailable


async def list_open_claims(
    tables: TableService,
) -> tuple[UnresolvedClaim, ...] | Unavailable:
    """Return the claims without a known outcome."""
    found = await tables.scan(rows.CLAIM_PREFIX)
    if isinstance(found, Unavailable):
        return found
    claims = ((stored.key, rows.decode_claim(stored.body)) for stored in found)
    return tuple(
        UnresolvedClaim(key, row)
        for key, row in claims
        if row is not None and settlement.is_unsettled(row)
    )


async def list_holders(
    tables: TableService,
) -> tuple[str, ...] | Unavailable:
    """Return the names of all claim holders whose daemon has a row.

    A daemon that stops in an orderly way removes its row; the row of a daemon
    that crashed remains for some time.

    :param tables: the table service.
    """
    found = await tables.scan(ROW_PREFIX)
    if isinstance(found, Unavailable):
        return found
    daemons = (decode_daemon_row(row) for row in found)
    return tuple(
        holder_name(daemon.name, daemon.start)
        for daemon in daemons
        if daemon is not None
    )


async def settle(
    tables: TableService,
    key: str,
    operator: str,
    verdict: settlement.Verdict,
    live_daemons: Collection[str] = (),
) -> SettleResult:
    """Settle a claim with a conditional write.

    A write in doubt is retried; the condition keeps it from applying twice.

    :param tables: the table service.
    :param key: key of the claim row.
    :param operator: name of the operator, stored in the row.
    :param verdict: whether the call ran.
    :param live_daemons: names of the claim holders whose claims are not
        settled before they have an outcome, as from :func:`list_holders`.
    """
    found = await tables.read(key)
    if isinstance(found, Unavailable):
        return found
    planned = settlement.settle(found, verdict, operator, live_daemons)
    if isinstance(planned, settlement.SettleRefusal):
        return NotSettled(planned.value.replace('_', ' '))
    committed = await tables.commit(planned)
    for _ in range(_MAX_SETTLE_RETRIES):
        match committed:
            case Committed():
                return Settled(key)
            case Conflict(failed):
                return _after_conflict(key, operator, failed[0].body)
            case Unavailable():
                return committed
        committed = await tables.commit(planned)
    reason = committed.reason if isinstance(committed, InDoubt) else ''
    return SettleInDoubt(reason)


def _after_conflict(
    key: str,
    operator: str,
    body: bytes,
) -> Settled | NotSettled:
    row = rows.decode_claim(body)
    if row is not None and row.settled_by == operator:
        return Settled(key)
    return NotSettled('the claim has changed; list the claims again')
