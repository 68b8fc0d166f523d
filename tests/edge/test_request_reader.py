"""Tests of the reader of callers' requests with any bytes, cut anywhere."""

from __future__ import annotations

import unittest
from http import HTTPStatus
from typing import TYPE_CHECKING

import hypothesis
from hypothesis import strategies

from nutmegspoke.edge.request_reader import RequestReader
from nutmegspoke.entry_host import CallerLimits

if TYPE_CHECKING:
    from nutmegspoke.forwarded import CallerRequest

_LIMITS = CallerLimits(max_header_bytes=512, max_body_bytes=1_024)
_SLICE_BYTES = 65_536
# Lines and memory of headers beside their bytes, of at most a head.
_HEAD_MEMORY_BYTES = 1_024 + 200 * _LIMITS.max_header_bytes
_MOST_BYTES = _HEAD_MEMORY_BYTES + _LIMITS.max_body_bytes + _SLICE_BYTES
_LONG = 200_000
_PIECES = 1_000
_CHUNKED = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
_CASES = (
    ('header line', b'GET / HTTP/1.1\r\nA: ', b'x', 431),
    ('header name', b'GET / HTTP/1.1\r\n', b'x', 431),
    ('headers', b'GET / HTTP/1.1\r\n', b'A: b\r\n', 431),
    ('empty headers', b'GET / HTTP/1.1\r\n', b'A:\r\n', 431),
    ('request line', b'GET /', b'x', 431),
    ('method', b'', b'GET', 400),
    ('empty lines', b'', b'\r\n', 400),
    ('spaces', b'GET / HTTP/1.1\r\nA:', b' ', 431),
    ('chunk size', _CHUNKED, b'0', 400),
    ('chunk extension', _CHUNKED + b'1;a=', b'x', 400),
    ('trailer line', _CHUNKED + b'0\r\nA: ', b'x', 400),
    ('trailers', _CHUNKED + b'0\r\n', b'A: b\r\n', 431),
    ('chunks', _CHUNKED, b'1\r\na\r\n', 413),
    (
        'announced body',
        b'POST / HTTP/1.1\r\nContent-Length: 1025\r\n\r\n',
        b'',
        413,
    ),
)
_pieces = strategies.sampled_from(
    (
        b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n',
        b'POST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc',
        _CHUNKED,
        b'3\r\nabc\r\n',
        b'0\r\n\r\n',
        b'1;x=y\r\nz\r\n',
        b'GET / HTTP/1.1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
        b'CONNECT a:1 HTTP/1.1\r\n\r\n',
        b'Content-Length: 5\r\nContent-Length: 6\r\n',
        b'\r\n',
        b'A: b\r\n',
        b'x' * 600,
        b'\r\n' * 40,
    )
)
_streams = strategies.lists(
    strategies.one_of(_pieces, strategies.binary(max_size=40)), max_size=12
).map(b''.join)
_cuts = strategies.lists(strategies.integers(1, 60), max_size=30)
_bodies = strategies.binary(max_size=200)


