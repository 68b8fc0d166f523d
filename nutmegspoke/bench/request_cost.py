"""Measures what the daemon adds to a request, in processor time and latency."""

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
from nutmegspoke.bench.usage import usage_of
from nutmegspoke.border.engine_client import RelayCarrier
from nutmegspoke.engine_protocol import StepReply
from nutmegspoke.layers import LayerRange, Stage
from nutmegspoke.pipelines.run import DraftPlan, DraftRun, TokenReady

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager

_HOPS = ('0-3', '3-6', '6-9', '9-12')
_LAYER_COUNT = 12
_RATE = '200000'
_CALLS = 600
_QUICK_CALLS = 150
_DRAFT_TOKENS = 64
_DRAFTS = 24
_QUICK_DRAFTS = 6
_CONCURRENCY = 4
_US_PER_S = 1_000_000
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Observed:
    """Times of the calls of one kind, and the daemon's processor time."""

    times: load_tool.Times
    cpu_s: float
    count: int

    @property
    def cpu_us(self) -> float:
        return self.cpu_s / self.count * _US_PER_S

    def at_ms(self, percent: float) -> float:
        return self.times.at(percent) * _MS_PER_S


def measure(*, is_quick: bool) -> Section:
    """Return the cost of calls and drafts beside direct ones.

    :param is_quick: fewer calls.
    """
    with Deployment() as deployment:
        for number, layers in enumerate(_HOPS):
            deployment.start_target(
                f'engine-{number}',
                'engine',
                'drafting',
                'pnw-a',
                '--layers',
                layers,
                '--layer-tokens-per-s',
                _RATE,
            )
        deployment.start_target('records-1', 'service', 'records', 'pnw-a')
        deployment.apply_tables(SAMPLE_TABLES)
        daemon = deployment.start_daemon('daemon')
        deployment.wait_ready()
        deployment.wait_targets(daemon, len(_HOPS) + 1)
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
        direct = await _calls(session, service.url, daemon, calls)
        routed = await _calls(session, daemon.url, daemon, calls)
        claimed = await _claimed(session, daemon, calls)
        own = await _direct_drafts(deployment, daemon, drafts)
        relayed = await _drafts(session, daemon, drafts)
    tokens = drafts * _DRAFT_TOKENS
    return Section(
        'cost of a request',
        [
            Result('direct_call_p50_ms', direct.at_ms(50)),
            Result('added_call_p50_ms', routed.at_ms(50) - direct.at_ms(50)),
            Result('added_call_p99_ms', routed.at_ms(99) - direct.at_ms(99)),
            Result('call_cpu_us', routed.cpu_us),
            Result('claimed_call_cpu_us', claimed.cpu_us),
            Result('claimed_call_p50_ms', claimed.at_ms(50)),
            Result('direct_token_gap_p50_ms', own.at_ms(50)),
            Result('added_token_gap_p50_ms', relayed.at_ms(50) - own.at_ms(50)),
            Result('added_token_gap_p99_ms', relayed.at_ms(99) - own.at_ms(99)),
            Result('token_cpu_us', relayed.cpu_s / tokens * _US_PER_S),
            Result(
                'token_and_hop_cpu_us',
                relayed.cpu_s / tokens / len(_HOPS) * _US_PER_S,
            ),
        ],
    )


async def _calls(
    session: aiohttp.ClientSession,
    url: str,
    daemon: Daemon,
    count: int,
) -> _Observed:
    return await _observed(
        lambda number: session.get(f'{url}/roster/members'),
        daemon,
        count,
    )


async def _claimed(
    session: aiohttp.ClientSession,
    daemon: Daemon,
    count: int,
) -> _Observed:
    return await _observed(
        lambda number: session.post(
            f'{daemon.url}/mailings',
            json={'issue': number},
            headers={'Idempotency-Key': f'issue-{number}'},
        ),
        daemon,
        count,
    )


async def _observed(
    send: Callable[[int], AbstractAsyncContextManager[aiohttp.ClientResponse]],
    daemon: Daemon,
    count: int,
) -> _Observed:
    """Send calls one after another and read each answer whole."""
    times = load_tool.Times()
    before = usage_of(daemon.process.popen.pid)
    for number in range(count):
        began_s = time.monotonic()
        async with send(number) as response:
            await response.read()
        times.record(time.monotonic() - began_s)
    after = usage_of(daemon.process.popen.pid)
    return _Observed(times, after.cpu_s - before.cpu_s, count)


async def _drafts(
    session: aiohttp.ClientSession,
    daemon: Daemon,
    count: int,
) -> _Observed:
    """Stream drafts through the daemon; the times are those between tokens."""
    before = usage_of(daemon.process.popen.pid)
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
    after = usage_of(daemon.process.popen.pid)
    return _Observed(run.tally.token_gap, after.cpu_s - before.cpu_s, count)


async def _direct_drafts(
    deployment: Deployment,
    daemon: Daemon,
    count: int,
) -> _Observed:
    """Relay steps from this process; the times are those between tokens."""
    times = load_tool.Times()
    chain = tuple(
        Stage(name, target.address, _range(_HOPS[number]))
        for number, (name, target) in enumerate(deployment.targets.items())
        if number < len(_HOPS)
    )
    async with aiohttp.ClientSession() as session:
        carrier = RelayCarrier(session, session)
        for number in range(0, count, _CONCURRENCY):
            await asyncio.gather(
                *(
                    _direct_draft(carrier, chain, f'own-{number}-{each}', times)
                    for each in range(_CONCURRENCY)
                ),
            )
    return _Observed(times, 0.0, count)


async def _direct_draft(
    carrier: RelayCarrier,
    chain: tuple[Stage, ...],
    stream_id: str,
    times: load_tool.Times,
) -> None:
    plan = DraftPlan(
        stream_id=stream_id,
        prompt='w1 w2 w3 w4 w5 w6 w7 w8',
        seed=1,
        layer_count=_LAYER_COUNT,
        max_tokens=_DRAFT_TOKENS,
    )
    run = DraftRun(plan, chain, attempt=1)
    following = run.begin()
    last_s = time.monotonic()
    while following is not None:
        reply = await carrier.carry(following.stage, following.step, 5.0)
        if not isinstance(reply, StepReply):
            raise RuntimeError(f'direct draft failed: {reply}')
        decision = run.accept(reply)
        following = getattr(decision, 'following', decision)
        if isinstance(decision, TokenReady):
            now_s = time.monotonic()
            if decision.number:
                times.record(now_s - last_s)
            last_s = now_s


def _range(text: str) -> LayerRange:
    parsed = LayerRange.from_text(text)
    if parsed is None:
        raise ValueError(text)
    return parsed
