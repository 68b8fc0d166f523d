"""Turns the bytes of a target into events of one answer."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

import httptools

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.forwarded import Headers

logger = logging.getLogger(__name__)

_INTERIM = range(100, 200)


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers
    length: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPart:
    """Some bytes of an answer's body."""

    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The answer is complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost:
    """No more comes of the answer.

    :param reason: what went wrong.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStalled:
    """No more is expected to come.

    :param address: address of the engine that is lost; empty if the time for
        the answer is over.
    """

    address: str


AnswerEvent = AnswerHead | AnswerPart | AnswerEnd | AnswerLost | AnswerStalled


class AnswerReader:
    """Reads answers; those that nobody waits for are skipped.

    :param took: called with each event of the answer waited for.
    :ivar is_clean: nothing came but answers that were waited for.
    :ivar expects: an answer is waited for and not complete.
    """

    def __init__(self, took: Callable[[AnswerEvent], None]) -> None:
        """Wait for nothing."""
        self.is_clean = True
        self.expects = False
        self._took = took
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._in_body = False
        self._is_skipped = False
        self._keep_alive = True
        self._ends_with_connection = False
        self._belongs: Callable[[Headers], bool] | None = None

    @property
    def ends_with_connection(self) -> bool:
        """Tell whether the present answer is whole when its sender closes."""
        return self._in_body and self._ends_with_connection

    @property
    def keeps_open(self) -> bool:
        """Tell whether the target reads another request."""
        return self.is_clean and self._keep_alive

    def expect(self, belongs: Callable[[Headers], bool]) -> None:
        """Wait for an answer.

        :param belongs: tells by its headers whether an answer is the one.
        """
        self._belongs = belongs
        self.expects = True
        self._in_body = False

    def feed(self, received: bytes) -> str:
        """Read on; why the bytes are no answer, or nothing."""
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as bad:
            self.is_clean = False
            return f'answer not parsed: {bad}'
        return ''

    def complete(self) -> None:
        """End the answer."""
        if not self.expects:
            return
        self.expects = False
        self._in_body = False
        self._took(AnswerEnd())

    def lose(self, reason: str) -> None:
        """End the answer before it is whole."""
        if not self.expects:
            return
        self.expects = False
        self.is_clean = False
        self._took(AnswerLost(reason))

    def on_message_begin(self) -> None:
        """Begin an answer; one that nobody asked for ends the use."""
        self._headers = []
        self._is_skipped = not self.expects
        if self._is_skipped:
            self.is_clean = False

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        self._headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Take a whole head; skip one that belongs to another request."""
        status = self._parser.get_status_code()
        if self._is_skipped or status in _INTERIM:
            self._is_skipped = True
            return
        if self._belongs is not None and not self._belongs(self._headers):
            logger.info('targets: stray answer skipped, status %d', status)
            self._is_skipped = True
            self.is_clean = False
            return
        length, is_chunked = _framing(self._headers)
        self._ends_with_connection = length is None and not is_chunked
        self._in_body = True
        self._took(AnswerHead(status, self._headers, length))

    def on_body(self, part: bytes) -> None:
        """Take a part of a body."""
        if not self._is_skipped:
            self._took(AnswerPart(part))

    def on_message_complete(self) -> None:
        """End the answer; what follows belongs to no request."""
        # The parser forgets it as soon as the message is over.
        self._keep_alive = self._parser.should_keep_alive()
        if not self._is_skipped:
            self.complete()


def _framing(headers: Headers) -> tuple[int | None, bool]:
    length: int | None = None
    is_chunked = False
    for name, text in headers:
        lowered = name.lower()
        if lowered == b'content-length' and text.isdigit():
            length = int(text)
        elif lowered == b'transfer-encoding':
            is_chunked = b'chunked' in text.lower()
    return (None if is_chunked else length), is_chunked