class LimitsTest(unittest.TestCase):
    """No part of a request is collected without end."""

    def test_parts_without_end(self) -> None:
        """Guards against parts that the parser collects uncounted."""
        for name, start, repeated, status in _CASES:
            with self.subTest(name):
                reader = RequestReader(_LIMITS, self.fail)
                fault = reader.feed(start)
                for _ in range(_PIECES):
                    if fault is not None:
                        break
                    fault = reader.feed(repeated * 100)
                    self.assertLess(reader.held_bytes, _MOST_BYTES)
                self.assertEqual(fault, HTTPStatus(status))
                reader.release()
                self.assertEqual(reader.held_bytes, 0)

    def test_one_long_line_at_once(self) -> None:
        """Guards against a line that the parser copies again and again."""
        reader = RequestReader(_LIMITS, self.fail)
        fault = reader.feed(b'GET / HTTP/1.1\r\nA: ' + b'x' * _LONG)
        self.assertEqual(fault, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def test_requests_at_the_limits(self) -> None:
        """Guards against limits that callers within the pages' limits meet."""
        limits = CallerLimits()
        body = bytes(limits.max_body_bytes)
        small_chunks = b''.join(
            b'2\r\n%s\r\n' % body[:2] for _ in range(100_000)
        )
        for framing, sent, size in (
            (b'Content-Length: %d\r\n' % len(body), body, len(body)),
            (
                b'Transfer-Encoding: chunked\r\n',
                small_chunks + b'0\r\n\r\n',
                200_000,
            ),
        ):
            received: list[CallerRequest] = []
            reader = RequestReader(limits, received.append)
            lines = b'POST / HTTP/1.1\r\n' + framing + b'A: '
            fill = limits.max_header_bytes - len(b'/' + framing + b'A: \r\n')
            head = lines + b'x' * fill + b'\r\n\r\n'
            self.assertIsNone(reader.feed(head + sent))
            self.assertEqual(len(received[0].body), size)
            self.assertEqual(reader.held_bytes, 0)

    def test_many_empty_lines_between_requests(self) -> None:
        """Guards against a count that goes on over several requests."""
        received: list[CallerRequest] = []
        reader = RequestReader(_LIMITS, received.append)
        for _ in range(100):
            sent = b'\r\n' * 20 + b'GET / HTTP/1.1\r\nA: %s\r\n\r\n' % (
                b'x' * 400
            )
            for start in range(0, len(sent), 50):
                self.assertIsNone(reader.feed(sent[start : start + 50]))
        self.assertEqual(len(received), 100)

    def test_trailers_are_no_headers(self) -> None:
        """Guards against headers that a caller adds behind the body."""
        received: list[CallerRequest] = []
        reader = RequestReader(_LIMITS, received.append)
        sent = _CHUNKED + b'1\r\na\r\n0\r\nKey: other\r\n\r\n'
        self.assertIsNone(reader.feed(sent))
        names = [name for name, _ in received[0].headers]
        self.assertEqual(names, [b'Transfer-Encoding'])


class AnyBytesTest(unittest.TestCase):
    """Any bytes, cut anywhere, give the same requests in bounded memory."""

    @hypothesis.given(stream=_streams, cuts=_cuts)
    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    def test_any_bytes_cut_anywhere(
        self, stream: bytes, cuts: list[int]
    ) -> None:
        """Guards against requests that depend on how bytes arrive.

        The limits on lines allow more in one piece, so a stream that is cut
        may end earlier.
        """
        whole, whole_fault = _read(self, [stream])
        read, fault = _read(self, _cut(stream, cuts))
        self.assertEqual(read, whole[: len(read)])
        if fault is None:
            self.assertEqual(read, whole)
            self.assertIsNone(whole_fault)

    @hypothesis.given(
        bodies=strategies.lists(_bodies, min_size=1, max_size=6),
        cuts=_cuts,
        is_chunked=strategies.booleans(),
    )
    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    def test_proper_requests_cut_anywhere(
        self, bodies: list[bytes], cuts: list[int], is_chunked: bool
    ) -> None:
        """Guards against bodies that are taken for requests, or mixed up."""
        stream = b''.join(
            _request(number, body, is_chunked=is_chunked)
            for number, body in enumerate(bodies)
        )
        read, fault = _read(self, _cut(stream, cuts))
        self.assertIsNone(fault)
        self.assertEqual(
            [(request.url, request.body) for request in read],
            [(b'/%d' % number, body) for number, body in enumerate(bodies)],
        )


def _request(number: int, body: bytes, *, is_chunked: bool) -> bytes:
    head = b'POST /%d HTTP/1.1\r\nHost: h\r\n' % number
    if not is_chunked:
        return b'%sContent-Length: %d\r\n\r\n%s' % (head, len(body), body)
    chunks = [
        b'%x\r\n%s\r\n' % (1, body[at : at + 1]) for at in range(len(body))
    ]
    framed = b''.join((*chunks, b'0\r\n\r\n'))
    return b'%sTransfer-Encoding: chunked\r\n\r\n%s' % (head, framed)


def _cut(stream: bytes, lengths: list[int]) -> list[bytes]:
    """Return the stream in pieces of the given lengths, and the rest."""
    pieces = []
    start = 0
    for length in lengths:
        pieces.append(stream[start : start + length])
        start += length
    return [piece for piece in (*pieces, stream[start:]) if piece]


def _read(
    case: unittest.TestCase, pieces: list[bytes]
) -> tuple[list[CallerRequest], HTTPStatus | None]:
    """Return the requests in a stream up to the first fault, and the fault."""
    requests: list[CallerRequest] = []
    reader = RequestReader(_LIMITS, requests.append)
    for piece in pieces:
        fault = reader.feed(piece)
        case.assertLess(reader.held_bytes, _MOST_BYTES)
        if fault is not None:
            return requests, fault
    return requests, None
