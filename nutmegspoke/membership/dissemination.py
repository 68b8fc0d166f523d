"""Select the items of shared state to put into the next message."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

_KeyT = TypeVar('_KeyT')


def transmission_limit(member_count: int) -> int:
    """Return how often each daemon sends the same item.

    The limit grows with the logarithm of the number of daemons, as does the
    number of rounds in which an item reaches all of them.

    :param member_count: number of other daemons known.
    """
    return 2 + math.ceil(math.log2(member_count + 1))


@dataclasses.dataclass(slots=True)
class Dissemination(Generic[_KeyT]):
    """Counts how often each item was sent, by key."""

    _transmission_counts: dict[_KeyT, int] = dataclasses.field(
        default_factory=dict
    )

    def schedule(self, key: _KeyT) -> None:
        """Start to send an item, or start again for a newer version of it."""
        self._transmission_counts[key] = 0

    def stop(self, key: _KeyT) -> None:
        """Stop sending an item."""
        self._transmission_counts.pop(key, None)

    def candidates(self, max_transmissions: int) -> Iterator[_KeyT]:
        """Yield the items sent less often than the limit, least sent first."""
        for key in sorted(
            self._transmission_counts, key=self._transmission_counts.__getitem__
        ):
            if self._transmission_counts[key] >= max_transmissions:
                return
            yield key

    def count_transmission(self, key: _KeyT) -> None:
        """Record that an item was put into a message."""
        self._transmission_counts[key] += 1
