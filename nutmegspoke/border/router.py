"""Choose chains and targets with the policy that the settings name."""

from __future__ import annotations

import dataclasses
import logging
import random
import zlib
from typing import TYPE_CHECKING

from nutmegspoke.admission.adaptive import AdaptiveLimit, LimitBounds
from nutmegspoke.border.target_watch import NAME as TARGETS
from nutmegspoke.border.target_watch import TargetWatch
from nutmegspoke.routing import baselines, single
from nutmegspoke.routing.choices import (
    ChainChoice,
    ChainQuery,
    NoChain,
    TargetChoice,
    TargetLimit,
    TargetQuery,
)
from nutmegspoke.routing.flow import FlowChains
from nutmegspoke.routing.members import prefix_key
from nutmegspoke.routing.room import chain_capacity
from nutmegspoke.tables.rows import PoolKind

if TYPE_CHECKING:
    from collections.abc import Collection

    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.layers import Chain
    from nutmegspoke.requests import CallRequest, DraftRequest
    from nutmegspoke.routing.choices import (
        ChainPolicy,
        NoTarget,
        RandomSource,
        TargetPolicy,
    )
    from nutmegspoke.tables.rows import PoolRow
    from nutmegspoke.targets import Target, TargetDirectory

logger = logging.getLogger(__name__)
NAME = 'router'
_MIN_LIMIT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class RouterOptions:
    """Options of a router.

    :param policy: ``flow``, ``random``, ``round_robin``, ``least_in_flight``.
    :param availability_zone: availability zone of the daemon.
    :param seed: seed of the random policy.
    """

    policy: str = 'flow'
    availability_zone: str = ''
    seed: int = 0


class Router:
    """Chooser of chains and targets, with a policy for each pool.

    Each choice is logged.
    """

    def __init__(
        self,
        clock: Clock,
        targets: TargetDirectory,
        options: RouterOptions,
    ) -> None:
        """Create a router without policies; they are created on first use."""
        self._clock = clock
        self._targets = targets
        self._options = options
        self._random = random.Random(options.seed)
        self._chain_policies: dict[str, ChainPolicy] = {}
        self._target_policies: dict[str, TargetPolicy] = {}
        self._limits: dict[str, AdaptiveLimit] = {}

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    def choose_chain(
        self,
        request: DraftRequest,
        avoided: frozenset[str],
        *,
        is_first: bool = False,
    ) -> ChainChoice | NoChain:
        """Choose a chain for a draft.

        :param request: the draft.
        :param avoided: names of targets that must not be used.
        :param is_first: whether the draft should get a fast chain.
        """
        now_s = self._clock.now_s()
        pool = request.pool
        usable = self._targets.usable(pool.name, now_s)
        query = ChainQuery(
            request_id=request.request_id,
            layer_count=pool.layer_count,
            max_in_flight=pool.max_in_flight,
            work_tokens=work_tokens(request),
            prefix_key=prefix_key(request.prompt),
            availability_zone=self._options.availability_zone,
            avoided=avoided,
            is_first=is_first,
        )
        choice = self._chain_policy(pool.name).choose(query, usable, now_s)
        _log_chain(request, choice, avoided)
        return choice

    def finish_chain(self, pool: PoolRow, choice: ChainChoice) -> None:
        """Note that the work on a chosen chain has ended."""
        self._chain_policy(pool.name).finish(choice)

    def choose_target(
        self,
        request: CallRequest,
        usable: tuple[Target, ...],
        avoided: Collection[str],
    ) -> TargetChoice | NoTarget:
        """Choose a target for a call.

        :param request: the call.
        :param usable: usable targets, with this daemon's calls in flight there.
        :param avoided: names of targets that were already tried.
        """
        query = TargetQuery(
            request_id=request.request_id,
            max_in_flight=request.pool.max_in_flight,
            availability_zone=self._options.availability_zone,
            avoided=frozenset(avoided),
            limits=self._adaptive_limits(usable),
        )
        policy = self._target_policy(request.pool.name)
        choice = policy.choose(query, usable, self._clock.now_s())
        _log_target(request, choice)
        return choice

    def capacity(self, pool: PoolRow) -> int:
        """Return how many requests of this daemon may run in a pool."""
        usable = self._targets.usable(pool.name, self._clock.now_s())
        limits = {target.name: pool.max_in_flight for target in usable}
        for limit in self._adaptive_limits(usable):
            limits[limit.target] = min(
                limit.max_in_flight,
                pool.max_in_flight,
            )
        if pool.kind is PoolKind.SERVICE:
            return sum(limits.values())
        return chain_capacity(usable, pool.layer_count, limits)

    def observe(
        self,
        target: str,
        latency_s: float,
        in_flight: int,
        max_limit: int,
    ) -> None:
        """Adapt the limit of a target to the latency of a call.

        :param target: name of the target, of a plain service.
        :param latency_s: latency as measured by this daemon.
        :param in_flight: number of this daemon's calls in flight there.
        :param max_limit: upper bound of the limit of the target.
        """
        limit = self._limits.get(target)
        if limit is None:
            bounds = LimitBounds(min(_MIN_LIMIT, max_limit), max_limit)
            limit = AdaptiveLimit(bounds)
            self._limits[target] = limit
        limit.observe(latency_s, in_flight)

    def _adaptive_limits(
        self, usable: tuple[Target, ...]
    ) -> tuple[TargetLimit, ...]:
        return tuple(
            TargetLimit(target.name, self._limits[target.name].max_in_flight)
            for target in usable
            if target.name in self._limits
        )

    def _chain_policy(self, pool: str) -> ChainPolicy:
        policy = self._chain_policies.get(pool)
        if policy is None:
            policy = new_chain_policy(self._options.policy, self._random)
            self._chain_policies[pool] = policy
        return policy

    def _target_policy(self, pool: str) -> TargetPolicy:
        policy = self._target_policies.get(pool)
        if policy is None:
            policy = new_target_policy(self._options.policy, self._random)
            self._target_policies[pool] = policy
        return policy


