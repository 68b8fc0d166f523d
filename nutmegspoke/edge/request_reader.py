"""Parses requests of callers within their limits."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools

from nutmegspoke.forwarded import CallerRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.entry_host import CallerLimits
    from nutmegspoke.forwarded import Headers

# Colon, space and line end of a header.
_HEADER_EXTRA_BYTES = 4
# Memory of a header beside its bytes.
_HEADER_MEMORY_BYTES = 160
# Method, version, empty lines and spaces beside the headers that are counted.
_LINES_EXTRA_BYTES = 1_024
# The parser collects a line before it passes it on, so it gets little at once.
_SLICE_BYTES = 65_536
# Parts of a body that are shorter are joined, for the memory of each part.
_JOINED_BYTES = 4_096
_LENGTH = b'content-length'
_EXPECT = b'expect'
_TUNNEL = b'CONNECT'
_UPGRADE = b'upgrade'
_CONTINUE = b'100-continue'


class _LimitError(Exception):
    """A request exceeds a limit; ends the parsing at once."""


class RequestReader:
    """Parser of the requests on one connection.

    It holds at most a head and a body within the limits, and a slice of what
    was received. Bytes that belong to neither are counted as they arrive: lines
    without end, empty lines before a request, chunk extensions and trailers.

    :param limits: limits on the size of headers and bodies.
    :param on_request: called with each complete request.
    :ivar is_reading: whether a request has begun but is not complete.
    :ivar awaits_continue: whether the caller waits for an interim answer with
        status 100 before it sends the body.
    :ivar keep_alive: whether the connection stays open after the last request.
    :ivar request_bytes: memory of the last complete request.
    """

    def __init__(
        self,
        limits: CallerLimits,
        on_request: Callable[[CallerRequest], None],
    ) -> None:
        """Start without a request."""
        self.limits = limits
        self.is_reading = False
        self.awaits_continue = False
        self.keep_alive = True
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._fault: HTTPStatus | None = None
        self.request_bytes = 0
        self._has_head = False
        # Whether the bytes of a slice were more than a part of a line.
        self._has_moved = False
        self._line_bytes = 0
        self._reset()

    @property
    def held_bytes(self) -> int:
        """Return the memory of the request that is not complete."""
        return (
            self._header_bytes
            + len(self._headers) * _HEADER_MEMORY_BYTES
            + self._body_bytes
            + self._line_bytes
        )

    def feed(self, received: bytes) -> HTTPStatus | None:
        """Parse received bytes.

        :returns: error status for an invalid or too large request, otherwise
            ``None``.
        """
        if len(received) <= _SLICE_BYTES:
            self._feed_slice(received)
            return self._fault
        view = memoryview(received)
        for start in range(0, len(view), _SLICE_BYTES):
            self._feed_slice(view[start : start + _SLICE_BYTES])
        return self._fault

    def release(self) -> None:
        """Drop what was received of a request that is not complete.

        Nothing can be parsed afterwards.
        """
        self._fault = self._fault or HTTPStatus.SERVICE_UNAVAILABLE
        self._reset()
        self._line_bytes = 0
        # The parser may hold a part of a line.
        self._parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        """Reset the parts of the request."""
        self.is_reading = True
        self._has_moved = True
        self._reset()

    def on_url(self, part: bytes) -> None:
        """Append a part of the URL."""
        self._count_header(len(part))
        self._url += part

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header; trailers behind the body are counted and dropped."""
        if self._has_head:
            self._count_trailer(len(name) + len(text) + _HEADER_EXTRA_BYTES)
            return
        self._count_header(len(name) + len(text) + _HEADER_EXTRA_BYTES)
        self._headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Check the length, and whether the caller waits before the body."""
        self._has_head = True
        self._has_moved = True
        for name, text in self._headers:
            lower_name = name.lower()
            if lower_name == _EXPECT:
                self.awaits_continue |= text.lower() == _CONTINUE
            elif lower_name == _LENGTH and self._is_too_long(text):
                self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_body(self, part: bytes) -> None:
        """Append a part of the body."""
        self.awaits_continue = False
        self._has_moved = True
        self._body_bytes += len(part)
        if self._body_bytes > self.limits.max_body_bytes:
            self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        parts = self._body
        if not parts or len(part) >= _JOINED_BYTES:
            parts.append(part)
            return
        last = parts[-1]
        if isinstance(last, bytearray) and len(last) < _SLICE_BYTES:
            last += part
        else:
            parts.append(bytearray(part))

    def on_message_complete(self) -> None:
        """Call ``on_request`` unless the request exceeded a limit."""
        if self._parser.should_upgrade():
            return
        self._has_moved = True
        self.is_reading = False
        self.awaits_continue = False
        self.keep_alive = self._parser.should_keep_alive()
        self.request_bytes = self.held_bytes
        request = CallerRequest(
            method=self._parser.get_method(),
            url=self._url,
            headers=self._headers,
            body=b''.join(self._body),
        )
        self._reset()
        self._on_request(request)

    def _reset(self) -> None:
        """Hold no parts of a request."""
        self._url = b''
        self._headers: Headers = []
        self._header_bytes = 0
        self._trailer_bytes = 0
        self._body: list[bytes | bytearray] = []
        self._body_bytes = 0
        self._has_head = False

    def _feed_slice(self, received: bytes | memoryview) -> None:
        """Parse a slice and count it if it is only a part of a line."""
        self._has_moved = False
        rest = received
        while rest and self._fault is None:
            rest = self._parse(rest)
        if self._has_moved:
            self._line_bytes = 0
            return
        self._line_bytes += len(received)
        limit = self.limits.max_header_bytes + _LINES_EXTRA_BYTES
        if self._line_bytes > limit and self._fault is None:
            is_head = self.is_reading and not self._has_head
            self._fault = (
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                if is_head
                else HTTPStatus.BAD_REQUEST
            )

    def _parse(self, received: bytes | memoryview) -> bytes | memoryview:
        """Parse bytes and return those that must be parsed again."""
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as upgrade:
            return self._decline_upgrade(received[upgrade.args[0] :])
        except httptools.HttpParserError:
            self._fault = self._fault or HTTPStatus.BAD_REQUEST
        return b''

    def _decline_upgrade(self, rest: bytes | memoryview) -> bytes:
        """Return a request without its offer of another protocol.

        The parser expects that protocol behind the head, so it needs a head
        without the offer to read the body.

        :param rest: bytes behind the head.
        """
        method = self._parser.get_method()
        if method == _TUNNEL:
            self._fault = self._fault or HTTPStatus.BAD_REQUEST
        if self._fault is not None:
            return b''
        version = self._parser.get_http_version().encode()
        lines = [b'%s %s HTTP/%s' % (method, self._url, version)]
        lines.extend(
            b'%s: %s' % header
            for header in self._headers
            if header[0].lower() != _UPGRADE
        )
        self._parser = httptools.HttpRequestParser(self)
        return b'\r\n'.join((*lines, b'', rest))

    def _count_header(self, added: int) -> None:
        self._header_bytes += added
        if self._header_bytes > self.limits.max_header_bytes:
            self._fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _count_trailer(self, added: int) -> None:
        self._trailer_bytes += added
        if self._trailer_bytes > self.limits.max_header_bytes:
            self._fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _is_too_long(self, length: bytes) -> bool:
        """Return whether an announced length exceeds the limit."""
        return length.isdigit() and int(length) > self.limits.max_body_bytes

    def _fail(self, status: HTTPStatus) -> None:
        """Record an error status and end the parsing.

        :raises _LimitError: in any case; the parser passes it on as its own.
        """
        self._fault = self._fault or status
        raise _LimitError(status)
