"""Messages between daemons as bytes: encoded, sealed and checked."""

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
_SEAL_BYTES = 16
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
    BAD_SEAL = 'bad_seal'
    MALFORMED = 'malformed'
    VERSION = 'version'
    UNKNOWN_KIND = 'unknown_kind'
    OTHER_START = 'other_start'
    REPLAYED = 'replayed'


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What surrounds every message.

    :param version: version of the protocol that the sender speaks.
    :param kind: one of :class:`messages.MessageKind`.
    :param sender: name of the daemon that sent it.
    :param sender_start: start of that daemon.
    :param receiver_start: start that it is meant for; 0 if not known.
    :param number: number of the message; an answer bears the request's.
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
class Opened:
    """A message that passed all checks.

    :param envelope: what surrounded it.
    :param message: the message.
    """

    envelope: Envelope
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Misaddressed:
    """A request that was meant for an earlier start of this daemon.

    :param envelope: what surrounded it.
    """

    envelope: Envelope


class PeerWire:
    """Seals the messages of one daemon and opens those of its peers.

    A seal is a keyed BLAKE2b over the envelope. A request is accepted once,
    and only by the start of the daemon that it is meant for, so that neither
    repeated bytes nor those recorded before a restart count. A ``Hello`` is
    the exception: its sender can't know the receiver's start yet.
    """

    def __init__(self, key: bytes, name: str, start: int) -> None:
        """Create the wire of a daemon.

        :param key: secret that all daemons share.
        :param name: name of this daemon.
        :param start: start of this daemon.
        """
        self.faults: dict[WireFault, int] = dict.fromkeys(WireFault, 0)
        self._key = hashlib.blake2b(key, digest_size=_MAX_KEY_BYTES).digest()
        self._name = name
        self._start = start
        self._number = 0
        self._guard = ReplayGuard()

    def next_number(self) -> int:
        """Return a number that no earlier request of this start bore."""
        self._number += 1
        return self._number

    def seal(
        self,
        message: messages.Message,
        receiver_start: int,
        number: int,
    ) -> bytes:
        """Return a message as bytes."""
        envelope = Envelope(
            messages.PROTOCOL_VERSION,
            _KINDS[type(message)],
            self._name,
            self._start,
            receiver_start,
            number,
            msgspec.Raw(_encode(message)),
        )
        sealed = _encode(envelope)
        return self._mac(sealed) + sealed

    def open_request(
        self,
        received: bytes,
    ) -> Opened | Misaddressed | WireFault:
        """Check a request of a peer."""
        opened = self._open(received)
        if isinstance(opened, Opened):
            return self._checked_request(opened)
        return self._count(opened)

    def open_answer(self, received: bytes, number: int) -> Opened | WireFault:
        """Check the answer to a request.

        :param number: number that the request bore.
        """
        opened = self._open(received)
        if isinstance(opened, WireFault):
            return self._count(opened)
        if opened.envelope.receiver_start != self._start:
            return self._count(WireFault.OTHER_START)
        if opened.envelope.number != number:
            return self._count(WireFault.REPLAYED)
        return opened

    def _checked_request(
        self,
        opened: Opened,
    ) -> Opened | Misaddressed | WireFault:
        envelope = opened.envelope
        is_hello = isinstance(opened.message, messages.Hello)
        if not is_hello and envelope.receiver_start != self._start:
            self._count(WireFault.OTHER_START)
            return Misaddressed(envelope)
        sender = (envelope.sender, envelope.sender_start)
        if not self._guard.accept(sender, envelope.number):
            return self._count(WireFault.REPLAYED)
        return opened

    def _open(self, received: bytes) -> Opened | WireFault:
        if len(received) > MAX_MESSAGE_BYTES:
            return WireFault.TOO_LARGE
        seal, sealed = received[:_SEAL_BYTES], received[_SEAL_BYTES:]
        if not hmac.compare_digest(seal, self._mac(sealed)):
            return WireFault.BAD_SEAL
        try:
            envelope = msgspec.msgpack.decode(sealed, type=Envelope)
        except msgspec.MsgspecError:
            return WireFault.MALFORMED
        return _decoded(envelope)

    def _count(self, fault: WireFault) -> WireFault:
        self.faults[fault] += 1
        return fault

    def _mac(self, sealed: bytes) -> bytes:
        return hashlib.blake2b(
            sealed,
            digest_size=_SEAL_BYTES,
            key=self._key,
        ).digest()


def _decoded(envelope: Envelope) -> Opened | WireFault:
    if abs(envelope.version - messages.PROTOCOL_VERSION) > 1:
        return WireFault.VERSION
    message_type = _TYPES.get(envelope.kind)
    if message_type is None:
        return WireFault.UNKNOWN_KIND
    try:
        message = msgspec.msgpack.decode(envelope.body, type=message_type)
    except msgspec.MsgspecError:
        return WireFault.MALFORMED
    return Opened(envelope, message)
