"""Answers without end, for tests of limits on what a target may send."""

from __future__ import annotations

import dataclasses
from types import MappingProxyType

_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _OK + b'Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n'
_STRAY = _OK + b'Id: 2\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class EndlessAnswer:
    """Bytes of an answer that never ends.

    :param start: bytes that are sent once.
    :param repeated: bytes that follow again and again.
    """

    start: bytes
    repeated: bytes


ENDLESS_ANSWERS = MappingProxyType(
    {
        'noise': EndlessAnswer(b'', b'\x00\x01'),
        'empty lines': EndlessAnswer(b'', b'\r\n'),
        'status line': EndlessAnswer(b'HTTP/1.1 200 ', b'x'),
        'header line': EndlessAnswer(_OK + b'A: ', b'x'),
        'header name': EndlessAnswer(_OK, b'x'),
        'headers': EndlessAnswer(_OK, b'A: b\r\n'),
        'interim answers': EndlessAnswer(b'', b'HTTP/1.1 100 C\r\n\r\n'),
        'chunk size': EndlessAnswer(_CHUNKED, b'0'),
        'chunk extension': EndlessAnswer(_CHUNKED + b'1;', b'x'),
        'trailers': EndlessAnswer(_CHUNKED + b'0\r\n', b'A: b\r\n'),
        'trailer line': EndlessAnswer(_CHUNKED + b'0\r\nA: ', b'x'),
        'stray answers': EndlessAnswer(
            b'', _STRAY + b'Content-Length: 0\r\n\r\n'
        ),
        'stray body': EndlessAnswer(_STRAY + b'\r\n', b'x'),
        'stray chunks': EndlessAnswer(
            _STRAY + b'Transfer-Encoding: chunked\r\n\r\n', b'1\r\nx\r\n'
        ),
    }
)
