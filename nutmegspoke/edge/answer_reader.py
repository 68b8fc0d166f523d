"""Parses the bytes that a target sends into the events of one answer."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

import httptools

from nutmegspoke.untrusted import is_final_status

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.forwarded import Headers

logger = logging.getLogger(__name__)

_INTERIM = range(100, 200)
# Limit on received bytes in a row that are not part of a body: heads, interim
# answers, trailers and the framing of chunks.
_MAX_FRAMING_BYTES = 65_536
# Limit on the headers of a head, or of trailers. A short one takes many times its
# bytes in memory.
_MAX_HEADERS = 256
# Limit on the bodies that are skipped before the expected answer.
_MAX_SKIPPED_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer.

    :param length: length of the body in bytes; ``None`` if unknown, as for a
        chunked body.
    """

    status: int
    headers: Headers
    length: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPart:
    """A chunk of an answer's body."""

    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The answer is complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost:
    """The answer was interrupted before its end.

    :param reason: cause of the interruption.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStalled:
    """The rest of the answer is not expected to arrive.

    :param address: ``IP:PORT`` of the lost engine; empty if the timeout of the
        request has passed.
    """

    address: str


AnswerEvent = AnswerHead | AnswerPart | AnswerEnd | AnswerLost | AnswerStalled


class AnswerReader:
    """Parser of answers that skips those not expected.

    :param on_event: called with each event of the expected answer.
    :ivar is_in_sync: whether only expected answers have been received.
    :ivar is_expecting: whether an expected answer is not yet complete.
    """

    def __init__(self, on_event: Callable[[AnswerEvent], None]) -> None:
        """Start without an expected answer."""
        self.is_in_sync = True
        self.is_expecting = False
        self._on_event = on_event
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._head_fault = ''
        self._parts: list[bytes] = []
        self._framing_bytes = 0
        self._skipped_bytes = 0
        self._in_body = False
        self._is_skipped = False
        self._keep_alive = True
        self._ends_with_connection = False
        self._is_match: Callable[[Headers], bool] | None = None

    @property
    def ends_with_connection(self) -> bool:
        """Return whether closing the connection completes the answer.

        This applies to a body with neither a length nor chunks.
        """
        return self._in_body and self._ends_with_connection

    @property
    def keep_alive(self) -> bool:
        """Return whether the connection can carry another request."""
        return self.is_in_sync and self._keep_alive

    def expect(self, is_match: Callable[[Headers], bool]) -> None:
        """Expect an answer.

        :param is_match: returns whether an answer with the given headers is
            the expected one.
        """
        self._is_match = is_match
        self.is_expecting = True
        self._in_body = False
        self._framing_bytes = 0
        self._skipped_bytes = 0

    def feed(self, received: bytes) -> str:
        """Parse received bytes.

        :returns: description of the error if they are no answer, or have no
            end; otherwise empty.
        """
        self._framing_bytes += len(received)
        fault = ''
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            fault = f'answer not parsed: {error}'
        self._emit_part()
        if self._framing_bytes > _MAX_FRAMING_BYTES:
            fault = fault or 'answer without end'
        fault = fault or self._head_fault
        if fault:
            self.is_in_sync = False
        return fault

    def complete(self) -> None:
        """Emit the end of the expected answer, if there is one."""
        if not self.is_expecting:
            return
        self._emit_part()
        self.is_expecting = False
        self._in_body = False
        self._on_event(AnswerEnd())

    def fail(self, reason: str) -> None:
        """Emit :class:`AnswerLost` for the expected answer, if there is one."""
        if not self.is_expecting:
            return
        self.is_expecting = False
        self.is_in_sync = False
        self._on_event(AnswerLost(reason))

    def on_message_begin(self) -> None:
        """Start an answer; an unexpected one makes the connection unusable."""
        self._headers = []
        self._is_skipped = not self.is_expecting
        if self._is_skipped:
            self.is_in_sync = False

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header."""
        if len(self._headers) < _MAX_HEADERS:
            self._headers.append((name, text))
        else:
            self._head_fault = 'too many headers'

    def on_headers_complete(self) -> None:
        """Emit the head; skip interim answers and those to other requests."""
        status = self._parser.get_status_code()
        if self._is_skipped or status in _INTERIM:
            self._is_skipped = True
            return
        if self._is_match is not None and not self._is_match(self._headers):
            logger.info(
                'targets: answer to another request skipped, status %d', status
            )
            self._is_skipped = True
            self.is_in_sync = False
            return
        if not is_final_status(status):
            self._head_fault = f'invalid status {status}'
            self._is_skipped = True
            return
        # The parser reports trailers as further headers.
        headers = self._headers
        self._headers = []
        length, is_chunked = _parse_framing(headers)
        self._ends_with_connection = length is None and not is_chunked
        self._in_body = True
        self._on_event(AnswerHead(status, headers, length))

    def on_body(self, part: bytes) -> None:
        """Keep a chunk of the body, or drop it if the answer is skipped."""
        if self._is_skipped:
            self._skipped_bytes += len(part)
        else:
            self._parts.append(part)
        if self._skipped_bytes <= _MAX_SKIPPED_BYTES:
            self._framing_bytes = 0

    def on_message_complete(self) -> None:
        """Complete the answer and remember whether to keep the connection."""
        # The parser resets this flag after the message.
        self._keep_alive = self._parser.should_keep_alive()
        if not self._is_skipped:
            self.complete()

    def _emit_part(self) -> None:
        """Emit the chunks that were received together as one event."""
        if self._parts:
            self._on_event(AnswerPart(b''.join(self._parts)))
            self._parts = []


def _parse_framing(headers: Headers) -> tuple[int | None, bool]:
    length: int | None = None
    is_chunked = False
    for name, text in headers:
        lowered = name.lower()
        if lowered == b'content-length' and text.isdigit():
            length = int(text)
        elif lowered == b'transfer-encoding':
            is_chunked = b'chunked' in text.lower()
    return (None if is_chunked else length), is_chunked
