"""Measure the CPU time of routing and admission decisions by pool size."""

from __future__ import annotations

import json
import random
import time
from typing import TYPE_CHECKING

import typer

from nutmegspoke.admission.queueing import AdmissionQueue, QueueSettings
from nutmegspoke.admission.tickets import Ticket
from nutmegspoke.bench.results import Result, Section
from nutmegspoke.layers import LayerRange
from nutmegspoke.routing import baselines
from nutmegspoke.routing.choices import ChainQuery
from nutmegspoke.routing.flow import FlowChains
from nutmegspoke.routing.plan import PoolPlan
from nutmegspoke.targets import Target

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.routing.choices import ChainPolicy

_LAYER_COUNT = 80
_ACTIVATION_BYTES = 16_384
_LAYERS_PER_ENGINE = (10, 20, 40)
_POOL_SIZES = (30, 100, 300, 1000)
_REPETITIONS = 200
_US_PER_S = 1e6
_MS_PER_S = 1e3


def build_mixed_pool(count: int) -> tuple[Target, ...]:
    """Return engines in three availability zones.

    Their speeds are in the ratio 1:2:4, their link rates 1:100.
    """
    return tuple(_build_engine(number) for number in range(count))


def _build_engine(number: int) -> Target:
    kind = number % len(_LAYERS_PER_ENGINE)
    position = number // len(_LAYERS_PER_ENGINE)
    start = position * _LAYERS_PER_ENGINE[kind] % _LAYER_COUNT
    return Target(
        name=f'engine-{number}',
        address='127.0.0.1:1',
        pool='drafting',
        availability_zone=f'zone-{position % 3}',
        layers=LayerRange(start, start + _LAYERS_PER_ENGINE[kind]),
        layer_tokens_per_s=1_000.0 * 2**kind,
        link_bytes_per_s=1e6 if number % 10 == 0 else 1e8,
        activation_bytes=_ACTIVATION_BYTES,
    )


def measure_cpu_s(action: Callable[[], object], count: int = 1) -> float:
    """Return the mean CPU time in seconds of ``count`` runs of an action."""
    start_s = time.process_time()
    for _ in range(count):
        action()
    return (time.process_time() - start_s) / count


def measure_routing(count: int) -> dict[str, object]:
    """Measure the CPU time of a plan and of a chain choice.

    :param count: number of engines in the pool.
    """
    pool = build_mixed_pool(count)
    plan = PoolPlan.from_targets(pool, _LAYER_COUNT)
    figures: dict[str, object] = {
        'engines': count,
        'groups': len(plan.groups),
        'chains': len(plan.chains),
        'bound_tokens_per_s': round(plan.bound_tokens_per_s, 1),
        'plan_ms': round(
            measure_cpu_s(lambda: PoolPlan.from_targets(pool, _LAYER_COUNT), 5)
            * _MS_PER_S,
            2,
        ),
    }
    policies: dict[str, ChainPolicy] = {
        'flow': FlowChains(),
        'random': baselines.RandomChains(random.Random(1)),
        'round_robin': baselines.RoundRobinChains(),
        'least_in_flight': baselines.LeastInFlightChains(),
    }
    for name, policy in policies.items():
        figures[f'{name}_choice_us'] = _measure_choice_us(policy, pool)
    return figures


def _measure_choice_us(policy: ChainPolicy, pool: tuple[Target, ...]) -> float:
    query = ChainQuery('r', _LAYER_COUNT, 10_000, work_tokens=100)
    policy.choose(query, pool, 0)
    choice_s = measure_cpu_s(
        lambda: policy.choose(query, pool, 0), _REPETITIONS
    )
    return round(choice_s * _US_PER_S, 1)


def measure_admission(teams: int, waiting: int) -> dict[str, object]:
    """Measure the CPU time of offering a request to a full queue.

    :param teams: number of teams that share the queue.
    :param waiting: maximum length of the queue.
    """
    queue = AdmissionQueue(QueueSettings(waiting), 16, random.Random(1))
    numbers = iter(range(10_000_000))

    def offer() -> Ticket:
        number = next(numbers)
        ticket = Ticket(
            f'r{number}',
            f'team-{number % teams}',
            deadline_s=1e9,
            retry_key=f'r{number % 1000}',
        )
        queue.offer(ticket, number * 1e-3)
        return ticket

    for _ in range(waiting + 16):
        offer()
    return {
        'teams': teams,
        'waiting': waiting,
        'refusal_us': round(measure_cpu_s(offer, _REPETITIONS) * _US_PER_S, 1),
    }


def measure(*, is_quick: bool) -> Section:
    """Measure routing and admission decisions; they have no targets.

    :param is_quick: measure fewer pool sizes.
    """
    sizes = _POOL_SIZES[:2] if is_quick else _POOL_SIZES
    routing = [measure_routing(size) for size in sizes]
    admission = [
        measure_admission(teams, waiting)
        for teams, waiting in ((10, 64), (10, 256), (64, 256))
    ]
    results = [
        Result(f'flow_choice_us_{each["engines"]}', each['flow_choice_us'])
        for each in routing
    ]
    results.extend(
        Result(f'plan_ms_{each["engines"]}', each['plan_ms'])
        for each in routing
    )
    details = {'routing': routing, 'admission': admission}
    return Section('policies', results, details)


def main() -> None:
    """Measure routing and admission decisions; print one JSON document."""
    print(json.dumps(measure(is_quick=False).details, indent=2))


if __name__ == '__main__':
    typer.run(main)
