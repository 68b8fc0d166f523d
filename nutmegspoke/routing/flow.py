"""Chain policy by maximum flow and interleaved weighted round robin."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from nutmegspoke.layers import Stage
from nutmegspoke.routing import room
from nutmegspoke.routing.choices import ChainChoice, NoChain
from nutmegspoke.routing.members import WorkLedger, pick_member, score
from nutmegspoke.routing.plan import Planner
from nutmegspoke.routing.walk import walk

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from nutmegspoke.layers import Chain
    from nutmegspoke.routing.choices import ChainQuery
    from nutmegspoke.routing.plan import PoolPlan
    from nutmegspoke.targets import Target

logger = logging.getLogger(__name__)

_AFFINITY_CREDIT_REQUESTS = 2
_FIRST_CREDIT_REQUESTS = 8


class _Members:
    """Engines picked for one request, group by group as chains need them."""

    def __init__(
        self,
        query: ChainQuery,
        plan: PoolPlan,
        targets: Mapping[str, Target],
        ledger: WorkLedger,
    ) -> None:
        self.query = query
        self._plan = plan
        self._targets = targets
        self._ledger = ledger
        self._picked: dict[int, Target | None] = {}

    def stages_of(self, chain: int) -> Chain | None:
        """Return the stages of a chain; ``None`` if a group has no room."""
        stages: list[Stage] = []
        for hop in self._plan.chains[chain].hops:
            target = self._pick(hop.group)
            if target is None:
                return None
            stages.append(Stage(target.name, target.address, hop.layers))
        return tuple(stages)

    def is_idle(self, chain: int) -> bool:
        """Tell whether the stages have fewer streams than the chain stages.

        A chain of that many streams can keep all its stages at work.
        """
        hops = self._plan.chains[chain].hops
        targets = [self._pick(hop.group) for hop in hops]
        return all(
            target is not None and target.own_in_flight < len(hops)
            for target in targets
        )

    def with_room(self, chains: list[int]) -> list[int]:
        """Drop the chains of which a group is known to have no room."""
        full = {
            group for group, target in self._picked.items() if target is None
        }
        return [
            index
            for index in chains
            if not any(
                hop.group in full for hop in self._plan.chains[index].hops
            )
        ]

    def _pick(self, group: int) -> Target | None:
        if group not in self._picked:
            names = self._plan.groups[group].members
            self._picked[group] = pick_member(
                self.query,
                names,
                self._targets,
                self._ledger,
            )
        return self._picked[group]


class FlowChains:
    """Chooses chains so that each gets its share of the maximum flow.

    Smooth weighted round robin is run over work, not over requests: each
    request adds credit to the chains with room, by weight, and takes its work
    from the chosen one. Chains inside one zone come first while they are
    idle. Credit of a prefix's preferred chain may fall behind by the work of
    two requests, and that of the fastest chain, which goes to requests that
    are to be first, by that of eight, so that no preference overloads.
    """

    def __init__(self) -> None:
        """Create a policy without a plan."""
        self._planner = Planner()
        self._credits: list[float] = []
        self._weights: list[float] = []
        self._steps_s: list[float] = []
        self._changes_by_origin: dict[str, list[int]] = {}
        self._ledger = WorkLedger()

    def bound_tokens_per_s(self) -> float:
        """Return the highest rate that the engines of the plan allow."""
        return self._planner.plan.bound_tokens_per_s

    def choose(
        self,
        query: ChainQuery,
        targets: Sequence[Target],
        now_s: float,
    ) -> ChainChoice | NoChain:
        """Choose a chain; see :class:`ChainPolicy`."""
        if self._planner.renew(targets, query.layer_count, now_s):
            self._take_plan()
        choice = self._choose_planned(query, targets)
        if choice is None:
            choice = self._choose_fallback(query, targets)
        if choice is None:
            return room.explain_no_chain(query, targets)
        self._ledger.start(choice)
        return choice

    def finish(self, choice: ChainChoice) -> None:
        """Note that the request of a choice has ended."""
        self._ledger.finish(choice)

    def _take_plan(self) -> None:
        plan = self._planner.plan
        self._credits = [0.0 for _ in plan.chains]
        self._weights = [chain.tokens_per_s for chain in plan.chains]
        self._steps_s = [plan.step_s(chain) for chain in plan.chains]
        self._changes_by_origin.clear()
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
        members = _Members(query, plan, by_name, self._ledger)
        chains = list(range(len(plan.chains)))
        if not chains:
            return None
        return self._choose_near(members, chains) or self._choose_any(
            members,
            chains,
        )

    def _choose_near(
        self,
        members: _Members,
        chains: list[int],
    ) -> ChainChoice | None:
        """Choose among the chains with the fewest changes of zone.

        Only an idle chain is taken, so that shares follow the flow as soon as
        the zone has no room.
        """
        query = members.query
        changes = self._zone_changes(query.availability_zone)
        fewest = min(changes)
        near = [index for index in chains if changes[index] == fewest]
        if query.is_first or len(near) == len(chains):
            return None
        index = self._best_chain(query, near)
        stages = members.stages_of(index)
        if stages is None or not members.is_idle(index):
            return None
        self._take_credit(query, near, index)
        return ChainChoice(stages, 'flow_zone', query.work_tokens)

    def _choose_any(
        self,
        members: _Members,
        chains: list[int],
    ) -> ChainChoice | None:
        query = members.query
        while chains:
            index = self._best_chain(query, chains)
            stages = members.stages_of(index)
            if stages is not None:
                self._take_credit(query, chains, index)
                return ChainChoice(stages, 'flow', query.work_tokens)
            chains = members.with_room(chains)
        return None

    def _zone_changes(self, origin: str) -> list[int]:
        if origin not in self._changes_by_origin:
            plan = self._planner.plan
            self._changes_by_origin[origin] = [
                plan.zone_changes(chain, origin) for chain in plan.chains
            ]
        return self._changes_by_origin[origin]

    def _best_chain(self, query: ChainQuery, chains: list[int]) -> int:
        gain = query.work_tokens / sum(self._weights[each] for each in chains)
        credit = {
            index: self._credits[index] + gain * self._weights[index]
            for index in chains
        }
        richest = max(chains, key=credit.__getitem__)
        if query.is_first:
            slack = _FIRST_CREDIT_REQUESTS * query.work_tokens
            least = credit[richest] - slack
            rich = [index for index in chains if credit[index] >= least]
            return min(rich, key=self._steps_s.__getitem__)
        if not query.prefix_key:
            return richest
        slack = _AFFINITY_CREDIT_REQUESTS * query.work_tokens
        least = credit[richest] - slack
        return max(
            (index for index in chains if credit[index] >= least),
            key=lambda index: score(query.prefix_key, str(index)),
        )

    def _take_credit(
        self,
        query: ChainQuery,
        chains: list[int],
        chosen: int,
    ) -> None:
        gain = query.work_tokens / sum(self._weights[each] for each in chains)
        for index in chains:
            self._credits[index] += gain * self._weights[index]
        self._credits[chosen] -= query.work_tokens

    def _choose_fallback(
        self,
        query: ChainQuery,
        targets: Sequence[Target],
    ) -> ChainChoice | None:
        """Build a chain outside the plan when all its chains are masked."""
        chain: Chain | None = walk(query, targets, self._shortest_wait)
        if chain is None:
            return None
        return ChainChoice(chain, 'flow_fallback', query.work_tokens)

    def _shortest_wait(self, candidates: Sequence[Target]) -> Target:
        return min(candidates, key=self._ledger.wait_s)
