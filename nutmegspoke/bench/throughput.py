"""Throughput, overload and fairness over real engine stand-ins.

Engines of three speeds, 1:2:4, behind links that differ a hundredfold serve
one pool. Each policy is measured at full load in the same run, as a share of
the bound of the maximum flow; the flow policy then at once and twice that
load, and with a small team beside a flood.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import pathlib
import sys
import time
from typing import Annotated

import typer

from nutmegspoke.bench import processes
from nutmegspoke.bench.deployment import DaemonOptions, Deployment
from nutmegspoke.bench.draft_load import DraftLoad, DraftResult, DraftSizes
from nutmegspoke.layers import LayerRange
from nutmegspoke.routing.plan import PoolPlan
from nutmegspoke.targets import Target

POLICIES = ('flow', 'random', 'round_robin', 'least_in_flight')
_LAYER_COUNT = 12
_ACTIVATION_BYTES = 16_384
_BASE_SPEED = 60.0
_FAST_LINK_BYTES_PER_S = 1_000.0 * _ACTIVATION_BYTES
_SLOW_LINK_BYTES_PER_S = _FAST_LINK_BYTES_PER_S / 100
_POOL = 'drafting'
_CALLERS = 160
_SMALL_CALLERS = 2
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

    :param name: its name.
    :param layers: layers that it holds.
    :param speed: layers times tokens a second.
    :param zone: its availability zone.
    :param link_bytes_per_s: rate of its link.
    """

    name: str
    layers: str
    speed: float
    zone: str
    link_bytes_per_s: float = _FAST_LINK_BYTES_PER_S

    def target(self) -> Target:
        """Return the engine as the router sees it."""
        return Target(
            name=self.name,
            address='',
            pool=_POOL,
            availability_zone=self.zone,
            layers=LayerRange.from_text(self.layers),
            layer_tokens_per_s=self.speed,
            link_bytes_per_s=self.link_bytes_per_s,
            activation_bytes=_ACTIVATION_BYTES,
        )


