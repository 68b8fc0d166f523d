"""Computation of the engine stand-in: a hash for each layer and token."""

from __future__ import annotations

import xxhash

VOCABULARY = (
    'the a club fan issue print robot turns left right moves forward back '
    'fixes loop block program member editor recap intro blurb song tour '
    'kit class lesson step then when until and with our your this that'
).split()
_TOKEN_SPACE = 65_521


def tokenize(text: str) -> list[int]:
    """Return the tokens of a text, one for each word."""
    return [
        xxhash.xxh32_intdigest(word.encode()) % _TOKEN_SPACE
        for word in text.split()
    ]


def embed(token: int, position: int, seed: int) -> int:
    """Return the input of layer 0 for a token at a position."""
    return _digest(f'embed:{token}:{position}:{seed}')


def run_layer(layer: int, hidden: int, cache: int) -> tuple[int, int]:
    """Run one layer for one token.

    :param layer: index of the layer.
    :param hidden: output of the previous layer.
    :param cache: digest of this layer's inputs for the earlier tokens.
    :returns: the output, and the digest that includes this token.
    """
    output = _digest(f'layer:{layer}:{hidden}:{cache}')
    return output, _digest(f'cache:{cache}:{hidden}')


def sample(hidden: int) -> int:
    """Return the next token, from the output of the last layer."""
    return hidden % _TOKEN_SPACE


def token_text(token: int) -> str:
    """Return the text of a token."""
    return f'{VOCABULARY[token % len(VOCABULARY)]} '


def _digest(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
