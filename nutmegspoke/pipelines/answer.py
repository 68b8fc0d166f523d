"""The tokens of an answer: what the caller has and what is run again."""

from __future__ import annotations

import enum

import xxhash

EMPTY_DIGEST = ''


def extend_digest(digest: str, token: int) -> str:
    """Return the digest of an answer with one more token.

    :param digest: digest of the tokens before; empty for none.
    :param token: the next token.
    """
    return xxhash.xxh3_64_hexdigest(f'{digest}:{token}'.encode())


class TokenKind(enum.Enum):
    """What a generated token is to the caller."""

    NEW = 'new'
    REPEATED = 'repeated'
    DIFFERENT = 'different'


class Answer:
    """Keeps count and digest of the delivered tokens, and tokens if known.

    The tokens are not known after a resume from another daemon. A new run
    then generates them again and compares their digest with the delivered
    one; only later tokens are new.

    :param count: tokens that the caller has already.
    :param digest: digest of those tokens.
    """

    def __init__(self, count: int = 0, digest: str = EMPTY_DIGEST) -> None:
        """Start with the tokens that the caller has."""
        self.count = count
        self.digest = digest
        self._tokens: list[int] | None = [] if count == 0 else None
        self._run_digest = EMPTY_DIGEST

    @property
    def tokens(self) -> tuple[int, ...]:
        """Return the tokens from the first on, as far as they are known."""
        return tuple(self._tokens or ())

    @property
    def run_count(self) -> int:
        """Return the number of tokens that the present run has generated."""
        return self.count if self._tokens is None else len(self._tokens)

    def prepare_rerun(self) -> None:
        """Prepare to run from the prompt and the known tokens."""
        if self._tokens is None:
            self._tokens = []

    def add_token(self, token: int) -> TokenKind:
        """Take the next token of the run."""
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
