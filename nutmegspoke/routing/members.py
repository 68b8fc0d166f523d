"""Choose an engine of a group by its outstanding work."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import xxhash

from nutmegspoke.routing import room

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from nutmegspoke.routing.choices import ChainChoice, ChainQuery
    from nutmegspoke.targets import Target

_MAX_AFFINITY_WAIT_RATIO = 1.25
_PREFIX_BYTES = 1024
_MEAN_WORK_GAIN = 0.05


def prefix_key(prompt: str) -> str:
    """Return the digest of a prompt's prefix, for prefix affinity."""
    prefix = prompt.encode()[:_PREFIX_BYTES]
    return xxhash.xxh64_hexdigest(prefix)


def rendezvous_hash(prefix_digest: str, name: str) -> int:
    """Return the rendezvous hash of a prefix key and a name."""
    return xxhash.xxh64_intdigest(f'{prefix_digest}:{name}'.encode())


class OutstandingWork:
    """Outstanding work of this daemon's requests by target, in layer-tokens."""

    def __init__(self) -> None:
        """Create an instance without outstanding work."""
        self._work: collections.Counter[str] = collections.Counter()
        self._mean_work = 0.0

    def start(self, choice: ChainChoice) -> None:
        """Add the work of a choice to the targets of its chain."""
        for stage in choice.chain:
            work = choice.work_tokens * len(stage.layers)
            self._work[stage.target] += work
            self._mean_work += _MEAN_WORK_GAIN * (work - self._mean_work)

    def finish(self, choice: ChainChoice) -> None:
        """Subtract the work of a choice from the targets of its chain."""
        for stage in choice.chain:
            remaining = self._work[stage.target]
            remaining -= choice.work_tokens * len(stage.layers)
            self._work[stage.target] = remaining
            if remaining <= 0:
                self._work.pop(stage.target)

    def wait_s(self, target: Target) -> float:
        """Return the time that a target needs for its outstanding work.

        Requests of other daemons are known only from delayed reports and count
        with the mean work of a request.

        :returns: time in seconds.
        """
        others = max(0, room.load_of(target) - target.own_in_flight)
        work = self._work[target.name] + others * self._mean_work
        return work / max(target.layer_tokens_per_s, 1.0)


def pick_member(
    query: ChainQuery,
    members: Sequence[str],
    targets: Mapping[str, Target],
    outstanding_work: OutstandingWork,
) -> Target | None:
    """Choose the engine of a group for a request.

    With a prefix key, this is the engine with the highest rendezvous hash among
    those whose wait is at most 1.25 times the mean. Without one, it is the
    engine with the shortest wait.

    :param query: the request.
    :param members: names of the group's engines.
    :param targets: usable targets by name.
    :param outstanding_work: outstanding work of the engines.
    :returns: ``None`` if no engine is available.
    """
    available = [
        targets[name]
        for name in members
        if name in targets and room.has_capacity(query, targets[name])
    ]
    if not available:
        return None
    if not query.prefix_key:
        return min(available, key=outstanding_work.wait_s)
    waits = [outstanding_work.wait_s(target) for target in available]
    max_wait_s = _MAX_AFFINITY_WAIT_RATIO * sum(waits) / len(waits)
    allowed = [
        target
        for target, wait_s in zip(available, waits, strict=True)
        if wait_s <= max_wait_s
    ]
    return max(
        allowed,
        key=lambda target: rendezvous_hash(query.prefix_key, target.name),
    )
