"""Claim rows in the table service and their encoding."""

from __future__ import annotations

import enum
import hashlib
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke import outcomes

if TYPE_CHECKING:
    from collections.abc import Iterable

CLAIM_PREFIX = 'claim/'
_DIGEST_BYTES = 16
_LENGTH_BYTES = 4

_encode = msgspec.msgpack.encode
_decoder = msgspec.msgpack.Decoder


class ClaimState(enum.StrEnum):
    """State of a claim, as stored in its row.

    ``INSERTED``: claimed, without an outcome. ``DONE``: has an outcome.
    ``RELEASED``: the call did not run; the key can be claimed again.
    ``SETTLED``: an operator found that the call ran.
    """

    INSERTED = 'inserted'
    DONE = 'done'
    RELEASED = 'released'
    SETTLED = 'settled'


class OutcomeKind(enum.StrEnum):
    """Kind of a stored outcome.

    ``ANSWER_GONE``: the call ran, but its answer is not stored.
    """

    COMPLETED = 'completed'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    ANSWER_GONE = 'answer_gone'


class StoredOutcome(msgspec.Struct, frozen=True):
    """Outcome of a call, stored for later calls with the same key.

    :param kind: kind of the outcome.
    :param status: HTTP status of the target's answer; 0 if unknown.
    :param body: body of the answer.
    :param content_type: media type of the body.
    :param reason: reason of an unknown outcome; empty for other kinds.
    """

    kind: OutcomeKind
    status: int = 0
    body: bytes = b''
    content_type: str = ''
    reason: str = ''


class ClaimRow(msgspec.Struct, frozen=True):
    """Body of a claim row.

    :param nonce: unique text of the attempt that wrote the row.
    :param daemon: name of the daemon that holds the claim.
    :param fingerprint: digest of the call.
    :param state: state of the claim.
    :param request_id: id of the request that holds the claim.
    :param outcome: the stored outcome; ``None`` if the call has not ended.
    :param wall_s: wall-clock time of the request in seconds since the epoch,
        for display only.
    :param settled_by: name of the operator who settled the claim; empty if
        none did.
    """

    nonce: str
    daemon: str
    fingerprint: str
    state: ClaimState
    request_id: str = ''
    outcome: StoredOutcome | None = None
    wall_s: float = 0.0
    settled_by: str = ''


def claim_key(team: str, route: str, idempotency_key: str) -> str:
    """Return the key of a claim row.

    :param team: team of the caller.
    :param route: name of the matched route.
    :param idempotency_key: key that the caller sent.
    """
    digest = _digest((team.encode(), route.encode(), idempotency_key.encode()))
    return f'{CLAIM_PREFIX}{team}/{route}/{digest}'


def call_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return the digest that detects different calls with the same key."""
    return _digest((method.encode(), path.encode(), body))


def encode_claim(row: ClaimRow) -> bytes:
    """Return a claim row as MessagePack bytes."""
    return _encode(row)


def decode_claim(body: bytes) -> ClaimRow | None:
    """Return the claim row of a body; ``None`` if it can't be decoded."""
    try:
        return _decoder(ClaimRow).decode(body)
    except msgspec.MsgspecError:
        return None


def to_stored(
    outcome: outcomes.Completed | outcomes.Failed | outcomes.Unknown,
    max_body_bytes: int,
) -> StoredOutcome:
    """Return an outcome in the form in which a claim stores it.

    :param outcome: outcome of a call that was sent to a target.
    :param max_body_bytes: size in bytes above which an answer is not stored.
    """
    if isinstance(outcome, outcomes.Unknown):
        return StoredOutcome(OutcomeKind.UNKNOWN, reason=outcome.reason.value)
    if len(outcome.body) > max_body_bytes:
        return StoredOutcome(OutcomeKind.ANSWER_GONE, status=outcome.status)
    completed = isinstance(outcome, outcomes.Completed)
    return StoredOutcome(
        kind=OutcomeKind.COMPLETED if completed else OutcomeKind.FAILED,
        status=outcome.status,
        body=outcome.body,
        content_type=outcome.content_type,
    )


def from_stored(stored: StoredOutcome) -> outcomes.Outcome:
    """Return the outcome for a later call with the same key."""
    match stored.kind:
        case OutcomeKind.COMPLETED:
            return outcomes.Completed(
                status=stored.status,
                body=stored.body,
                content_type=stored.content_type,
                replayed=True,
            )
        case OutcomeKind.FAILED:
            return outcomes.Failed(
                status=stored.status,
                body=stored.body,
                content_type=stored.content_type,
                replayed=True,
            )
        case OutcomeKind.ANSWER_GONE:
            return outcomes.Unknown(
                outcomes.UnknownReason.ANSWER_LOST,
                detail='the call ran, but its answer is not kept',
            )
        case OutcomeKind.UNKNOWN:
            return outcomes.Unknown(_unknown_reason(stored.reason))


def _unknown_reason(text: str) -> outcomes.UnknownReason:
    try:
        return outcomes.UnknownReason(text)
    except ValueError:
        return outcomes.UnknownReason.ANSWER_LOST


def _digest(parts: Iterable[bytes]) -> str:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.hexdigest()
