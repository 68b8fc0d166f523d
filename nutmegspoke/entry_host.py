"""Settings of an entry host, and the tables that the operator configures."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from nutmegspoke.targets import TargetState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from nutmegspoke.layers import LayerRange


class RetryRule(enum.StrEnum):
    """Rule for retrying a request whose outcome is unknown."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    STREAM = 'stream'
    RESUMABLE_STREAM = 'resumable_stream'

    @property
    def is_stream(self) -> bool:
        """Return whether answers are streams of events."""
        return self in {RetryRule.STREAM, RetryRule.RESUMABLE_STREAM}

    @property
    def may_retry(self) -> bool:
        """Return whether a request that may have run can be retried."""
        return self in {RetryRule.IDEMPOTENT, RetryRule.RESUMABLE_STREAM}


@dataclasses.dataclass(frozen=True, slots=True)
class HostLimits:
    """Resources of the host.

    :param cpu_cores: share of the processor, in cores of usual speed.
    :param memory_bytes: memory limit; the process is killed above it.
    :param max_sockets: maximum number of open sockets.
    :param link_bytes_per_s: bandwidth of the host's link.
    """

    cpu_cores: float
    memory_bytes: int
    max_sockets: int
    link_bytes_per_s: float = 125e6


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveryBounds:
    """Limits on recovery that the deployment guarantees to its users.

    :param drain_s: time after which a leaving target gets no more requests.
    :param apply_s: time after which tables are in force on all hosts.
    :param stop_grace_s: time between SIGTERM and SIGKILL.
    :param retry_share: maximum retries as a share of a pool's requests, over
        all daemons.
    :param retry_slack: retries allowed beyond that share in each window.
    :param retry_window_s: length of the window in which retries are counted.
    """

    drain_s: float = 2.0
    apply_s: float = 2.0
    stop_grace_s: float = 8.0
    retry_share: float = 0.2
    retry_slack: float = 100.0
    retry_window_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class HedgingLimits:
    """Limit on copies of slow requests that the operator sets.

    :param max_share: copies as a share of the requests for a pool, over all
        daemons; 0 for none.
    """

    max_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHost:
    """The host that this daemon runs on.

    :param name: name of the host.
    :param availability_zone: availability zone of the host.
    :param ip: IP address of the host.
    :param callers_port: port for callers.
    :param ready_port: port on which the balancer checks readiness.
    :param peer_ports: first and last port for traffic between daemons.
    :param store_address: ``IP:PORT`` of the metadata store.
    :param limits: resources of the host.
    :param bounds: guaranteed limits on recovery.
    :param hedging: limit on copies of slow requests.
    """

    name: str
    availability_zone: str
    ip: str
    callers_port: int
    ready_port: int
    peer_ports: tuple[int, int]
    store_address: str
    limits: HostLimits
    bounds: RecoveryBounds
    hedging: HedgingLimits = HedgingLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class PoolShare:
    """A pool of a route and its weight among the route's pools."""

    pool: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRoute:
    """A route that matches requests by host name and path prefix.

    :param name: name of the route.
    :param host_name: host name that callers request.
    :param path_prefix: prefix of the path, with a slash at both ends.
    :param retry_rule: rule for retries.
    :param pools: pools with their weights.
    :param timeout_s: maximum time that a caller waits.
    :param goal_s: goal for the time to the first byte; a later answer has
        less value.
    :param priority: priority of the requests; 0 is the highest.
    :param max_targets: maximum number of targets that a request is sent to.
    :param is_public: whether requests need no team key.
    :param gap_goal_s: longest pause between two events of a stream that is on
        time; 0 if the route has none.
    """

    name: str
    host_name: str
    path_prefix: str
    retry_rule: RetryRule
    pools: tuple[PoolShare, ...]
    timeout_s: float
    goal_s: float
    priority: int
    max_targets: int
    is_public: bool
    gap_goal_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AcceleratorKind:
    """A kind of accelerator.

    :param name: name of the kind.
    :param memory_bytes: memory for layers and requests.
    :param step_factor: multiplier of the profile's step time.
    :param read_factor: multiplier of the profile's prompt reading time.
    """

    name: str
    memory_bytes: float
    step_factor: float
    read_factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class ModelProfile:
    """Cost model of the engines of a pool.

    :param model: name of the model.
    :param layer_count: number of layers of the model.
    :param layer_bytes: memory of one layer.
    :param token_layer_bytes: cache memory of one token in one layer.
    :param activation_bytes: bytes sent between two engines for a token.
    :param zone_link_bytes_per_s: bandwidth of the link between two availability
        zones; 0 if unknown.
    :param step_s: time of a step through all layers.
    :param step_per_request_s: additional step time for each request that
        generates tokens.
    :param step_per_context_token_s: additional step time for each token of
        context.
    :param read_tokens_per_s: prompt reading rate.
    :param read_per_pair_s: additional reading time for each pair of a token and
        an earlier one.
    :param tokens_per_event: number of tokens in one event of a stream.
    :param first_slots: maximum number of requests that an engine handles as the
        first engine of a chain.
    :param load_s: time to load all layers.
    :param usual_prompt_tokens: mean length of a prompt.
    :param usual_answer_tokens: mean length of an answer.
    :param kinds: accelerator kinds by name.
    :param read_chunk_tokens: maximum number of prompt tokens that an engine
        reads in a step; 0 if unknown.
    """

    model: str
    layer_count: int
    layer_bytes: float
    token_layer_bytes: float
    activation_bytes: float
    zone_link_bytes_per_s: float
    step_s: float
    step_per_request_s: float
    step_per_context_token_s: float
    read_tokens_per_s: float
    read_per_pair_s: float
    tokens_per_event: int
    first_slots: int
    load_s: float
    usual_prompt_tokens: float
    usual_answer_tokens: float
    kinds: Mapping[str, AcceleratorKind]
    read_chunk_tokens: float = 0.0

    def capacity_token_layers(self, kind: str, layers: int) -> float:
        """Return the total memory for requests, in tokens times layers.

        This is the memory of the accelerator that its layers do not use.

        :param kind: kind of accelerator; 0 is returned for unknown kinds.
        :param layers: number of layers that the engine holds.
        """
        accelerator = self.kinds.get(kind)
        if accelerator is None:
            return 0.0
        request_bytes = accelerator.memory_bytes - layers * self.layer_bytes
        return max(0.0, request_bytes / self.token_layer_bytes)

    def max_layers(self, kind: str) -> int:
        """Return the maximum number of layers an engine of this kind can hold."""
        accelerator = self.kinds.get(kind)
        if accelerator is None:
            return 0
        max_count = int(accelerator.memory_bytes // self.layer_bytes)
        return min(self.layer_count, max_count)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPool:
    """A group of targets that serve the same requests.

    :param name: name of the pool.
    :param max_connections: maximum number of connections to a target, over all
        clients.
    :param profile: cost model of its engines; ``None`` for a service.
    """

    name: str
    max_connections: int
    profile: ModelProfile | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


# Priority of requests without a team.
DEFAULT_TEAM_PRIORITY = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A customer of the router; priority 0 is the highest."""

    name: str
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class EntryTables:
    """One version of the configuration written by the operator.

    :param version: version, increased by each change.
    :param routes: the routes.
    :param pools: the pools by name.
    :param limits: limits on callers' requests.
    :param team_by_key: teams by API key.
    :param has_teams: whether teams are configured.
    """

    version: int
    routes: tuple[EntryRoute, ...]
    pools: Mapping[str, EntryPool]
    limits: CallerLimits
    team_by_key: Mapping[str, Team]
    has_teams: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEntry:
    """A target as listed by discovery.

    :param name: id of this start of the target.
    :param address: ``IP:PORT``.
    :param pool: name of its pool.
    :param availability_zone: its availability zone.
    :param state: live or leaving.
    :param slots: number of requests it handles concurrently.
    :param kind: kind of accelerator; empty for a service.
    :param layers: layers that it holds; ``None`` for none.
    :param started_ms: start time; distinguishes two starts with the same id.
    """

    name: str
    address: str
    pool: str
    availability_zone: str
    state: TargetState
    slots: int = 1
    kind: str = ''
    layers: LayerRange | None = None
    started_ms: int = 0
