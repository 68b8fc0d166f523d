"""Chain policy by maximum flow and interleaved weighted round robin."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from nutmegspoke.layers import Stage
from nutmegspoke.routing import room
from nutmegspoke.routing.choices import ChainChoice, NoChain
from nutmegspoke.routing.members import (
    OutstandingWork,
    pick_member,
    rendezvous_hash,
)
from nutmegspoke.routing.plan import Planner
from nutmegspoke.routing.walk import build_chain

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from nutmegspoke.layers import Chain
    from nutmegspoke.routing.choices import ChainQuery
    from nutmegspoke.routing.plan import PoolPlan
    from nutmegspoke.targets import Target

logger = logging.getLogger(__name__)

_AFFINITY_TOLERANCE_REQUESTS = 2
_FIRST_TOLERANCE_REQUESTS = 8


class _EngineSelection:
    """Engines selected for one request.

    The engine of a group is selected when a chain first needs it.
    """

    def __init__(
        self,
        query: ChainQuery,
        plan: PoolPlan,
        targets: Mapping[str, Target],
        outstanding_work: OutstandingWork,
    ) -> None:
        self.query = query
        self._plan = plan
        self._targets = targets
        self._outstanding_work = outstanding_work
        self._picked: dict[int, Target | None] = {}

    def stages_of(self, chain: int) -> Chain | None:
        """Return the stages of a chain.

        :param chain: index of the chain in the plan.
        :returns: ``None`` if a group has no available engine.
        """
        stages: list[Stage] = []
        for hop in self._plan.chains[chain].hops:
            target = self._pick(hop.group)
            if target is None:
                return None
            stages.append(Stage(target.name, target.address, hop.layers))
        return tuple(stages)

    def is_idle(self, chain: int) -> bool:
        """Return whether each engine has fewer streams than the chain has stages.

        As many streams as stages can keep all the engines of a chain busy.
        """
        hops = self._plan.chains[chain].hops
        targets = [self._pick(hop.group) for hop in hops]
        return all(
            target is not None and target.own_in_flight < len(hops)
            for target in targets
        )

    def exclude_full(self, chains: list[int]) -> list[int]:
        """Exclude the chains with a group known to have no available engine."""
        full_groups = {
            group for group, target in self._picked.items() if target is None
        }
        return [
            index
            for index in chains
            if not any(
                hop.group in full_groups
                for hop in self._plan.chains[index].hops
            )
        ]

    def _pick(self, group: int) -> Target | None:
        if group not in self._picked:
            names = self._plan.groups[group].members
            self._picked[group] = pick_member(
                self.query,
                names,
                self._targets,
                self._outstanding_work,
            )
        return self._picked[group]


class FlowChains:
    """Policy that gives each chain its share of the maximum flow.

    Smooth weighted round robin is applied to work instead of requests: each
    request adds credit to the available chains in proportion to their weights,
    and its work is subtracted from the credit of the chosen chain. Chains
    within one zone are preferred while they are idle.

    A preferred chain may be chosen although its credit is lower than the
    highest one: by the work of two requests for the chain of a prefix, and by
    the work of eight requests for the fastest chain, which serves the requests
    with ``is_first``. These limits keep preferences from overloading a chain.
    """

    def __init__(self) -> None:
        """Create a policy without a plan."""
        self._planner = Planner()
        self._credits: list[float] = []
        self._weights: list[float] = []
        self._steps_s: list[float] = []
        self._crossings_by_origin: dict[str, list[int]] = {}
        self._outstanding_work = OutstandingWork()

    def bound_tokens_per_s(self) -> float:
        """Return the highest rate of the engines, in tokens per second."""
        return self._planner.plan.bound_tokens_per_s

    def choose(
        self,
        query: ChainQuery,
        targets: Sequence[Target],
        now_s: float,
    ) -> ChainChoice | NoChain:
        """Choose a chain; see :class:`ChainPolicy`."""
        if self._planner.renew(targets, query.layer_count, now_s):
            self._apply_plan()
        choice = self._choose_planned(query, targets)
        if choice is None:
            choice = self._choose_fallback(query, targets)
        if choice is None:
            return room.explain_no_chain(query, targets)
        self._outstanding_work.start(choice)
        return choice

    def finish(self, choice: ChainChoice) -> None:
        """Record that the request of a choice has ended."""
        self._outstanding_work.finish(choice)

    def _apply_plan(self) -> None:
        plan = self._planner.plan
        self._credits = [0.0 for _ in plan.chains]
        self._weights = [chain.tokens_per_s for chain in plan.chains]
        self._steps_s = [plan.step_s(chain) for chain in plan.chains]
        self._crossings_by_origin.clear()
        logger.info(
            'routing: plan renewed groups=%d chains=%d bound_tokens_per_s=%.1f',
            len(plan.groups),
            len(plan.chains),
            plan.bound_tokens_per_s,
        )

    def _choose_planned(
        self,
        query: ChainQuery,
        targets: Sequence[Target],
    ) -> ChainChoice | None:
        by_name = {target.name: target for target in targets}
        plan = self._planner.plan
        selection = _EngineSelection(
            query, plan, by_name, self._outstanding_work
        )
        chains = list(range(len(plan.chains)))
        if not chains:
            return None
        return self._choose_fewest_crossings(
            selection, chains
        ) or self._choose_any(
            selection,
            chains,
        )

    def _choose_fewest_crossings(
        self,
        selection: _EngineSelection,
        chains: list[int],
    ) -> ChainChoice | None:
        """Choose among the chains with the fewest zone crossings.

        Only an idle chain is chosen, so that shares follow the flow as soon as
        these chains are busy.
        """
        query = selection.query
        crossings = self._count_zone_crossings(query.availability_zone)
        fewest = min(crossings)
        nearest = [index for index in chains if crossings[index] == fewest]
        if query.is_first or len(nearest) == len(chains):
            return None
        index = self._find_best_chain(query, nearest)
        stages = selection.stages_of(index)
        if stages is None or not selection.is_idle(index):
            return None
        self._charge_chain(query, nearest, index)
        return ChainChoice(stages, 'flow_zone', query.work_tokens)

    def _choose_any(
        self,
        selection: _EngineSelection,
        chains: list[int],
    ) -> ChainChoice | None:
        query = selection.query
        while chains:
            index = self._find_best_chain(query, chains)
            stages = selection.stages_of(index)
            if stages is not None:
                self._charge_chain(query, chains, index)
                return ChainChoice(stages, 'flow', query.work_tokens)
            chains = selection.exclude_full(chains)
        return None

    def _count_zone_crossings(self, origin: str) -> list[int]:
        if origin not in self._crossings_by_origin:
            plan = self._planner.plan
            self._crossings_by_origin[origin] = [
                plan.count_zone_crossings(chain, origin)
                for chain in plan.chains
            ]
        return self._crossings_by_origin[origin]

    def _find_best_chain(self, query: ChainQuery, chains: list[int]) -> int:
        credit_per_weight = query.work_tokens / sum(
            self._weights[each] for each in chains
        )
        credit = {
            index: self._credits[index]
            + credit_per_weight * self._weights[index]
            for index in chains
        }
        highest = max(chains, key=credit.__getitem__)
        if query.is_first:
            tolerance = _FIRST_TOLERANCE_REQUESTS * query.work_tokens
            min_credit = credit[highest] - tolerance
            eligible = [
                index for index in chains if credit[index] >= min_credit
            ]
            return min(eligible, key=self._steps_s.__getitem__)
        if not query.prefix_key:
            return highest
        tolerance = _AFFINITY_TOLERANCE_REQUESTS * query.work_tokens
        min_credit = credit[highest] - tolerance
        return max(
            (index for index in chains if credit[index] >= min_credit),
            key=lambda index: rendezvous_hash(query.prefix_key, str(index)),
        )

    def _charge_chain(
        self,
        query: ChainQuery,
        chains: list[int],
        chosen: int,
    ) -> None:
        credit_per_weight = query.work_tokens / sum(
            self._weights[each] for each in chains
        )
        for index in chains:
            self._credits[index] += credit_per_weight * self._weights[index]
        self._credits[chosen] -= query.work_tokens

    def _choose_fallback(
        self,
        query: ChainQuery,
        targets: Sequence[Target],
    ) -> ChainChoice | None:
        """Build a chain outside the plan when no planned chain is usable."""
        chain: Chain | None = build_chain(
            query, targets, self._pick_shortest_wait
        )
        if chain is None:
            return None
        return ChainChoice(chain, 'flow_fallback', query.work_tokens)

    def _pick_shortest_wait(self, candidates: Sequence[Target]) -> Target:
        return min(candidates, key=self._outstanding_work.wait_s)
