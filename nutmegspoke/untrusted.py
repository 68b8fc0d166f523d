"""Decodes bytes that others have written: rows, answers and datagrams."""

from __future__ import annotations

from typing import Any, Generic, TypeVar

import msgspec

_T = TypeVar('_T')
# Nested too deeply, bytes raise RecursionError; texts that are not UTF-8 and numbers
# that don't fit may raise errors of Python's own.
_ERRORS = (
    msgspec.MsgspecError,
    UnicodeDecodeError,
    RecursionError,
    OverflowError,
)


# Statuses of HTTP, without those that announce another answer.
_FINAL_STATUSES = range(200, 600)


def is_final_status(status: int) -> bool:
    """Return whether an answer with this status ends an exchange of HTTP."""
    return status in _FINAL_STATUSES


class UndecodableError(ValueError):
    """Bytes are not of the expected format or types."""


class UntrustedDecoder(Generic[_T]):
    """Decoder whose only error is :class:`UndecodableError`."""

    def __init__(self, decoder: Any) -> None:
        """Wrap a decoder of msgspec."""
        self._decoder = decoder

    @classmethod
    def from_json(cls, expected: type[_T]) -> UntrustedDecoder[_T]:
        """Return a decoder of JSON to a type."""
        return cls(msgspec.json.Decoder(expected))

    @classmethod
    def from_msgpack(cls, expected: Any) -> UntrustedDecoder[_T]:
        """Return a decoder of MessagePack to a type, or one of several."""
        return cls(msgspec.msgpack.Decoder(expected))

    def decode(self, encoded: bytes) -> _T:
        """Return what some bytes stand for.

        :raises UndecodableError: if they are not of the expected type.
        """
        try:
            return self._decoder.decode(encoded)
        except _ERRORS as error:
            raise UndecodableError(str(error)) from error
