"""Decodes the operator's configuration row into the product's tables."""

from __future__ import annotations

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

# Where the operator writes the configuration.
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
    # Says what may be repeated, not what the route is for.
    route_kind: str
    timeout_ms: float
    goal_ms: float = 0
    priority: int = 0
    service: str | None = None
    split: list[_Split] | None = None
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Kind(msgspec.Struct):
    name: str
    size_mb: float
    # A factor on the time of a step; read_factor is one on reading.
    pace: float = 1
    read_factor: float = 1


class _Model(msgspec.Struct):
    name: str
    load_s: float = 0


class _Usual(msgspec.Struct):
    prompt: float = 0
    answer: float = 0


class _Engine(msgspec.Struct):
    models: list[_Model]
    step_ms: float
    per_seq_ms: float
    # For 1,000 tokens of context of each request that writes.
    context_per_k: float
    read_per_s: float
    # For a million pairs of a token and an earlier one.
    pairs_per_m: float
    kv_bytes: float
    # Bounds only what an engine receives as the first of a chain.
    slots: int = 96
    stride: int = 1
    layers: int = 1
    layer_mb: float = 0
    act_bytes: float = 0
    pipe_mbps: float = 0
    usual: _Usual = msgspec.field(default_factory=_Usual)
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


_decoder = msgspec.json.Decoder(_Config)


class ConfigurationError(ValueError):
    """The configuration row can't be read."""


def decode_configuration(body: bytes) -> EntryTables:
    """Return the tables of a configuration row.

    :raises ConfigurationError: if the row is not a configuration.
    """
    try:
        config = _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise ConfigurationError(str(error)) from error
    pools = (_pool(service) for service in config.services)
    return EntryTables(
        version=config.version,
        routes=tuple(_route(route) for route in config.routes),
        pools={pool.name: pool for pool in pools},
        limits=_limits(config.limits),
        team_by_key=_teams(config.tenants or ()),
        has_teams=config.tenants is not None,
    )


def _route(route: _Route) -> EntryRoute:
    splits = route.split or ()
    pools = tuple(PoolShare(part.service, part.weight) for part in splits)
    if not pools and route.service is not None:
        pools = (PoolShare(route.service, 1),)
    return EntryRoute(
        name=route.name,
        host_name=route.host,
        path_prefix=route.prefix,
        retry_rule=_repeat_rule(route),
        pools=pools,
        timeout_s=route.timeout_ms / _MS_PER_S,
        goal_s=route.goal_ms / _MS_PER_S,
        priority=route.priority,
        max_targets=max(1, route.max_attempts),
        is_public=route.public,
    )


def _repeat_rule(route: _Route) -> RetryRule:
    if route.route_kind == 'streaming':
        if route.resumable:
            return RetryRule.RESUMABLE_STREAM
        return RetryRule.STREAM
    if route.route_kind == 'idempotent':
        return RetryRule.IDEMPOTENT
    return RetryRule.AT_MOST_ONCE


def _pool(service: _Service) -> EntryPool:
    engine = service.engine
    has_layers = engine is not None and bool(engine.models and engine.kinds)
    return EntryPool(
        name=service.name,
        max_connections=service.max_conns,
        profile=_profile(engine) if engine and has_layers else None,
    )


def _profile(engine: _Engine) -> ModelProfile:
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
        kinds={kind.name: _accelerator(kind) for kind in engine.kinds},
    )


def _accelerator(kind: _Kind) -> AcceleratorKind:
    return AcceleratorKind(
        name=kind.name,
        memory_bytes=kind.size_mb * _BYTES_PER_MB,
        step_factor=kind.pace,
        read_factor=kind.read_factor,
    )


def _limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms / _MS_PER_S,
        idle_timeout_s=limits.idle_timeout_ms / _MS_PER_S,
    )


def _teams(tenants: list[_Tenant] | tuple[()]) -> dict[str, Team]:
    teams: dict[str, Team] = {}
    for tenant in tenants:
        team = Team(tenant.name, tenant.priority)
        teams.update(dict.fromkeys(tenant.api_keys, team))
    return teams
