"""A pool of engine stand-ins with different accelerators."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.bench import processes
from nutmegspoke.layers import LayerRange
from nutmegspoke.routing.plan import PoolPlan
from nutmegspoke.targets import Target

if TYPE_CHECKING:
    from nutmegspoke.bench.deployment import Deployment

LAYER_COUNT = 12
_ACTIVATION_BYTES = 16_384
_BASE_LAYER_TOKENS_PER_S = 60.0
_FAST_LINK_BYTES_PER_S = 1_000.0 * _ACTIVATION_BYTES
_SLOW_LINK_BYTES_PER_S = _FAST_LINK_BYTES_PER_S / 100
_POOL = 'drafting'
_TABLES = """\
[route drafts]
path = /v1/completions
model = fanletter
pool = drafting
repeatable = yes
timeout_s = {timeout_s}

[pool drafting]
kind = engine
model = fanletter
version = 1
layer_count = 12
selector = drafting
max_in_flight = {max_in_flight}
max_queue = 256
"""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """An engine of the pool.

    :param name: name of the engine.
    :param layers: range of the layers that it holds, such as ``0-6``.
    :param layer_tokens_per_s: speed, as layers times tokens per second.
    :param availability_zone: availability zone of the engine.
    :param link_bytes_per_s: data rate of its network link.
    """

    name: str
    layers: str
    layer_tokens_per_s: float
    availability_zone: str
    link_bytes_per_s: float = _FAST_LINK_BYTES_PER_S

    def to_target(self) -> Target:
        """Return the engine as a target of the router."""
        return Target(
            name=self.name,
            address='',
            pool=_POOL,
            availability_zone=self.availability_zone,
            layers=LayerRange.from_text(self.layers),
            layer_tokens_per_s=self.layer_tokens_per_s,
            link_bytes_per_s=self.link_bytes_per_s,
            activation_bytes=_ACTIVATION_BYTES,
        )


ENGINES = (
    EngineSpec('fast-a', '0-6', 4 * _BASE_LAYER_TOKENS_PER_S, 'pnw-a'),
    EngineSpec('fast-b', '6-12', 4 * _BASE_LAYER_TOKENS_PER_S, 'pnw-b'),
    EngineSpec(
        'fast-c',
        '0-6',
        4 * _BASE_LAYER_TOKENS_PER_S,
        'pnw-c',
        _SLOW_LINK_BYTES_PER_S,
    ),
    EngineSpec('mid-a', '0-4', 2 * _BASE_LAYER_TOKENS_PER_S, 'pnw-a'),
    EngineSpec('mid-b', '4-8', 2 * _BASE_LAYER_TOKENS_PER_S, 'pnw-b'),
    EngineSpec('mid-c', '8-12', 2 * _BASE_LAYER_TOKENS_PER_S, 'pnw-c'),
    EngineSpec('slow-a', '0-3', _BASE_LAYER_TOKENS_PER_S, 'pnw-a'),
    EngineSpec('slow-b', '3-6', _BASE_LAYER_TOKENS_PER_S, 'pnw-b'),
    EngineSpec('slow-c', '6-9', _BASE_LAYER_TOKENS_PER_S, 'pnw-c'),
    EngineSpec('slow-d', '9-12', _BASE_LAYER_TOKENS_PER_S, 'pnw-a'),
    EngineSpec(
        'slow-e',
        '6-9',
        _BASE_LAYER_TOKENS_PER_S,
        'pnw-b',
        _SLOW_LINK_BYTES_PER_S,
    ),
    EngineSpec('slow-f', '9-12', _BASE_LAYER_TOKENS_PER_S, 'pnw-c'),
)


def bound_tokens_per_s() -> float:
    """Return the maximum-flow bound on the throughput of the pool."""
    targets = [spec.to_target() for spec in ENGINES]
    return PoolPlan.from_targets(targets, LAYER_COUNT).bound_tokens_per_s


def start_pool(
    deployment: Deployment,
    max_in_flight: int,
    timeout_s: float,
) -> None:
    """Start the engines and apply the tables.

    :param deployment: deployment whose platform runs.
    :param max_in_flight: in-flight limit of each engine.
    :param timeout_s: timeout of a draft.
    """
    for spec in ENGINES:
        deployment.start_target(
            spec.name,
            'engine',
            _POOL,
            spec.availability_zone,
            '--layers',
            spec.layers,
            '--layer-tokens-per-s',
            str(spec.layer_tokens_per_s),
            '--link-bytes-per-s',
            str(spec.link_bytes_per_s),
        )
    tables = deployment.path / 'tables.ini'
    text = _TABLES.format(timeout_s=timeout_s, max_in_flight=max_in_flight)
    tables.write_text(text, 'utf-8')
    processes.run_tool(
        'apply',
        str(tables),
        '--operator',
        'bench',
        '--platform',
        deployment.platform.url,
    )
