"""Measure the CPU time of both step carriers per token and hop."""

from __future__ import annotations

import asyncio
import json
import pathlib
import tempfile
import time
import types
from typing import TYPE_CHECKING, Any

from nutmegspoke.border.loop import new_runner  # isort: skip -- sets the loop

import aiohttp
import typer

from nutmegspoke.bench import processes
from nutmegspoke.bench.results import Result, Section
from nutmegspoke.border.engine_client import RelayCarrier
from nutmegspoke.border.pass_on import PassOnCarrier
from nutmegspoke.engine_protocol import LOAD_PATH, StepReply
from nutmegspoke.layers import LayerRange, Stage
from nutmegspoke.pipelines.carrier import Lookahead
from nutmegspoke.pipelines.decisions import SendStep, TokenReady
from nutmegspoke.pipelines.run import DraftInput, DraftRun

if TYPE_CHECKING:
    from nutmegspoke.layers import Chain
    from nutmegspoke.pipelines.carrier import StepCarrier

_LAYER_RANGES = ('0-3', '3-6', '6-9', '9-12')
_LAYER_COUNT = 12
_LAYER_TOKENS_PER_S = 10_000_000.0
_TIMEOUT_S = 30.0
_STREAMS = 10
_PROMPT = 'notes of the club for this issue'
_CARRIERS = types.MappingProxyType(
    {'relay': RelayCarrier, 'pass_on': PassOnCarrier},
)


async def _run_draft(
    carrier: StepCarrier,
    chain: Chain,
    stream_id: str,
    token_count: int,
) -> None:
    plan = DraftInput(stream_id, _PROMPT, 7, _LAYER_COUNT, token_count)
    run = DraftRun(plan, chain, 1)
    next_step: SendStep | None = run.begin()
    while next_step is not None:
        remaining_tokens = token_count - run.answer.run_count
        reply = await carrier.carry(
            next_step.stage,
            next_step.step,
            _TIMEOUT_S,
            Lookahead(chain, remaining_tokens),
        )
        if not isinstance(reply, StepReply):
            raise RuntimeError(f'step failed during the measurement: {reply}')
        decision = run.accept(reply)
        if isinstance(decision, TokenReady):
            next_step = decision.following
        else:
            next_step = decision


async def _measure_carrier(
    name: str,
    chain: Chain,
    streams: int,
    token_count: int,
) -> dict[str, float]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        carrier = _CARRIERS[name](session, session)
        start_s = time.perf_counter()
        start_cpu_s = time.process_time()
        await asyncio.gather(
            *(
                _run_draft(
                    carrier,
                    chain,
                    f'{name}-{token_count}-{number}',
                    token_count,
                )
                for number in range(streams)
            ),
        )
    tokens = streams * token_count
    cpu_s = time.process_time() - start_cpu_s
    return {
        'tokens': tokens,
        'cpu_us_per_token': round(cpu_s / tokens * 1e6, 1),
        'cpu_us_per_token_and_hop': round(cpu_s / tokens / len(chain) * 1e6, 1),
        'tokens_per_s': round(tokens / (time.perf_counter() - start_s), 1),
    }


def measure(*, is_quick: bool) -> Section:
    """Measure the daemon's CPU time per token with both carriers.

    :param is_quick: run one short round.
    """
    figures = _measure_all(
        _STREAMS, 100 if is_quick else 400, 1 if is_quick else 3
    )
    results = [
        Result(
            f'{name}_cpu_us_per_token',
            sorted(each['cpu_us_per_token'] for each in rounds)[
                len(rounds) // 2
            ],
        )
        for name, rounds in figures.items()
    ]
    return Section('carriers', results, details=figures)


def main(
    streams: int = _STREAMS,
    token_count: int = 400,
    rounds: int = 3,
) -> None:
    """Print the cost of each carrier, measured in alternating rounds."""
    figures = _measure_all(streams, token_count, rounds)
    print(json.dumps(figures, indent=2))


def _measure_all(streams: int, token_count: int, rounds: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix='nutmegspoke-') as directory:
        engines = [
            processes.start_standin(
                f'engine-{number}',
                'engine',
                pathlib.Path(directory),
                '--layers',
                layers,
                '--layer-tokens-per-s',
                str(_LAYER_TOKENS_PER_S),
            )
            for number, layers in enumerate(_LAYER_RANGES)
        ]
        try:
            for engine in engines:
                processes.wait_for_url(
                    f'{engine.url}{LOAD_PATH}', process=engine
                )
            chain = tuple(
                Stage(
                    engine.name,
                    engine.address,
                    LayerRange.from_text(layers),
                )
                for engine, layers in zip(engines, _LAYER_RANGES, strict=True)
            )
            return _run_rounds(chain, streams, token_count, rounds)
        finally:
            for engine in engines:
                engine.end()


def _run_rounds(
    chain: Chain,
    streams: int,
    token_count: int,
    rounds: int,
) -> dict[str, Any]:
    figures: dict[str, Any] = {name: [] for name in _CARRIERS}
    with new_runner() as runner:
        for number in range(rounds):
            for name in _CARRIERS:
                figures[name].append(
                    runner.run(
                        _measure_carrier(
                            name, chain, streams, token_count + number
                        ),
                    ),
                )
    return figures


if __name__ == '__main__':
    typer.run(main)