def new_chain_policy(name: str, source: RandomSource) -> ChainPolicy:
    """Return a new chain policy by its name in the settings."""
    match name:
        case 'random':
            return baselines.RandomChains(source)
        case 'round_robin':
            return baselines.RoundRobinChains()
        case 'least_in_flight':
            return baselines.LeastInFlightChains()
        case _:
            return FlowChains()


def new_target_policy(name: str, source: RandomSource) -> TargetPolicy:
    """Return a new policy for single targets by its name in the settings."""
    match name:
        case 'random':
            return single.RandomTargets(source)
        case 'round_robin':
            return single.RoundRobinTargets()
        case 'least_in_flight':
            return single.LeastInFlightTargets()
        case _:
            return single.LeastWaitTargets()


def work_tokens(request: DraftRequest) -> int:
    """Return the number of tokens of a draft: prompt and answer."""
    return len(request.prompt.split()) + request.max_tokens


def format_chain(chain: Chain) -> str:
    """Return a chain as text, for log lines."""
    return ','.join(f'{stage.target}:{stage.layers}' for stage in chain)


def _log_chain(
    request: DraftRequest,
    choice: ChainChoice | NoChain,
    avoided: frozenset[str],
) -> None:
    if isinstance(choice, NoChain):
        logger.info(
            'routing: no chain request=%s pool=%s reason=%s layer=%d avoided=%s',
            request.request_id,
            request.pool.name,
            choice.reason.value,
            choice.layer,
            ','.join(sorted(avoided)),
        )
        return
    logger.info(
        'routing: chain chosen request=%s pool=%s chain=%s reason=%s avoided=%s',
        request.request_id,
        request.pool.name,
        format_chain(choice.chain),
        choice.reason,
        ','.join(sorted(avoided)),
    )


def _log_target(
    request: CallRequest,
    choice: TargetChoice | NoTarget,
) -> None:
    target = 'none'
    if isinstance(choice, TargetChoice):
        target = choice.target.name
    logger.info(
        'routing: target chosen request=%s pool=%s target=%s reason=%s',
        request.request_id,
        request.pool.name,
        target,
        choice.reason,
    )


def setup(app: Application) -> None:
    """Register the router."""
    daemon = app.settings.daemon
    options = RouterOptions(
        policy=app.settings.routing.policy,
        availability_zone=daemon.availability_zone,
        seed=zlib.crc32(daemon.name.encode()),
    )
    targets = app.kernel.find(TARGETS, TargetWatch)
    app.kernel.register(NAME, Router(app.clock, targets, options))
