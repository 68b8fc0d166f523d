"""Which news to put into the next message."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

_KeyT = TypeVar('_KeyT')


def copies_for(member_count: int) -> int:
    """Return how often each daemon passes one piece of news on.

    It grows with the logarithm of the number of daemons, as the number of
    rounds does that news needs to reach them all.

    :param member_count: number of daemons.
    """
    return 2 + math.ceil(math.log2(member_count + 1))


@dataclasses.dataclass(slots=True)
class Dissemination(Generic[_KeyT]):
    """Counts how often each piece of news was passed on."""

    _sent_counts: dict[_KeyT, int] = dataclasses.field(default_factory=dict)

    def schedule(self, key: _KeyT) -> None:
        """Begin to pass news on, or begin again with a newer version."""
        self._sent_counts[key] = 0

    def drop(self, key: _KeyT) -> None:
        """Pass this on no longer."""
        self._sent_counts.pop(key, None)

    def candidates(self, copies: int) -> Iterator[_KeyT]:
        """Return what is still to be passed on, least often sent first."""
        for key in sorted(self._sent_counts, key=self._sent_counts.__getitem__):
            if self._sent_counts[key] >= copies:
                return
            yield key

    def sent(self, key: _KeyT) -> None:
        """Count one more copy."""
        self._sent_counts[key] += 1