ENGINES = (
    EngineSpec('fast-a', '0-6', 4 * _BASE_SPEED, 'pnw-a'),
    EngineSpec('fast-b', '6-12', 4 * _BASE_SPEED, 'pnw-b'),
    EngineSpec(
        'fast-c', '0-6', 4 * _BASE_SPEED, 'pnw-c', _SLOW_LINK_BYTES_PER_S
    ),
    EngineSpec('mid-a', '0-4', 2 * _BASE_SPEED, 'pnw-a'),
    EngineSpec('mid-b', '4-8', 2 * _BASE_SPEED, 'pnw-b'),
    EngineSpec('mid-c', '8-12', 2 * _BASE_SPEED, 'pnw-c'),
    EngineSpec('slow-a', '0-3', _BASE_SPEED, 'pnw-a'),
    EngineSpec('slow-b', '3-6', _BASE_SPEED, 'pnw-b'),
    EngineSpec('slow-c', '6-9', _BASE_SPEED, 'pnw-c'),
    EngineSpec('slow-d', '9-12', _BASE_SPEED, 'pnw-a'),
    EngineSpec('slow-e', '6-9', _BASE_SPEED, 'pnw-b', _SLOW_LINK_BYTES_PER_S),
    EngineSpec('slow-f', '9-12', _BASE_SPEED, 'pnw-c'),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """What is measured.

    :param seconds: length of each measured span.
    :param warm_up_s: time before each span.
    :param policies: policies at full load.
    :param max_in_flight: in-flight limit of each engine.
    :param daemons: number of daemons.
    :param timeout_s: time that a draft may take.
    """

    seconds: float = 30.0
    warm_up_s: float = 45.0
    policies: tuple[str, ...] = POLICIES
    max_in_flight: int = 64
    daemons: int = 1
    timeout_s: float = 120.0


class ThroughputBench:
    """Runs the measurements on one set of engines."""

    def __init__(self, deployment: Deployment, options: Options) -> None:
        """Use a deployment that has begun."""
        self._deployment = deployment
        self._options = options
        self._sizes = DraftSizes()
        self._round = 0
        plan = PoolPlan.from_targets(
            [spec.target() for spec in ENGINES],
            _LAYER_COUNT,
        )
        self.bound = plan.bound_tokens_per_s

    def start(self) -> None:
        """Start the engines and write the tables."""
        for spec in ENGINES:
            self._deployment.start_target(
                spec.name,
                'engine',
                _POOL,
                spec.zone,
                '--layers',
                spec.layers,
                '--layer-tokens-per-s',
                str(spec.speed),
                '--link-bytes-per-s',
                str(spec.link_bytes_per_s),
            )
        tables = self._deployment.path / 'tables.ini'
        text = _TABLES.format(
            timeout_s=self._options.timeout_s,
            max_in_flight=self._options.max_in_flight,
        )
        tables.write_text(text, 'utf-8')
        processes.run_tool(
            'apply',
            str(tables),
            '--operator',
            'bench',
            '--platform',
            self._deployment.platform.url,
        )

    def full_load(self, policy: str) -> dict[str, object]:
        """Measure a policy with more callers than the pool has places."""
        load = self._load(policy)
        seconds = self._options.warm_up_s + self._options.seconds
        asyncio.run(load.closed_loop('press', _CALLERS, seconds))
        return self._summary(load, policy)

    def overload(self, factor: float) -> dict[str, object]:
        """Measure goodput of the flow policy at a multiple of the bound."""
        drafts_per_s = factor * self.bound / self._sizes.mean_work()
        load = self._load('flow')
        seconds = self._options.warm_up_s + self._options.seconds
        asyncio.run(load.open_loop('press', drafts_per_s, seconds))
        return self._summary(load, 'flow') | {'offered': factor}

    def fairness(self) -> dict[str, object]:
        """Measure a small team alone and beside a tenfold flood."""
        seconds = self._options.warm_up_s + self._options.seconds
        alone = self._load('flow')
        asyncio.run(alone.closed_loop('small', _SMALL_CALLERS, seconds))
        flooded = self._load('flow')

        async def both() -> None:
            await asyncio.gather(
                flooded.closed_loop('small', _SMALL_CALLERS, seconds),
                flooded.closed_loop('large', 10 * _SMALL_CALLERS, seconds),
            )

        asyncio.run(both())
        alone_s = _p95([each for each in alone.drafts if each.is_whole])
        small = [each for each in flooded.drafts if each.team == 'small']
        flooded_s = _p95([each for each in small if each.is_whole])
        return {
            'alone_p95_s_a_token': alone_s,
            'flooded_p95_s_a_token': flooded_s,
            'ratio': flooded_s / alone_s if alone_s else None,
            'small_refused': sum(not each.is_whole for each in small),
        }

    def _load(self, policy: str) -> DraftLoad:
        """Start daemons of a policy and return a load for them."""
        for daemon in self._deployment.daemons.values():
            daemon.process.end()
        self._deployment.daemons.clear()
        self._round += 1
        urls = []
        for number in range(self._options.daemons):
            zone = ('pnw-a', 'pnw-b', 'pnw-c')[number % 3]
            daemon = self._deployment.start_daemon(
                f'daemon-{self._round}-{number}',
                DaemonOptions(availability_zone=zone, policy=policy),
            )
            urls.append(daemon.url)
        self._deployment.wait_ready()
        for daemon in self._deployment.daemons.values():
            self._deployment.wait_targets(daemon, len(ENGINES))
        time.sleep(0.5)
        return DraftLoad(urls, seed=17, sizes=self._sizes)

    def _summary(self, load: DraftLoad, policy: str) -> dict[str, object]:
        begin_s = (
            min(each.sent_s for each in load.drafts) + self._options.warm_up_s
        )
        end_s = begin_s + self._options.seconds
        positions = sum(
            each.positions_between(begin_s, end_s) for each in load.drafts
        )
        ended = [
            each for each in load.drafts if begin_s <= each.ended_s < end_s
        ]
        whole = [each for each in ended if each.is_whole]
        rate = positions / self._options.seconds
        return {
            'policy': policy,
            'tokens_per_s': round(rate, 2),
            'share_of_bound': round(rate / self.bound, 4),
            'whole': len(whole),
            'refused': sum(each.status in {429, 503} for each in ended),
            'cut': sum(
                each.status == 200 and not each.is_whole for each in ended
            ),
            'goodput_share': round(
                sum(each.work for each in whole)
                / self._options.seconds
                / self.bound,
                4,
            ),
            'p95_s_a_token': _p95(whole),
        }


def _p95(drafts: list[DraftResult]) -> float:
    """Return the 95th percentile of the time for each token of an answer."""
    times = sorted(each.latency_s / len(each.token_times_s) for each in drafts)
    if not times:
        return 0.0
    return round(times[min(len(times) - 1, int(len(times) * 0.95))], 4)


def measure(options: Options, parts: str) -> dict[str, object]:
    """Run the measurements.

    :param options: what is measured.
    :param parts: letters of the parts: ``p`` policies, ``o`` overload,
        ``f`` fairness.
    """
    report: dict[str, object] = {'options': dataclasses.asdict(options)}
    with Deployment() as deployment:
        bench = ThroughputBench(deployment, options)
        bench.start()
        report['bound_tokens_per_s'] = round(bench.bound, 3)
        if 'p' in parts:
            report['full_load'] = [
                _told(bench.full_load(policy)) for policy in options.policies
            ]
        if 'o' in parts:
            report['overload'] = [
                _told(bench.overload(factor)) for factor in (1.0, 2.0)
            ]
        if 'f' in parts:
            report['fairness'] = _told(bench.fairness())
    return report


def _told(figures: dict[str, object]) -> dict[str, object]:
    print(json.dumps(figures), file=sys.stderr, flush=True)
    return figures


def main(
    seconds: float = 30.0,
    warm_up_s: float = 45.0,
    policies: str = 'flow,random,round_robin,least_in_flight',
    max_in_flight: int = 64,
    daemons: int = 1,
    timeout_s: float = 120.0,
    parts: str = 'pof',
    output: Annotated[pathlib.Path | None, typer.Option()] = None,
) -> None:
    """Measure throughput, overload and fairness; print one JSON document."""
    options = Options(
        seconds=seconds,
        warm_up_s=warm_up_s,
        policies=tuple(policies.split(',')),
        max_in_flight=max_in_flight,
        daemons=daemons,
        timeout_s=timeout_s,
    )
    text = json.dumps(measure(options, parts), indent=2)
    if output is not None:
        output.write_text(text, 'utf-8')
    print(text)


if __name__ == '__main__':
    typer.run(main)
