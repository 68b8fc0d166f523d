"""Random choices, passed in so that every run can be repeated."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence

_ItemT = TypeVar('_ItemT')


class RandomSource(Protocol):
    """A seeded source; ``random.Random`` is one."""

    def sample(self, population: Sequence[_ItemT], k: int) -> list[_ItemT]:
        """Return ``k`` different elements in random order."""
