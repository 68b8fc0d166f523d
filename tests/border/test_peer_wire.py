"""Tests of signing and verifying messages between daemons."""

from __future__ import annotations

import unittest

import msgspec

from nutmegspoke.border import peer_wire
from nutmegspoke.border.peer_wire import PeerWire, VerifiedMessage, WireFault
from nutmegspoke.membership import messages
from tests import builders_peers as build

_KEY = b'a key that both daemons share'
_DIGEST = messages.Digest((build.entry(1),))


class NewerEntry(messages.DaemonEntry, frozen=True, array_like=True):
    """A daemon entry as the next release may define it."""

    load: float = 0.5


class NewerDigest(messages.Digest, frozen=True, array_like=True):
    """A digest as the next release may define it."""

    regions: tuple[str, ...] = ('pnw',)


class PeerWireTest(unittest.TestCase):
    """Signing and verifying."""

    def setUp(self) -> None:
        """Create the wires of two daemons."""
        self.sender = PeerWire(_KEY, 'daemon-1', 11)
        self.receiver = PeerWire(_KEY, 'daemon-2', 22)

    def _request(self, message: messages.Message, start: int = 22) -> bytes:
        return self.sender.sign(message, start, self.sender.next_number())

    def _expect(self, received: bytes, fault: WireFault) -> None:
        before = self.receiver.faults[fault]
        self.assertEqual(self.receiver.verify_request(received), fault)
        self.assertEqual(self.receiver.faults[fault], before + 1)

    def test_a_message_goes_through(self) -> None:
        """The receiver gets the message and its sender."""
        verified = self.receiver.verify_request(self._request(_DIGEST))
        self.assertIsInstance(verified, VerifiedMessage)
        self.assertEqual(verified.message, _DIGEST)
        self.assertEqual(verified.envelope.sender, 'daemon-1')
        self.assertEqual(verified.envelope.sender_start, 11)

    def test_bytes_that_were_changed_are_dropped(self) -> None:
        """A change of any byte or another key is detected."""
        signed = self._request(_DIGEST)
        for position in range(len(signed)):
            forged = bytearray(signed)
            forged[position] ^= 1
            self._expect(bytes(forged), WireFault.BAD_SIGNATURE)
        other = PeerWire(b'another key', 'daemon-1', 11)
        self._expect(other.sign(_DIGEST, 22, 1), WireFault.BAD_SIGNATURE)
        self._expect(b'', WireFault.BAD_SIGNATURE)

    def test_a_message_counts_once(self) -> None:
        """Messages may be reordered slightly, but not replayed."""
        signed = [self._request(_DIGEST) for _ in range(80)]
        for position in (1, 0, 70, 8, 7):
            verified = self.receiver.verify_request(signed[position])
            self.assertIsInstance(verified, VerifiedMessage)
        for position in (0, 1, 5, 6, 7, 8, 70):
            self._expect(signed[position], WireFault.REPLAYED)

    def test_a_message_counts_for_one_start_only(self) -> None:
        """Only a ``Hello`` may be sent without the receiver's start number."""
        signed = self._request(_DIGEST, start=21)
        refused = self.receiver.verify_request(signed)
        self.assertIsInstance(refused, peer_wire.Misaddressed)
        self.assertEqual(self.receiver.faults[WireFault.OTHER_START], 1)
        hello = self._request(messages.Hello(build.entry(1)), start=0)
        self.assertIsInstance(
            self.receiver.verify_request(hello), VerifiedMessage
        )

    def test_an_answer_belongs_to_its_request(self) -> None:
        """An answer with another number or start number is rejected."""
        answer = self.receiver.sign(_DIGEST, 11, 5)
        self.assertIsInstance(
            self.sender.verify_answer(answer, 5), VerifiedMessage
        )
        fault = self.sender.verify_answer(answer, 6)
        self.assertEqual(fault, WireFault.REPLAYED)
        other = self.receiver.sign(_DIGEST, 12, 5)
        fault = self.sender.verify_answer(other, 5)
        self.assertEqual(fault, WireFault.OTHER_START)

    def test_what_is_not_understood_is_counted_and_dropped(self) -> None:
        """Covers unknown kinds and versions, malformed and large messages."""
        self._expect(self._envelope(kind=99), WireFault.UNKNOWN_KIND)
        self._expect(self._envelope(version=3), WireFault.VERSION)
        wrong = self._envelope(kind=messages.MessageKind.HELLO)
        self._expect(wrong, WireFault.MALFORMED)
        huge = bytes(peer_wire.MAX_MESSAGE_BYTES + 1)
        self._expect(huge, WireFault.TOO_LARGE)

    def test_adjacent_releases_are_compatible(self) -> None:
        """Fields of a newer release are ignored or get their defaults."""
        entry = NewerEntry('daemon-1', 11, 3, '10.0.0.1:7000')
        newer = NewerDigest((entry,))
        received = self._envelope(version=2, body=newer)
        verified = self.receiver.verify_request(received)
        expected = messages.DaemonEntry('daemon-1', 11, 3, '10.0.0.1:7000')
        self.assertEqual(verified.message, messages.Digest((expected,)))
        encoded = msgspec.msgpack.encode(_DIGEST)
        read = msgspec.msgpack.decode(encoded, type=NewerDigest)
        self.assertEqual(read.regions, ('pnw',))

    def _envelope(
        self,
        version: int = messages.PROTOCOL_VERSION,
        kind: int = messages.MessageKind.DIGEST,
        body: object = _DIGEST,
    ) -> bytes:
        envelope = peer_wire.Envelope(
            version,
            kind,
            'daemon-1',
            11,
            22,
            self.sender.next_number(),
            msgspec.Raw(msgspec.msgpack.encode(body)),
        )
        signed = msgspec.msgpack.encode(envelope)
        return self.sender._mac(signed) + signed
