"""Interface of random choices, injected so that runs are reproducible."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence

_ItemT = TypeVar('_ItemT')


class RandomSource(Protocol):
    """Source of random choices, such as a seeded ``random.Random``."""

    def sample(self, population: Sequence[_ItemT], k: int) -> list[_ItemT]:
        """Return ``k`` different elements in random order."""
