"""Chooses one engine of a group by its outstanding work."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import xxhash

from nutmegspoke.routing import room

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from nutmegspoke.routing.choices import ChainChoice, ChainQuery
    from nutmegspoke.targets import Target

_AFFINITY_OVERLOAD = 1.25
_PREFIX_BYTES = 1024
_MEAN_WORK_GAIN = 0.05


def prefix_key(prompt: str) -> str:
    """Return the digest of a prompt's prefix, for affinity."""
    prefix = prompt.encode()[:_PREFIX_BYTES]
    return xxhash.xxh64_hexdigest(prefix)


def score(prefix: str, name: str) -> int:
    """Return the rendezvous hash of a prefix and a name."""
    return xxhash.xxh64_intdigest(f'{prefix}:{name}'.encode())


class WorkLedger:
    """Outstanding work by target, in layer-tokens of this daemon's requests."""

    def __init__(self) -> None:
        """Create a ledger without work."""
        self._work: collections.Counter[str] = collections.Counter()
        self._mean_work = 0.0

    def start(self, choice: ChainChoice) -> None:
        """Add the work of a choice to its stages."""
        for stage in choice.chain:
            work = choice.work_tokens * len(stage.layers)
            self._work[stage.target] += work
            self._mean_work += _MEAN_WORK_GAIN * (work - self._mean_work)

    def finish(self, choice: ChainChoice) -> None:
        """Take the work of a choice off its stages."""
        for stage in choice.chain:
            left = self._work[stage.target]
            left -= choice.work_tokens * len(stage.layers)
            self._work[stage.target] = left
            if left <= 0:
                self._work.pop(stage.target)

    def wait_s(self, target: Target) -> float:
        """Return how long the target needs for its outstanding work.

        Work of other daemons, known from lagging reports, counts as average.
        """
        others = max(0, room.load_of(target) - target.own_in_flight)
        work = self._work[target.name] + others * self._mean_work
        return work / max(target.layer_tokens_per_s, 1.0)


def pick_member(
    query: ChainQuery,
    members: Sequence[str],
    targets: Mapping[str, Target],
    ledger: WorkLedger,
) -> Target | None:
    """Choose the engine of a group for a request.

    With a prefix key, the engine of the highest rendezvous hash is taken
    among those whose wait is not above 1.25 times the mean; without one, the
    engine of the shortest wait.

    :param query: the request.
    :param members: names of the group's engines.
    :param targets: usable targets by name.
    :param ledger: outstanding work.
    :returns: ``None`` if no engine has room.
    """
    roomy = [
        targets[name]
        for name in members
        if name in targets and room.has_room(query, targets[name])
    ]
    if not roomy:
        return None
    if not query.prefix_key:
        return min(roomy, key=ledger.wait_s)
    waits = [ledger.wait_s(target) for target in roomy]
    highest = _AFFINITY_OVERLOAD * sum(waits) / len(waits)
    allowed = [
        target
        for target, wait_s in zip(roomy, waits, strict=True)
        if wait_s <= highest
    ]
    return max(allowed, key=lambda each: score(query.prefix_key, each.name))
