"""CPU of the deciders of routing and admission, by size of the pool."""

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
_SPANS = (10, 20, 40)
_SIZES = (30, 100, 300, 1000)
_CHOICES = 200
_US_PER_S = 1e6
_MS_PER_S = 1e3


def mixed_pool(count: int) -> tuple[Target, ...]:
    """Return engines of speeds 1:2:4, links 1:100, and three zones."""
    return tuple(_engine(number) for number in range(count))


def _engine(number: int) -> Target:
    kind = number % len(_SPANS)
    place = number // len(_SPANS)
    start = place * _SPANS[kind] % _LAYER_COUNT
    return Target(
        name=f'engine-{number}',
        address='127.0.0.1:1',
        pool='drafting',
        availability_zone=f'zone-{place % 3}',
        layers=LayerRange(start, start + _SPANS[kind]),
        layer_tokens_per_s=1_000.0 * 2**kind,
        link_bytes_per_s=1e6 if number % 10 == 0 else 1e8,
        activation_bytes=_ACTIVATION_BYTES,
    )


def cpu_s(action: Callable[[], object], count: int = 1) -> float:
    """Return the CPU seconds of one run of an action."""
    begin_s = time.process_time()
    for _ in range(count):
        action()
    return (time.process_time() - begin_s) / count


def measure_routing(count: int) -> dict[str, object]:
    """Return CPU of a plan and of a choice for a pool of a size."""
    pool = mixed_pool(count)
    plan = PoolPlan.from_targets(pool, _LAYER_COUNT)
    figures: dict[str, object] = {
        'engines': count,
        'groups': len(plan.groups),
        'chains': len(plan.chains),
        'bound_tokens_per_s': round(plan.bound_tokens_per_s, 1),
        'plan_ms': round(
            cpu_s(lambda: PoolPlan.from_targets(pool, _LAYER_COUNT), 5)
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
        figures[f'{name}_choice_us'] = _choice_us(policy, pool)
    return figures


def _choice_us(policy: ChainPolicy, pool: tuple[Target, ...]) -> float:
    query = ChainQuery('r', _LAYER_COUNT, 10_000, work_tokens=100)
    policy.choose(query, pool, 0)
    used_s = cpu_s(lambda: policy.choose(query, pool, 0), _CHOICES)
    return round(used_s * _US_PER_S, 1)


def measure_admission(teams: int, waiting: int) -> dict[str, object]:
    """Return CPU of a request's way through a queue that is full."""
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
        'refusal_us': round(cpu_s(offer, _CHOICES) * _US_PER_S, 1),
    }


def measure(*, is_quick: bool) -> Section:
    """Measure the deciders; there is no stated target for them."""
    sizes = _SIZES[:2] if is_quick else _SIZES
    routing = [measure_routing(size) for size in sizes]
    admission = [
        measure_admission(teams, waiting)
        for teams, waiting in ((10, 64), (10, 256), (64, 256))
    ]
    found = [
        Result(f'flow_choice_us_{each["engines"]}', each['flow_choice_us'])
        for each in routing
    ]
    found.extend(
        Result(f'plan_ms_{each["engines"]}', each['plan_ms'])
        for each in routing
    )
    details = {'routing': routing, 'admission': admission}
    return Section('policies', found, details)


def main() -> None:
    """Measure the deciders; print one JSON document."""
    print(json.dumps(measure(is_quick=False).details, indent=2))


if __name__ == '__main__':
    typer.run(main)
