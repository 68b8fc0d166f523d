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

from nutmegspoke.bench import mixed_pool
from nutmegspoke.bench.deployment import DaemonOptions, Deployment
from nutmegspoke.bench.draft_load import DraftLoad, DraftResult, DraftSizes
from nutmegspoke.bench.results import Result, Section

_FLOW = 'flow'
POLICIES = (_FLOW, 'random', 'round_robin', 'least_in_flight')
_CALLERS = 160
_REFUSED = frozenset((429, 503))
_SMALL_CALLERS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """What is measured.

    :param seconds: length of each measured span.
    :param warm_up_s: time before each span.
    :param overload_s: length of the measured spans of the overload.
    :param policies: policies at full load.
    :param max_in_flight: in-flight limit of each engine.
    :param daemons: number of daemons.
    :param timeout_s: time that a draft may take.
    """

    seconds: float = 30.0
    warm_up_s: float = 45.0
    overload_s: float = 90.0
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
        self.bound = mixed_pool.bound_tokens_per_s()

    def start(self) -> None:
        """Start the engines and write the tables."""
        mixed_pool.start_pool(
            self._deployment,
            self._options.max_in_flight,
            self._options.timeout_s,
        )

    def full_load(self, policy: str) -> dict[str, object]:
        """Measure a policy with more callers than the pool has places."""
        load = self._load(policy)
        seconds = self._options.warm_up_s + self._options.seconds
        asyncio.run(load.closed_loop('press', _CALLERS, seconds))
        return self._summary(load, policy, self._options.seconds)

    def overload(self, factor: float) -> dict[str, object]:
        """Measure goodput of the flow policy at a multiple of the bound."""
        drafts_per_s = factor * self.bound / self._sizes.mean_work()
        load = self._load(_FLOW)
        seconds = self._options.warm_up_s + self._options.overload_s
        asyncio.run(load.open_loop('press', drafts_per_s, seconds))
        span_s = self._options.overload_s
        return self._summary(load, _FLOW, span_s) | {'offered': factor}

    def fairness(self) -> dict[str, object]:
        """Measure a small team alone and beside a tenfold flood."""
        seconds = self._options.warm_up_s + self._options.seconds
        alone = self._load(_FLOW)
        asyncio.run(alone.closed_loop('small', _SMALL_CALLERS, seconds))
        flooded = self._load(_FLOW)

        async def both() -> None:
            await asyncio.gather(
                flooded.closed_loop('small', _SMALL_CALLERS, seconds),
                flooded.closed_loop('large', 10 * _SMALL_CALLERS, seconds),
            )

        asyncio.run(both())
        begin_s = self._options.warm_up_s
        alone_s = _p95(_whole_after(alone, 'small', begin_s))
        flooded_s = _p95(_whole_after(flooded, 'small', begin_s))
        return {
            'alone_p95_s_a_token': alone_s,
            'flooded_p95_s_a_token': flooded_s,
            'ratio': round(flooded_s / alone_s, 3) if alone_s else None,
            'alone_drafts': len(_whole_after(alone, 'small', begin_s)),
            'flooded_drafts': len(_whole_after(flooded, 'small', begin_s)),
            'small_refused': sum(
                each.status in _REFUSED
                for each in flooded.drafts
                if each.team == 'small'
            ),
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
            self._deployment.wait_targets(daemon, len(mixed_pool.ENGINES))
        time.sleep(0.5)
        return DraftLoad(urls, seed=17, sizes=self._sizes)

    def _summary(
        self,
        load: DraftLoad,
        policy: str,
        span_s: float,
    ) -> dict[str, object]:
        begin_s = (
            min(each.sent_s for each in load.drafts) + self._options.warm_up_s
        )
        end_s = begin_s + span_s
        positions = sum(
            each.positions_between(begin_s, end_s) for each in load.drafts
        )
        ended = [
            each for each in load.drafts if begin_s <= each.ended_s < end_s
        ]
        whole = [each for each in ended if each.is_whole]
        rate = positions / span_s
        return {
            'policy': policy,
            'tokens_per_s': round(rate, 2),
            'share_of_bound': round(rate / self.bound, 4),
            'whole': len(whole),
            'refused': sum(each.status in _REFUSED for each in ended),
            'cut': sum(
                each.status == 200 and not each.is_whole for each in ended
            ),
            'goodput_share': round(
                sum(each.work for each in whole) / span_s / self.bound,
                4,
            ),
            'p95_s_a_token': _p95(whole),
        }


def _whole_after(
    load: DraftLoad,
    team: str,
    warm_up_s: float,
) -> list[DraftResult]:
    begin_s = min(each.sent_s for each in load.drafts) + warm_up_s
    return [
        each
        for each in load.drafts
        if each.is_whole and each.team == team and each.sent_s >= begin_s
    ]


def _p95(drafts: list[DraftResult]) -> float:
    """Return the 95th percentile of the time for each token of an answer."""
    times = sorted(each.latency_s / len(each.token_times_s) for each in drafts)
    if not times:
        return 0.0
    return round(times[min(len(times) - 1, int(len(times) * 0.95))], 4)


def run_parts(options: Options, parts: str) -> dict[str, object]:
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


def measure(*, is_quick: bool) -> Section:
    """Measure against the targets.

    A quick run shows two policies without a verdict, as its spans are too
    short for the in-flight limit to settle.
    """
    if is_quick:
        options = Options(
            seconds=6,
            warm_up_s=6,
            policies=(_FLOW, 'least_in_flight'),
        )
        report = run_parts(options, 'p')
        return Section('throughput', _shares(report), report)
    report = run_parts(Options(), 'pof')
    full, overload = report['full_load'], report['overload']
    shares = {each['policy']: each['share_of_bound'] for each in full}
    best = max(share for name, share in shares.items() if name != _FLOW)
    at_once, at_twice = (each['goodput_share'] for each in overload)
    found = [
        Result.at_least('flow_share_of_bound', shares[_FLOW], 0.95),
        Result.at_least('flow_over_best_baseline', shares[_FLOW] / best, 1),
        Result.at_least('goodput_twice_over_once', at_twice / at_once, 0.9),
        Result.at_most(
            'small_team_p95_flooded_over_alone',
            report['fairness']['ratio'],
            1.5,
        ),
    ]
    return Section('throughput', found + _shares(report), report)


def _shares(report: dict[str, object]) -> list[Result]:
    return [
        Result(f'{each["policy"]}_share_of_bound', each['share_of_bound'])
        for each in report['full_load']
    ]


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
    text = json.dumps(run_parts(options, parts), indent=2)
    if output is not None:
        output.write_text(text, 'utf-8')
    print(text)


if __name__ == '__main__':
    typer.run(main)
