"""Measure throughput, overload and fairness with engine stand-ins.

The engines of the pool have three speeds (1:2:4) and links whose rates differ
by a factor of 100. In one run, the throughput of each policy at full load is
measured as a share of the maximum-flow bound. The flow policy is then measured
with a load of once and twice the bound, and with a small team while another
team sends ten times as many requests.
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
_FULL_LOAD_CALLERS = 160
_REFUSED_STATUSES = frozenset((429, 503))
_SMALL_TEAM_CALLERS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of the measurements.

    :param seconds: duration of each measured span.
    :param warm_up_s: warm-up time before each span.
    :param overload_s: duration of each measured span under overload.
    :param policies: policies to measure at full load.
    :param max_in_flight: in-flight limit of each engine.
    :param daemons: number of daemons.
    :param timeout_s: timeout of a draft.
    """

    seconds: float = 30.0
    warm_up_s: float = 45.0
    overload_s: float = 90.0
    policies: tuple[str, ...] = POLICIES
    max_in_flight: int = 64
    daemons: int = 1
    timeout_s: float = 120.0


class ThroughputBench:
    """Measurements that share one set of engines."""

    def __init__(self, deployment: Deployment, options: Options) -> None:
        """Prepare the measurements.

        :param deployment: deployment whose platform runs.
        :param options: options of the measurements.
        """
        self._deployment = deployment
        self._options = options
        self._sizes = DraftSizes()
        # Times that the daemons were replaced; part of the names of new ones.
        self._round_count = 0
        self.bound_tokens_per_s = mixed_pool.bound_tokens_per_s()

    def start(self) -> None:
        """Start the engines and apply the tables."""
        mixed_pool.start_pool(
            self._deployment,
            self._options.max_in_flight,
            self._options.timeout_s,
        )

    def measure_full_load(self, policy: str) -> dict[str, object]:
        """Measure a policy with more callers than the pool has capacity for."""
        load = self._start_load(policy)
        seconds = self._options.warm_up_s + self._options.seconds
        asyncio.run(load.run_closed_loop('press', _FULL_LOAD_CALLERS, seconds))
        return self._summarize(load, policy, self._options.seconds)

    def measure_overload(self, factor: float) -> dict[str, object]:
        """Measure the goodput of the flow policy.

        :param factor: offered load as a multiple of the bound.
        """
        drafts_per_s = (
            factor * self.bound_tokens_per_s / self._sizes.mean_positions()
        )
        load = self._start_load(_FLOW)
        seconds = self._options.warm_up_s + self._options.overload_s
        asyncio.run(load.run_open_loop('press', drafts_per_s, seconds))
        span_s = self._options.overload_s
        return self._summarize(load, _FLOW, span_s) | {'offered': factor}

    def measure_fairness(self) -> dict[str, object]:
        """Measure a small team alone and beside a team ten times its size."""
        seconds = self._options.warm_up_s + self._options.seconds
        alone = self._start_load(_FLOW)
        asyncio.run(
            alone.run_closed_loop('small', _SMALL_TEAM_CALLERS, seconds)
        )
        flooded = self._start_load(_FLOW)

        async def run_both_teams() -> None:
            await asyncio.gather(
                flooded.run_closed_loop('small', _SMALL_TEAM_CALLERS, seconds),
                flooded.run_closed_loop(
                    'large', 10 * _SMALL_TEAM_CALLERS, seconds
                ),
            )

        asyncio.run(run_both_teams())
        warm_up_s = self._options.warm_up_s
        alone_s = _p95_s_per_token(_complete_drafts(alone, 'small', warm_up_s))
        flooded_s = _p95_s_per_token(
            _complete_drafts(flooded, 'small', warm_up_s)
        )
        return {
            'alone_p95_s_a_token': alone_s,
            'flooded_p95_s_a_token': flooded_s,
            'ratio': round(flooded_s / alone_s, 3) if alone_s else None,
            'alone_drafts': len(_complete_drafts(alone, 'small', warm_up_s)),
            'flooded_drafts': len(
                _complete_drafts(flooded, 'small', warm_up_s)
            ),
            'small_refused': sum(
                each.status in _REFUSED_STATUSES
                for each in flooded.drafts
                if each.team == 'small'
            ),
        }

    def _start_load(self, policy: str) -> DraftLoad:
        """Replace the daemons by ones with a policy; return a load for them."""
        for daemon in self._deployment.daemons.values():
            daemon.process.end()
        self._deployment.daemons.clear()
        self._round_count += 1
        urls = []
        for number in range(self._options.daemons):
            zone = ('pnw-a', 'pnw-b', 'pnw-c')[number % 3]
            daemon = self._deployment.start_daemon(
                f'daemon-{self._round_count}-{number}',
                DaemonOptions(availability_zone=zone, policy=policy),
            )
            urls.append(daemon.url)
        self._deployment.wait_ready()
        for daemon in self._deployment.daemons.values():
            self._deployment.wait_targets(daemon, len(mixed_pool.ENGINES))
        time.sleep(0.5)
        return DraftLoad(urls, seed=17, sizes=self._sizes)

    def _summarize(
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
            each.count_positions(begin_s, end_s) for each in load.drafts
        )
        ended = [
            each for each in load.drafts if begin_s <= each.ended_s < end_s
        ]
        complete = [each for each in ended if each.is_complete]
        # Positions, those of the prompt included, count as tokens.
        rate_per_s = positions / span_s
        return {
            'policy': policy,
            'tokens_per_s': round(rate_per_s, 2),
            'share_of_bound': round(rate_per_s / self.bound_tokens_per_s, 4),
            'whole': len(complete),
            'refused': sum(each.status in _REFUSED_STATUSES for each in ended),
            'cut': sum(
                each.status == 200 and not each.is_complete for each in ended
            ),
            'goodput_share': round(
                sum(each.position_count for each in complete)
                / span_s
                / self.bound_tokens_per_s,
                4,
            ),
            'p95_s_a_token': _p95_s_per_token(complete),
        }


