"""Measure the CPU time and latency that the daemon adds to a request."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

import aiohttp

from nutmegspoke.bench import load_tool
from nutmegspoke.bench.deployment import Daemon, Deployment
from nutmegspoke.bench.results import Result, Section
from nutmegspoke.bench.sample_tables import SAMPLE_TABLES
from nutmegspoke.bench.usage import read_usage
from nutmegspoke.border.engine_client import RelayCarrier
from nutmegspoke.engine_protocol import StepReply
from nutmegspoke.layers import LayerRange, Stage
from nutmegspoke.pipelines.run import DraftInput, DraftRun, TokenReady

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager

_LAYER_RANGES = ('0-3', '3-6', '6-9', '9-12')
_LAYER_COUNT = 12
_LAYER_TOKENS_PER_S = '200000'
_CALLS = 600
_QUICK_CALLS = 150
_DRAFT_TOKENS = 64
_DRAFTS = 24
_QUICK_DRAFTS = 6
_CONCURRENCY = 4
_US_PER_S = 1_000_000
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Observation:
    """Latencies of one kind of call and the CPU time of the daemon."""

    times: load_tool.TimeHistogram
    cpu_s: float
    count: int

    @property
    def cpu_us(self) -> float:
        return self.cpu_s / self.count * _US_PER_S

    def percentile_ms(self, percent: float) -> float:
        return self.times.percentile_s(percent) * _MS_PER_S


def measure(*, is_quick: bool) -> Section:
    """Measure calls and drafts through the daemon and without it.

    :param is_quick: send fewer calls and drafts.
    """
    with Deployment() as deployment:
        for number, layers in enumerate(_LAYER_RANGES):
            deployment.start_target(
                f'engine-{number}',
                'engine',
                'drafting',
                'pnw-a',
                '--layers',
                layers,
                '--layer-tokens-per-s',
                _LAYER_TOKENS_PER_S,
            )
        deployment.start_target('records-1', 'service', 'records', 'pnw-a')
        deployment.apply_tables(SAMPLE_TABLES)
        daemon = deployment.start_daemon('daemon')
        deployment.wait_ready()
        deployment.wait_targets(daemon, len(_LAYER_RANGES) + 1)
        return asyncio.run(_measure(deployment, daemon, is_quick))


async def _measure(
    deployment: Deployment,
    daemon: Daemon,
    is_quick: bool,
) -> Section:
    calls = _QUICK_CALLS if is_quick else _CALLS
    drafts = _QUICK_DRAFTS if is_quick else _DRAFTS
    service = deployment.targets['records-1']
    async with aiohttp.ClientSession() as session:
        direct_calls = await _measure_calls(session, service.url, daemon, calls)
        routed_calls = await _measure_calls(session, daemon.url, daemon, calls)
        claimed_calls = await _measure_claimed_calls(session, daemon, calls)
        direct_drafts = await _measure_direct_drafts(deployment, daemon, drafts)
        routed_drafts = await _measure_routed_drafts(session, daemon, drafts)
    tokens = drafts * _DRAFT_TOKENS
    return Section(
        'cost of a request',
        [
            Result('direct_call_p50_ms', direct_calls.percentile_ms(50)),
            Result(
                'added_call_p50_ms',
                routed_calls.percentile_ms(50) - direct_calls.percentile_ms(50),
            ),
            Result(
                'added_call_p99_ms',
                routed_calls.percentile_ms(99) - direct_calls.percentile_ms(99),
            ),
            Result('call_cpu_us', routed_calls.cpu_us),
            Result('claimed_call_cpu_us', claimed_calls.cpu_us),
            Result('claimed_call_p50_ms', claimed_calls.percentile_ms(50)),
            Result('direct_token_gap_p50_ms', direct_drafts.percentile_ms(50)),
            Result(
                'added_token_gap_p50_ms',
                routed_drafts.percentile_ms(50)
                - direct_drafts.percentile_ms(50),
            ),
            Result(
                'added_token_gap_p99_ms',
                routed_drafts.percentile_ms(99)
                - direct_drafts.percentile_ms(99),
            ),
            Result('token_cpu_us', routed_drafts.cpu_s / tokens * _US_PER_S),
            Result(
                'token_and_hop_cpu_us',
                routed_drafts.cpu_s / tokens / len(_LAYER_RANGES) * _US_PER_S,
            ),
        ],
    )


async def _measure_calls(
    session: aiohttp.ClientSession,
    url: str,
    daemon: Daemon,
    count: int,
) -> _Observation:
    return await _send_calls(
        lambda number: session.get(f'{url}/roster/members'),
        daemon,
        count,
    )


async def _measure_claimed_calls(
    session: aiohttp.ClientSession,
    daemon: Daemon,
    count: int,
) -> _Observation:
    return await _send_calls(
        lambda number: session.post(
            f'{daemon.url}/mailings',
            json={'issue': number},
            headers={'Idempotency-Key': f'issue-{number}'},
        ),
        daemon,
        count,
    )


async def _send_calls(
    send: Callable[[int], AbstractAsyncContextManager[aiohttp.ClientResponse]],
    daemon: Daemon,
    count: int,
) -> _Observation:
    """Send calls one after another and read each answer completely."""
    times = load_tool.TimeHistogram()
    before = read_usage(daemon.process.popen.pid)
    for number in range(count):
        start_s = time.monotonic()
        async with send(number) as response:
            await response.read()
        times.record(time.monotonic() - start_s)
    after = read_usage(daemon.process.popen.pid)
    return _Observation(times, after.cpu_s - before.cpu_s, count)


async def _measure_routed_drafts(
    session: aiohttp.ClientSession,
    daemon: Daemon,
    count: int,
) -> _Observation:
    """Stream drafts through the daemon; record the times between tokens."""
    before = read_usage(daemon.process.popen.pid)
    plan = load_tool.LoadPlan(
        urls=(daemon.url,),
        token_counts=(_DRAFT_TOKENS,),
        prompt_words=(8,),
    )
    run = load_tool.LoadRun(plan)
    for _ in range(count // _CONCURRENCY or 1):
        await asyncio.gather(
            *(run.send_one(session) for _ in range(_CONCURRENCY)),
        )
    after = read_usage(daemon.process.popen.pid)
    return _Observation(run.tally.token_gap, after.cpu_s - before.cpu_s, count)


async def _measure_direct_drafts(
    deployment: Deployment,
    daemon: Daemon,
    count: int,
) -> _Observation:
    """Relay steps from this process; record the times between tokens."""
    times = load_tool.TimeHistogram()
    chain = tuple(
        Stage(name, target.address, _parse_range(_LAYER_RANGES[number]))
        for number, (name, target) in enumerate(deployment.targets.items())
        if number < len(_LAYER_RANGES)
    )
    async with aiohttp.ClientSession() as session:
        carrier = RelayCarrier(session, session)
        for number in range(0, count, _CONCURRENCY):
            await asyncio.gather(
                *(
                    _run_direct_draft(
                        carrier, chain, f'own-{number}-{index}', times
                    )
                    for index in range(_CONCURRENCY)
                ),
            )
    return _Observation(times, 0.0, count)


async def _run_direct_draft(
    carrier: RelayCarrier,
    chain: tuple[Stage, ...],
    stream_id: str,
    times: load_tool.TimeHistogram,
) -> None:
    plan = DraftInput(
        stream_id=stream_id,
        prompt='w1 w2 w3 w4 w5 w6 w7 w8',
        seed=1,
        layer_count=_LAYER_COUNT,
        max_tokens=_DRAFT_TOKENS,
    )
    run = DraftRun(plan, chain, attempt=1)
    next_step = run.begin()
    last_s = time.monotonic()
    while next_step is not None:
        reply = await carrier.carry(next_step.stage, next_step.step, 5.0)
        if not isinstance(reply, StepReply):
            raise RuntimeError(f'direct draft failed: {reply}')
        decision = run.accept(reply)
        next_step = getattr(decision, 'following', decision)
        if isinstance(decision, TokenReady):
            now_s = time.monotonic()
            if decision.number:
                times.record(now_s - last_s)
            last_s = now_s


def _parse_range(text: str) -> LayerRange:
    parsed = LayerRange.from_text(text)
    if parsed is None:
        raise ValueError(text)
    return parsed
