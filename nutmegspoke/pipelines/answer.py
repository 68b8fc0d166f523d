"""The generated tokens of a draft, across reruns and resumes."""

from __future__ import annotations

import enum

import xxhash

EMPTY_DIGEST = ''


def extend_digest(digest: str, token: int) -> str:
    """Return the digest of an answer after one more token.

    :param digest: digest of the tokens so far; empty for none.
    :param token: the next token.
    """
    return xxhash.xxh3_64_hexdigest(f'{digest}:{token}'.encode())


class TokenKind(enum.Enum):
    """How a generated token relates to the tokens delivered to the caller.

    ``NEW``: not delivered yet. ``REPEATED``: already delivered. ``DIFFERENT``:
    the last delivered token was reached, but the digests differ.
    """

    NEW = 'new'
    REPEATED = 'repeated'
    DIFFERENT = 'different'


class Answer:
    """Count and digest of the delivered tokens, and the tokens if known.

    After a resume from another daemon the tokens themselves are not known. A
    rerun then generates them again and compares their digest with that of the
    delivered tokens; only later tokens are new.

    :param count: number of tokens that the caller has already received.
    :param digest: digest of those tokens.
    """

    def __init__(self, count: int = 0, digest: str = EMPTY_DIGEST) -> None:
        """Create an answer of which the caller has some tokens."""
        self.count = count
        self.digest = digest
        self._tokens: list[int] | None = [] if count == 0 else None
        self._run_digest = EMPTY_DIGEST

    @property
    def tokens(self) -> tuple[int, ...]:
        """Return the known tokens from the first on; empty if none is known."""
        return tuple(self._tokens or ())

    @property
    def run_count(self) -> int:
        """Return the number of tokens up to the position of the current run."""
        return self.count if self._tokens is None else len(self._tokens)

    def prepare_run(self) -> None:
        """Prepare for a run from the prompt and the known tokens."""
        if self._tokens is None:
            self._tokens = []

    def add_token(self, token: int) -> TokenKind:
        """Add the next token of the run and return its kind."""
        if self._tokens is None:
            self._deliver(token)
            return TokenKind.NEW
        self._tokens.append(token)
        self._run_digest = extend_digest(self._run_digest, token)
        if len(self._tokens) > self.count:
            self._deliver(token)
            return TokenKind.NEW
        is_caught_up = len(self._tokens) == self.count
        if is_caught_up and self._run_digest != self.digest:
            return TokenKind.DIFFERENT
        return TokenKind.REPEATED

    def _deliver(self, token: int) -> None:
        self.count += 1
        self.digest = extend_digest(self.digest, token)
