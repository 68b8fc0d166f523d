"""Signed event ids that let a caller resume an answer at any daemon."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac

import msgspec

from nutmegspoke.layers import Chain, LayerRange, Stage

ATTEMPTS_PER_RESUME = 64
_MAC_BYTES = 12
_PERSON = b'nsk-resume'


class _StageRecord(msgspec.Struct, array_like=True, frozen=True):
    target: str
    address: str
    start: int
    stop: int


class ResumePoint(msgspec.Struct, array_like=True, frozen=True):
    """State of an answer after a delivered token.

    :param stream_id: id of the stream at the engines.
    :param fingerprint: digest of the request.
    :param attempt: attempt that ran the last token.
    :param position: first position that the stages have not run.
    :param count: number of tokens that the caller has received.
    :param last_token: the last of these tokens.
    :param digest: digest of all these tokens.
    :param seed: seed of the sampling.
    :param stages: the chain that ran the last token.
    """

    stream_id: str
    fingerprint: str
    attempt: int
    position: int
    count: int
    last_token: int
    digest: str
    seed: int
    stages: tuple[_StageRecord, ...]

    @property
    def chain(self) -> Chain:
        """Return the chain that ran the last token."""
        return tuple(
            Stage(
                record.target,
                record.address,
                LayerRange(record.start, record.stop),
            )
            for record in self.stages
        )

    @property
    def next_attempt(self) -> int:
        """Return the first attempt of a resumed run.

        Attempts are divided into blocks of ``ATTEMPTS_PER_RESUME``. A run
        stays in its block, so this attempt is higher than any that the
        previous daemon can use.
        """
        return (self.attempt // ATTEMPTS_PER_RESUME + 1) * ATTEMPTS_PER_RESUME


def stage_records(chain: Chain) -> tuple[_StageRecord, ...]:
    """Return a chain in the form that is stored in an event id."""
    return tuple(
        _StageRecord(
            stage.target,
            stage.address,
            stage.layers.start,
            stage.layers.stop,
        )
        for stage in chain
    )


def fingerprint(team: str, model: str, prompt: str, max_tokens: int) -> str:
    """Return the digest that identifies equal requests."""
    digest = hashlib.blake2b(digest_size=8, person=_PERSON)
    for part in (team, model, prompt, str(max_tokens)):
        encoded = part.encode()
        digest.update(b'%d:' % len(encoded))
        digest.update(encoded)
    return digest.hexdigest()


class ResumeSigner:
    """Encodes resume points as signed event ids and decodes them.

    :param secret: secret that all daemons share.
    """

    def __init__(self, secret: str) -> None:
        """Derive the signing key from the secret."""
        derived = hashlib.blake2b(secret.encode(), person=_PERSON)
        self._key = derived.digest()

    def sign(self, point: ResumePoint) -> str:
        """Return the signed event id of a resume point."""
        body = msgspec.msgpack.encode(point)
        return base64.urlsafe_b64encode(self._mac(body) + body).decode()

    def read(self, event_id: str) -> ResumePoint | None:
        """Return the resume point of an event id; ``None`` if it is invalid."""
        try:
            signed = base64.b64decode(event_id, altchars=b'-_', validate=True)
        except (binascii.Error, ValueError):
            return None
        body = signed[_MAC_BYTES:]
        if not hmac.compare_digest(signed[:_MAC_BYTES], self._mac(body)):
            return None
        try:
            return msgspec.msgpack.decode(body, type=ResumePoint)
        except msgspec.MsgspecError:
            return None

    def _mac(self, body: bytes) -> bytes:
        mac = hashlib.blake2b(body, key=self._key, digest_size=_MAC_BYTES)
        return mac.digest()
