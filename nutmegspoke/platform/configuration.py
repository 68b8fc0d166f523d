"""Decodes the operator's configuration row into an entry host's tables."""

from __future__ import annotations

from typing import Annotated

import msgspec

from nutmegspoke.entry_host import (
    AcceleratorKind,
    CallerLimits,
    EntryPool,
    EntryRoute,
    EntryTables,
    ModelProfile,
    PoolShare,
    RetryRule,
    Team,
)
from nutmegspoke.untrusted import UndecodableError, UntrustedDecoder

# Table and key of the row that holds the configuration.
TABLE = 'op'
ROW = 'config'

_MS_PER_S = 1_000
_BYTES_PER_MB = 1_000_000
_BITS_PER_BYTE = 8
_PER_THOUSAND = 1_000
_PER_MILLION = 1_000_000


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    # Determines whether requests may be retried.
    route_kind: str
    timeout_ms: float
    goal_ms: float = 0
    gap_goal_ms: float = 0
    priority: int = 0
    service: str | None = None
    split: list[_Split] | None = None
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Kind(msgspec.Struct):
    name: str
    size_mb: float
    # Multiplier of the step time; read_factor multiplies the time to read a
    # prompt.
    pace: float = 1
    read_factor: float = 1


class _Model(msgspec.Struct):
    name: str
    load_s: float = 0


class _UsualLengths(msgspec.Struct):
    prompt: float = 0
    answer: float = 0


class _Engine(msgspec.Struct):
    models: list[_Model]
    step_ms: float
    per_seq_ms: float
    # Milliseconds per step for each 1,000 tokens of context of a request that
    # generates tokens.
    context_per_k: float
    read_per_s: float
    # Milliseconds for a million pairs of a prompt token and an earlier token.
    pairs_per_m: float
    kv_bytes: float
    # Limits only the requests that an engine gets as first engine of a chain.
    slots: int = 96
    stride: int = 1
    # Most prompt tokens that an engine reads in a step; 0 if unknown.
    chunk: float = 0
    layers: Annotated[int, msgspec.Meta(ge=1)] = 1
    layer_mb: float = 0
    act_bytes: float = 0
    pipe_mbps: float = 0
    usual: _UsualLengths = msgspec.field(default_factory=_UsualLengths)
    kinds: list[_Kind] = msgspec.field(default_factory=list)


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str]
    priority: int = 0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_decoder = UntrustedDecoder.from_json(_Config)


class ConfigurationError(ValueError):
    """The configuration row can't be decoded."""


def decode_configuration(body: bytes) -> EntryTables:
    """Return the tables decoded from a configuration row.

    :param body: content of the row, as JSON.
    :raises ConfigurationError: if the row is not a valid configuration.
    """
    try:
        config = _decoder.decode(body)
    except UndecodableError as error:
        raise ConfigurationError(str(error)) from error
    pools = (_build_pool(service) for service in config.services)
    return EntryTables(
        version=config.version,
        routes=tuple(_build_route(route) for route in config.routes),
        pools={pool.name: pool for pool in pools},
        limits=_build_limits(config.limits),
        team_by_key=_index_teams(config.tenants or ()),
        has_teams=config.tenants is not None,
    )


def _build_route(route: _Route) -> EntryRoute:
    splits = route.split or ()
    pools = tuple(PoolShare(split.service, split.weight) for split in splits)
    if not pools and route.service is not None:
        pools = (PoolShare(route.service, 1),)
    return EntryRoute(
        name=route.name,
        host_name=route.host,
        path_prefix=route.prefix,
        retry_rule=_find_retry_rule(route),
        pools=pools,
        timeout_s=route.timeout_ms / _MS_PER_S,
        goal_s=route.goal_ms / _MS_PER_S,
        priority=route.priority,
        max_targets=max(1, route.max_attempts),
        is_public=route.public,
        gap_goal_s=route.gap_goal_ms / _MS_PER_S,
    )


def _find_retry_rule(route: _Route) -> RetryRule:
    if route.route_kind == 'streaming':
        if route.resumable:
            return RetryRule.RESUMABLE_STREAM
        return RetryRule.STREAM
    if route.route_kind == 'idempotent':
        return RetryRule.IDEMPOTENT
    return RetryRule.AT_MOST_ONCE


def _build_pool(service: _Service) -> EntryPool:
    engine = service.engine
    has_layers = engine is not None and bool(engine.models and engine.kinds)
    return EntryPool(
        name=service.name,
        max_connections=service.max_conns,
        profile=_build_profile(engine) if engine and has_layers else None,
    )


def _build_profile(engine: _Engine) -> ModelProfile:
    model = engine.models[0]
    return ModelProfile(
        model=model.name,
        layer_count=engine.layers,
        layer_bytes=engine.layer_mb * _BYTES_PER_MB,
        token_layer_bytes=engine.kv_bytes / engine.layers,
        activation_bytes=engine.act_bytes,
        zone_link_bytes_per_s=engine.pipe_mbps * _PER_MILLION / _BITS_PER_BYTE,
        step_s=engine.step_ms / _MS_PER_S,
        step_per_request_s=engine.per_seq_ms / _MS_PER_S,
        step_per_context_token_s=(
            engine.context_per_k / _MS_PER_S / _PER_THOUSAND
        ),
        read_tokens_per_s=engine.read_per_s,
        read_per_pair_s=engine.pairs_per_m / _MS_PER_S / _PER_MILLION,
        tokens_per_event=max(1, engine.stride),
        first_slots=max(1, engine.slots),
        load_s=model.load_s,
        usual_prompt_tokens=engine.usual.prompt,
        usual_answer_tokens=engine.usual.answer,
        kinds={kind.name: _build_accelerator(kind) for kind in engine.kinds},
        read_chunk_tokens=max(0.0, engine.chunk),
    )


def _build_accelerator(kind: _Kind) -> AcceleratorKind:
    return AcceleratorKind(
        name=kind.name,
        memory_bytes=kind.size_mb * _BYTES_PER_MB,
        step_factor=kind.pace,
        read_factor=kind.read_factor,
    )


def _build_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms / _MS_PER_S,
        idle_timeout_s=limits.idle_timeout_ms / _MS_PER_S,
    )


def _index_teams(tenants: list[_Tenant] | tuple[()]) -> dict[str, Team]:
    team_by_key: dict[str, Team] = {}
    for tenant in tenants:
        team = Team(tenant.name, tenant.priority)
        team_by_key.update(dict.fromkeys(tenant.api_keys, team))
    return team_by_key
