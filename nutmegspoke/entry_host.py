"""What an entry host is told at its start, and the tables that it serves."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from nutmegspoke.targets import TargetState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from nutmegspoke.layers import LayerRange


class RetryRule(enum.StrEnum):
    """What may be done again when the outcome of a request is not known."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    STREAM = 'stream'
    RESUMABLE_STREAM = 'resumable_stream'

    @property
    def may_retry(self) -> bool:
        """Tell whether a request that may have run can be sent again."""
        return self in {RetryRule.IDEMPOTENT, RetryRule.RESUMABLE_STREAM}


@dataclasses.dataclass(frozen=True, slots=True)
class HostLimits:
    """Resources of the host.

    :param cpu_cores: processor share in cores of usual speed.
    :param memory_bytes: memory above which the process is killed.
    :param max_sockets: sockets that may be open.
    """

    cpu_cores: float
    memory_bytes: int
    max_sockets: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveryBounds:
    """Times and shares that the deployment promises its users.

    :param drain_s: time after which a leaving target gets no more requests.
    :param stop_grace_s: time between SIGTERM and SIGKILL.
    :param retry_share: retries as a share of a pool's requests, all daemons.
    :param retry_slack: retries allowed beyond that share in one window.
    :param retry_window_s: length of the window in which retries are counted.
    """

    drain_s: float = 2.0
    stop_grace_s: float = 8.0
    retry_share: float = 0.2
    retry_slack: float = 100.0
    retry_window_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHost:
    """The host of this daemon.

    :param name: name of the host.
    :param availability_zone: where it is.
    :param ip: its address.
    :param callers_port: port for callers.
    :param ready_port: port on which the balancer asks for readiness.
    :param peer_ports: ports free for traffic between daemons.
    :param store_address: ``IP:PORT`` of the metadata store.
    :param limits: resources of the host.
    :param bounds: times promised.
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


@dataclasses.dataclass(frozen=True, slots=True)
class PoolShare:
    """A pool of a route and its part of the route's requests."""

    pool: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRoute:
    """A row that matches requests by host name and path prefix.

    :param name: name of the route.
    :param host_name: host that callers address.
    :param path_prefix: beginning of the path, with a slash at both ends.
    :param retry_rule: what may be repeated.
    :param pools: pools with their weights.
    :param timeout_s: longest time that a caller is kept waiting.
    :param goal_s: time to the first byte for full value.
    :param priority: rank; 0 is the highest.
    :param max_targets: targets that one request may be sent to.
    :param is_public: whether requests need no team key.
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


@dataclasses.dataclass(frozen=True, slots=True)
class AcceleratorKind:
    """A kind of accelerator.

    :param memory_bytes: memory for layers and requests.
    :param step_factor: how many times longer a step takes than on the norm.
    :param read_factor: how many times longer reading a prompt takes.
    """

    name: str
    memory_bytes: float
    step_factor: float
    read_factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class ModelProfile:
    """How the engines of a pool run their model.

    :param model: name of the model.
    :param layer_count: layers of the model.
    :param layer_bytes: memory of one layer.
    :param token_layer_bytes: memory of one token in one layer.
    :param activation_bytes: bytes handed on for a token between two engines.
    :param zone_link_bytes_per_s: rate of the link between two zones.
    :param step_s: time of a step through all layers.
    :param step_per_request_s: added time for each request that writes.
    :param step_per_context_token_s: added time for a token of context.
    :param read_tokens_per_s: rate at which prompts are read.
    :param read_per_pair_s: added reading time for a pair of tokens.
    :param tokens_per_event: tokens in one event of a stream.
    :param first_slots: requests that an engine takes as the first of a chain.
    :param load_s: time to load all layers.
    :param usual_prompt_tokens: mean length of a prompt.
    :param usual_answer_tokens: mean length of an answer.
    :param kinds: accelerator kinds by name.
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

    def capacity_token_layers(self, kind: str, layers: int) -> float:
        """Return the memory left for requests, in tokens times layers.

        :param kind: kind of accelerator; unknown kinds have no room.
        :param layers: layers that the engine holds.
        """
        accelerator = self.kinds.get(kind)
        if accelerator is None:
            return 0.0
        free_bytes = accelerator.memory_bytes - layers * self.layer_bytes
        return max(0.0, free_bytes / self.token_layer_bytes)

    def max_layers(self, kind: str) -> int:
        """Return how many layers an engine of a kind can hold."""
        accelerator = self.kinds.get(kind)
        if accelerator is None:
            return 0
        fitting = int(accelerator.memory_bytes // self.layer_bytes)
        return min(self.layer_count, fitting)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPool:
    """A group of like targets.

    :param name: name of the pool.
    :param max_connections: connections that a target takes from all callers.
    :param profile: how its engines run their model; ``None`` for a service.
    """

    name: str
    max_connections: int
    profile: ModelProfile | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A customer of the router; priority 0 goes first."""

    name: str
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class EntryTables:
    """One version of all that the operator configures.

    :param version: rises with each change.
    :param team_by_key: teams by the keys that callers send.
    """

    version: int
    routes: tuple[EntryRoute, ...]
    pools: Mapping[str, EntryPool]
    limits: CallerLimits
    team_by_key: Mapping[str, Team]
    has_teams: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEntry:
    """A target as discovery lists it.

    :param name: id of this start of the target.
    :param address: ``IP:PORT``.
    :param pool: pool that it belongs to.
    :param availability_zone: where it is.
    :param state: live or leaving.
    :param slots: requests that it works on at the same time.
    :param kind: kind of accelerator; empty for a service.
    :param layers: layers that it holds; ``None`` for none.
    :param started_ms: when it started; tells two starts of one id apart.
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
