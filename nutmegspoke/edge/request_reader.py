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
_TUNNEL = b'CONNECT'
_UPGRADE = b'upgrade'
_CONTINUE = b'100-continue'


class RequestReader:
    """Parser of the requests on one connection.

    :param limits: limits on the size of headers and bodies.
    :param on_request: called with each complete request.
    :ivar is_reading: whether a request has begun but is not complete.
    :ivar awaits_continue: whether the caller waits for an interim answer with
        status 100 before it sends the body.
    :ivar keep_alive: whether the connection stays open after the last request.
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
        self._url = b''
        self._headers: Headers = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    def feed(self, received: bytes) -> HTTPStatus | None:
        """Parse received bytes.

        :returns: error status for an invalid or too large request, otherwise
            ``None``.
        """
        rest = received
        while rest:
            rest = self._parse(rest)
        return self._fault

    def on_message_begin(self) -> None:
        """Reset the parts of the request."""
        self.is_reading = True
        self._url = b''
        self._headers = []
        self._header_bytes = 0
        self._body = []
        self._body_bytes = 0

    def on_url(self, part: bytes) -> None:
        """Append a part of the URL."""
        self._url += part
        self._count_header(len(part))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header."""
        self._headers.append((name, text))
        self._count_header(len(name) + len(text) + _HEADER_EXTRA_BYTES)

    def on_headers_complete(self) -> None:
        """Check whether the caller waits before it sends the body."""
        self.awaits_continue = any(
            name.lower() == b'expect' and text.lower() == _CONTINUE
            for name, text in self._headers
        )

    def on_body(self, part: bytes) -> None:
        """Append a part of the body; drop it if the body is too large."""
        self.awaits_continue = False
        self._body_bytes += len(part)
        if self._body_bytes > self.limits.max_body_bytes:
            self._fault = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        else:
            self._body.append(part)

    def on_message_complete(self) -> None:
        """Call ``on_request`` unless the request exceeded a limit."""
        if self._parser.should_upgrade():
            return
        self.is_reading = False
        self.awaits_continue = False
        if self._fault is not None:
            return
        self.keep_alive = self._parser.should_keep_alive()
        self._on_request(
            CallerRequest(
                method=self._parser.get_method(),
                url=self._url,
                headers=self._headers,
                body=b''.join(self._body),
            ),
        )

    def _parse(self, received: bytes) -> bytes:
        """Parse bytes and return those that must be parsed again."""
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as upgrade:
            return self._decline_upgrade(received[upgrade.args[0] :])
        except httptools.HttpParserError:
            self._fault = self._fault or HTTPStatus.BAD_REQUEST
        return b''

    def _decline_upgrade(self, rest: bytes) -> bytes:
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
            self._fault = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
