"""Simple chain policies, as baselines for measurements of the flow policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.routing import room
from nutmegspoke.routing.choices import ChainChoice, NoChain
from nutmegspoke.routing.walk import build_chain

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.routing.choices import ChainQuery, RandomSource
    from nutmegspoke.routing.walk import StageRule
    from nutmegspoke.targets import Target


class RandomChains:
    """Policy that picks the target of each stage at random."""

    def __init__(self, source: RandomSource) -> None:
        """Create a policy.

        :param source: seeded source of random numbers.
        """
        self._source = source

    def choose(
        self,
        query: ChainQuery,
        targets: Sequence[Target],
        now_s: float,
    ) -> ChainChoice | NoChain:
        """Choose a chain; see :class:`ChainPolicy`."""
        return _choose(query, targets, self._pick, 'random')

    def finish(self, choice: ChainChoice) -> None:
        """Do nothing; the policy keeps no state of running requests."""

    def _pick(self, candidates: Sequence[Target]) -> Target:
        index = int(self._source.random() * len(candidates))
        return candidates[index]


class RoundRobinChains:
    """Policy that picks the targets of each stage in turn."""

    def __init__(self) -> None:
        """Create a policy without earlier choices."""
        self._last_turns: dict[str, int] = {}
        self._turn = 0

    def choose(
        self,
        query: ChainQuery,
        targets: Sequence[Target],
        now_s: float,
    ) -> ChainChoice | NoChain:
        """Choose a chain; see :class:`ChainPolicy`."""
        return _choose(query, targets, self._pick, 'round_robin')

    def finish(self, choice: ChainChoice) -> None:
        """Do nothing; the policy keeps no state of running requests."""

    def _pick(self, candidates: Sequence[Target]) -> Target:
        picked = min(candidates, key=self._turn_of)
        self._turn += 1
        self._last_turns[picked.name] = self._turn
        return picked

    def _turn_of(self, target: Target) -> tuple[int, str]:
        return self._last_turns.get(target.name, 0), target.name


class LeastInFlightChains:
    """Policy that picks the target with the least work in flight."""

    def choose(
        self,
        query: ChainQuery,
        targets: Sequence[Target],
        now_s: float,
    ) -> ChainChoice | NoChain:
        """Choose a chain; see :class:`ChainPolicy`."""
        return _choose(query, targets, _least_loaded, 'least_in_flight')

    def finish(self, choice: ChainChoice) -> None:
        """Do nothing; the policy keeps no state of running requests."""


def _least_loaded(candidates: Sequence[Target]) -> Target:
    return min(candidates, key=_load_and_name)


def _load_and_name(target: Target) -> tuple[int, str]:
    return room.load_of(target), target.name


def _choose(
    query: ChainQuery,
    targets: Sequence[Target],
    rule: StageRule,
    reason: str,
) -> ChainChoice | NoChain:
    chain = build_chain(query, targets, rule)
    if chain is None:
        return room.explain_no_chain(query, targets)
    return ChainChoice(chain, reason, query.work_tokens)