def _complete_drafts(
    load: DraftLoad,
    team: str,
    warm_up_s: float,
) -> list[DraftResult]:
    begin_s = min(each.sent_s for each in load.drafts) + warm_up_s
    return [
        each
        for each in load.drafts
        if each.is_complete and each.team == team and each.sent_s >= begin_s
    ]


def _p95_s_per_token(drafts: list[DraftResult]) -> float:
    """Return the 95th percentile of the mean time per token of an answer."""
    times = sorted(each.latency_s / len(each.token_times_s) for each in drafts)
    if not times:
        return 0.0
    return round(times[min(len(times) - 1, int(len(times) * 0.95))], 4)


def run_parts(options: Options, parts: str) -> dict[str, object]:
    """Run the measurements.

    :param options: options of the measurements.
    :param parts: letters of the parts to run: ``p`` for policies, ``o`` for
        overload, ``f`` for fairness.
    """
    report: dict[str, object] = {'options': dataclasses.asdict(options)}
    with Deployment() as deployment:
        bench = ThroughputBench(deployment, options)
        bench.start()
        report['bound_tokens_per_s'] = round(bench.bound_tokens_per_s, 3)
        if 'p' in parts:
            report['full_load'] = [
                _print_figures(bench.measure_full_load(policy))
                for policy in options.policies
            ]
        if 'o' in parts:
            report['overload'] = [
                _print_figures(bench.measure_overload(factor))
                for factor in (1.0, 2.0)
            ]
        if 'f' in parts:
            report['fairness'] = _print_figures(bench.measure_fairness())
    return report


def measure(*, is_quick: bool) -> Section:
    """Measure throughput, overload and fairness against the goals.

    A quick run measures two policies without goals, because its spans are too
    short for the adaptive in-flight limits to converge.
    """
    if is_quick:
        options = Options(
            seconds=6,
            warm_up_s=6,
            policies=(_FLOW, 'least_in_flight'),
        )
        report = run_parts(options, 'p')
        return Section('throughput', _share_results(report), report)
    report = run_parts(Options(), 'pof')
    full, overload = report['full_load'], report['overload']
    shares = {each['policy']: each['share_of_bound'] for each in full}
    best_baseline = max(
        share for name, share in shares.items() if name != _FLOW
    )
    goodput_at_bound, goodput_at_twice_bound = (
        each['goodput_share'] for each in overload
    )
    target_results = [
        Result.at_least('flow_share_of_bound', shares[_FLOW], 0.95),
        Result.at_least(
            'flow_over_best_baseline', shares[_FLOW] / best_baseline, 1
        ),
        Result.at_least(
            'goodput_twice_over_once',
            goodput_at_twice_bound / goodput_at_bound,
            0.9,
        ),
        Result.at_most(
            'small_team_p95_flooded_over_alone',
            report['fairness']['ratio'],
            1.5,
        ),
    ]
    return Section(
        'throughput', target_results + _share_results(report), report
    )


def _share_results(report: dict[str, object]) -> list[Result]:
    return [
        Result(f'{each["policy"]}_share_of_bound', each['share_of_bound'])
        for each in report['full_load']
    ]


def _print_figures(figures: dict[str, object]) -> dict[str, object]:
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
