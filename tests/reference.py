"""The answer of a model by the documented hashes, computed on its own."""

from __future__ import annotations

import xxhash

from nutmegspoke.standins.arithmetic import VOCABULARY

_TOKENS = 65_521


def reference_texts(
    prompt: str,
    seed: int,
    layer_count: int,
    token_count: int,
) -> list[str]:
    """Return the texts of an answer.

    Runs the whole model in one place, token by token and layer by layer.
    """
    tokens = [
        xxhash.xxh32_intdigest(w.encode()) % _TOKENS for w in prompt.split()
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
        tokens = [hidden % _TOKENS]
        texts.append(f'{VOCABULARY[tokens[0] % len(VOCABULARY)]} ')
    return texts


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
