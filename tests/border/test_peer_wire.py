"""Tests of messages between daemons as bytes."""

from __future__ import annotations

import unittest

import msgspec

from nutmegspoke.border import peer_wire
from nutmegspoke.border.peer_wire import Opened, PeerWire, WireFault
from nutmegspoke.membership import messages
from tests import builders_peers as build

_KEY = b'a key that both daemons share'
_DIGEST = messages.Digest((build.entry(1),))


class NewerEntry(messages.DaemonEntry, frozen=True, array_like=True):
    """An entry of the next release."""

    load: float = 0.5


class NewerDigest(messages.Digest, frozen=True, array_like=True):
    """A message of the next release."""

    regions: tuple[str, ...] = ('pnw',)


class PeerWireTest(unittest.TestCase):
    """Sealing and opening."""

    def setUp(self) -> None:
        """Create two daemons."""
        self.sender = PeerWire(_KEY, 'daemon-1', 11)
        self.receiver = PeerWire(_KEY, 'daemon-2', 22)

    def _request(self, message: messages.Message, start: int = 22) -> bytes:
        return self.sender.seal(message, start, self.sender.next_number())

    def _expect(self, received: bytes, fault: WireFault) -> None:
        before = self.receiver.faults[fault]
        self.assertEqual(self.receiver.open_request(received), fault)
        self.assertEqual(self.receiver.faults[fault], before + 1)

    def test_a_message_goes_through(self) -> None:
        """Its sender is known."""
        opened = self.receiver.open_request(self._request(_DIGEST))
        self.assertIsInstance(opened, Opened)
        self.assertEqual(opened.message, _DIGEST)
        self.assertEqual(opened.envelope.sender, 'daemon-1')
        self.assertEqual(opened.envelope.sender_start, 11)

    def test_bytes_that_were_changed_are_dropped(self) -> None:
        """Each single byte counts, and so does the key."""
        sealed = self._request(_DIGEST)
        for position in range(len(sealed)):
            forged = bytearray(sealed)
            forged[position] ^= 1
            self._expect(bytes(forged), WireFault.BAD_SEAL)
        other = PeerWire(b'another key', 'daemon-1', 11)
        self._expect(other.seal(_DIGEST, 22, 1), WireFault.BAD_SEAL)
        self._expect(b'', WireFault.BAD_SEAL)

    def test_a_message_counts_once(self) -> None:
        """A little disorder is allowed, a repetition is not."""
        sealed = [self._request(_DIGEST) for _ in range(80)]
        for position in (1, 0, 70, 8, 7):
            opened = self.receiver.open_request(sealed[position])
            self.assertIsInstance(opened, Opened)
        for position in (0, 1, 5, 6, 7, 8, 70):
            self._expect(sealed[position], WireFault.REPLAYED)

    def test_a_message_counts_for_one_start_only(self) -> None:
        """Only a greeting may reach a start that its sender can't know."""
        sealed = self._request(_DIGEST, start=21)
        refused = self.receiver.open_request(sealed)
        self.assertIsInstance(refused, peer_wire.Misaddressed)
        self.assertEqual(self.receiver.faults[WireFault.OTHER_START], 1)
        hello = self._request(messages.Hello(build.entry(1)), start=0)
        self.assertIsInstance(self.receiver.open_request(hello), Opened)

    def test_an_answer_belongs_to_its_request(self) -> None:
        """Neither another number nor another start passes."""
        answer = self.receiver.seal(_DIGEST, 11, 5)
        self.assertIsInstance(self.sender.open_answer(answer, 5), Opened)
        fault = self.sender.open_answer(answer, 6)
        self.assertEqual(fault, WireFault.REPLAYED)
        other = self.receiver.seal(_DIGEST, 12, 5)
        fault = self.sender.open_answer(other, 5)
        self.assertEqual(fault, WireFault.OTHER_START)

    def test_what_is_not_understood_is_counted_and_dropped(self) -> None:
        """Kinds, versions, content and sizes."""
        self._expect(self._envelope(kind=99), WireFault.UNKNOWN_KIND)
        self._expect(self._envelope(version=3), WireFault.VERSION)
        wrong = self._envelope(kind=messages.MessageKind.HELLO)
        self._expect(wrong, WireFault.MALFORMED)
        huge = bytes(peer_wire.MAX_MESSAGE_BYTES + 1)
        self._expect(huge, WireFault.TOO_LARGE)

    def test_releases_next_to_each_other_work_together(self) -> None:
        """Fields of the newer one are ignored or take their defaults."""
        entry = NewerEntry('daemon-1', 11, 3, '10.0.0.1:7000')
        newer = NewerDigest((entry,))
        received = self._envelope(version=2, body=newer)
        opened = self.receiver.open_request(received)
        expected = messages.DaemonEntry('daemon-1', 11, 3, '10.0.0.1:7000')
        self.assertEqual(opened.message, messages.Digest((expected,)))
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
        sealed = msgspec.msgpack.encode(envelope)
        return self.sender._mac(sealed) + sealed
