"""Claim rows of the table service and their encoding."""

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
    """How far the call of a claim has come."""

    INSERTED = 'inserted'
    DONE = 'done'
    RELEASED = 'released'
    SETTLED = 'settled'


class OutcomeKind(enum.StrEnum):
    """Which outcome a claim keeps."""

    COMPLETED = 'completed'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    ANSWER_GONE = 'answer_gone'


class StoredOutcome(msgspec.Struct, frozen=True):
    """The outcome of a call, kept for repeats of its key.

    :param kind: which outcome it is.
    :param status: HTTP status of the target's answer; 0 if unknown.
    :param body: body of the answer in bytes.
    :param content_type: media type of the body.
    :param reason: why the outcome is not known; empty if it is.
    """

    kind: OutcomeKind
    status: int = 0
    body: bytes = b''
    content_type: str = ''
    reason: str = ''


class ClaimRow(msgspec.Struct, frozen=True):
    """Body of a claim row.

    :param nonce: names the one attempt that wrote the row.
    :param daemon: name of the daemon that holds the claim.
    :param fingerprint: digest of the call.
    :param state: how far the call has come.
    :param request_id: id of the request that holds the claim.
    :param outcome: the kept outcome; ``None`` while there is none.
    :param wall_s: when the row was written, for people to read.
    :param settled_by: the operator who settled the claim; empty if none did.
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
    :param idempotency_key: key that the caller gave.
    """
    digest = _digest((team.encode(), route.encode(), idempotency_key.encode()))
    return f'{CLAIM_PREFIX}{team}/{route}/{digest}'


def call_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return the digest that tells one call from another under one key."""
    return _digest((method.encode(), path.encode(), body))


def encode_claim(row: ClaimRow) -> bytes:
    """Return the body of a claim row."""
    return _encode(row)


def decode_claim(body: bytes) -> ClaimRow | None:
    """Return the claim of a body; ``None`` if it can't be read."""
    try:
        return _decoder(ClaimRow).decode(body)
    except msgspec.MsgspecError:
        return None


def to_stored(
    outcome: outcomes.Completed | outcomes.Failed | outcomes.Unknown,
    max_body_bytes: int,
) -> StoredOutcome:
    """Return what a claim keeps of an outcome.

    :param outcome: the outcome of a call that left the daemon.
    :param max_body_bytes: a larger answer is not kept.
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
    """Return the outcome for a repeat of a key."""
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
