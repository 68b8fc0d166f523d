"""Encodes, signs and verifies messages between daemons."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import hmac
import types
from typing import Any

import msgspec

from nutmegspoke.membership import messages
from nutmegspoke.membership.replay import ReplayGuard

MAX_MESSAGE_BYTES = 4_194_304
_SIGNATURE_BYTES = 16
_MAX_KEY_BYTES = 64
_encode = msgspec.msgpack.encode

_TYPES: types.MappingProxyType[int, Any] = types.MappingProxyType(
    {
        int(messages.MessageKind.HELLO): messages.Hello,
        int(messages.MessageKind.DIGEST): messages.Digest,
        int(messages.MessageKind.TABLES_REQUEST): messages.TablesRequest,
        int(messages.MessageKind.TABLES_REPLY): messages.TablesReply,
        int(messages.MessageKind.NOTHING): messages.Nothing,
    }
)
_KINDS = types.MappingProxyType(
    {message_type: kind for kind, message_type in _TYPES.items()},
)


class WireFault(enum.StrEnum):
    """Why a message was dropped."""

    TOO_LARGE = 'too_large'
    BAD_SIGNATURE = 'bad_seal'
    MALFORMED = 'malformed'
    VERSION = 'version'
    UNKNOWN_KIND = 'unknown_kind'
    OTHER_START = 'other_start'
    REPLAYED = 'replayed'


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Header and body of a message between daemons.

    :param version: version of the protocol that the sender speaks.
    :param kind: one of :class:`messages.MessageKind`.
    :param sender: name of the daemon that sent it.
    :param sender_start: start number of that daemon.
    :param receiver_start: start number of the receiver; 0 if unknown.
    :param number: number of the message; an answer has the number of its
        request.
    :param body: the encoded message.
    """

    version: int
    kind: int
    sender: str
    sender_start: int
    receiver_start: int
    number: int
    body: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class VerifiedMessage:
    """A message that passed all checks.

    :param envelope: envelope of the message.
    :param message: decoded body.
    """

    envelope: Envelope
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Misaddressed:
    """A request addressed to another start of this daemon.

    :param envelope: envelope of the request.
    """

    envelope: Envelope


class PeerWire:
    """Signs the messages of one daemon and verifies those of its peers.

    The signature is a keyed BLAKE2b hash of the encoded envelope. To reject
    replayed messages, also those recorded before a restart, a request is
    accepted once and only by the start of the daemon that it is addressed to.
    A ``Hello`` is the exception: its sender can't know the receiver's start
    number yet.
    """

    def __init__(self, key: bytes, name: str, start: int) -> None:
        """Derive the signing key.

        :param key: secret that all daemons share.
        :param name: name of this daemon.
        :param start: start number of this daemon.
        """
        self.faults: dict[WireFault, int] = dict.fromkeys(WireFault, 0)
        self._key = hashlib.blake2b(key, digest_size=_MAX_KEY_BYTES).digest()
        self._name = name
        self._start = start
        self._number = 0
        self._guard = ReplayGuard()

    def next_number(self) -> int:
        """Return the next request number; each is used once per start."""
        self._number += 1
        return self._number

    def sign(
        self,
        message: messages.Message,
        receiver_start: int,
        number: int,
    ) -> bytes:
        """Encode and sign a message.

        :param message: the message.
        :param receiver_start: start number of the receiver; 0 if unknown.
        :param number: number of the request.
        :returns: the signature, followed by the encoded envelope.
        """
        envelope = Envelope(
            messages.PROTOCOL_VERSION,
            _KINDS[type(message)],
            self._name,
            self._start,
            receiver_start,
            number,
            msgspec.Raw(_encode(message)),
        )
        encoded = _encode(envelope)
        return self._mac(encoded) + encoded

    def verify_request(
        self,
        received: bytes,
    ) -> VerifiedMessage | Misaddressed | WireFault:
        """Verify and decode a request of a peer; count a fault."""
        result = self._verify(received)
        if isinstance(result, VerifiedMessage):
            return self._check_request(result)
        return self._count_fault(result)

    def verify_answer(
        self, received: bytes, number: int
    ) -> VerifiedMessage | WireFault:
        """Verify and decode the answer to a request.

        :param received: bytes of the answer.
        :param number: number of the request.
        """
        result = self._verify(received)
        if isinstance(result, WireFault):
            return self._count_fault(result)
        if result.envelope.receiver_start != self._start:
            return self._count_fault(WireFault.OTHER_START)
        if result.envelope.number != number:
            return self._count_fault(WireFault.REPLAYED)
        return result

    def _check_request(
        self,
        verified: VerifiedMessage,
    ) -> VerifiedMessage | Misaddressed | WireFault:
        envelope = verified.envelope
        is_hello = isinstance(verified.message, messages.Hello)
        if not is_hello and envelope.receiver_start != self._start:
            self._count_fault(WireFault.OTHER_START)
            return Misaddressed(envelope)
        sender = (envelope.sender, envelope.sender_start)
        if not self._guard.accept(sender, envelope.number):
            return self._count_fault(WireFault.REPLAYED)
        return verified

    def _verify(self, received: bytes) -> VerifiedMessage | WireFault:
        if len(received) > MAX_MESSAGE_BYTES:
            return WireFault.TOO_LARGE
        signature, encoded = (
            received[:_SIGNATURE_BYTES],
            received[_SIGNATURE_BYTES:],
        )
        if not hmac.compare_digest(signature, self._mac(encoded)):
            return WireFault.BAD_SIGNATURE
        try:
            envelope = msgspec.msgpack.decode(encoded, type=Envelope)
        except msgspec.MsgspecError:
            return WireFault.MALFORMED
        return _decode_body(envelope)

    def _count_fault(self, fault: WireFault) -> WireFault:
        self.faults[fault] += 1
        return fault

    def _mac(self, encoded: bytes) -> bytes:
        return hashlib.blake2b(
            encoded,
            digest_size=_SIGNATURE_BYTES,
            key=self._key,
        ).digest()


def _decode_body(envelope: Envelope) -> VerifiedMessage | WireFault:
    if abs(envelope.version - messages.PROTOCOL_VERSION) > 1:
        return WireFault.VERSION
    message_type = _TYPES.get(envelope.kind)
    if message_type is None:
        return WireFault.UNKNOWN_KIND
    try:
        message = msgspec.msgpack.decode(envelope.body, type=message_type)
    except msgspec.MsgspecError:
        return WireFault.MALFORMED
    return VerifiedMessage(envelope, message)
