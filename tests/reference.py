"""Reference implementation of the stand-in model.

Computes answers from the documented hashes, independently of the engines.
"""

from __future__ import annotations

import xxhash

from nutmegspoke.standins.arithmetic import VOCABULARY

_TOKEN_ID_COUNT = 65_521


def reference_texts(
    prompt: str,
    seed: int,
    layer_count: int,
    token_count: int,
) -> list[str]:
    """Return the text of each token of an answer.

    Runs all layers in one process, token by token and layer by layer.
    """
    tokens = [
        xxhash.xxh32_intdigest(word.encode()) % _TOKEN_ID_COUNT
        for word in prompt.split()
    ]
    caches = [0] * layer_count
    texts: list[str] = []
    position = 0
    while len(texts) < token_count:
        hidden = 0
        for token in tokens:
            hidden = _hash(f'embed:{token}:{position}:{seed}')
            for layer in range(layer_count):
                output = _hash(f'layer:{layer}:{hidden}:{caches[layer]}')
                caches[layer] = _hash(f'cache:{caches[layer]}:{hidden}')
                hidden = output
            position += 1
        tokens = [hidden % _TOKEN_ID_COUNT]
        texts.append(f'{VOCABULARY[tokens[0] % len(VOCABULARY)]} ')
    return texts


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
