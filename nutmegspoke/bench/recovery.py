"""Compares the ways to go on after a stage's death, in one run.

Engines run in processes of their own. Each way meets the same loss at the
same token; measured are the time from the loss to the next token and the
bytes that must be kept for each token to make the way possible.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import pathlib
import tempfile
import time
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec
import typer

from nutmegspoke import engine_protocol as protocol
from nutmegspoke.bench import processes
from nutmegspoke.border.engine_client import RelayCarrier
from nutmegspoke.engine_protocol import StepReply
from nutmegspoke.layers import LayerRange, Stage
from nutmegspoke.pipelines.decisions import SendStep, TokenReady
from nutmegspoke.pipelines.recovery import ReplayStrategy, RerunStrategy
from nutmegspoke.pipelines.run import DraftPlan, DraftRun

if TYPE_CHECKING:
    from nutmegspoke.layers import Chain

_LAYER_COUNT = 12
_LAYER_TOKENS_PER_S = 40_000.0
_LINK_BYTES_PER_S = 125_000_000.0
_ACTIVATION_BYTES = 16_384
_CACHE_BYTES = 4_096
_TIMEOUT_S = 30.0
_CHECKPOINT_TOKENS = 16
_BOUNDARIES = 2
_MAX_INPUTS = 10_000_000
_ENGINES = (
    ('first', '0-4'),
    ('middle', '4-8'),
    ('last', '8-12'),
    ('spare', '4-8'),
)
_WAYS = ('rerun', 'replay', 'import')


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """One loss and what it cost.

    :param way: ``rerun``, ``replay`` or ``import``.
    :param held_positions: positions of the stream at the loss.
    :param next_token_s: from the loss to the next token.
    :param usual_token_s: time of the token before.
    """

    way: str
    held_positions: int
    next_token_s: float
    usual_token_s: float


class _Bench:
    def __init__(self, addresses: dict[str, str]) -> None:
        self._addresses = addresses
        self._session = aiohttp.ClientSession()
        self._carrier = RelayCarrier(self._session, self._session)

    async def close(self) -> None:
        await self._session.close()

    async def trial(self, way: str, prompt_words: int, number: int) -> Trial:
        """Lose the middle stage after some tokens and go on with the spare."""
        strategy = RerunStrategy()
        if way == 'replay':
            strategy = ReplayStrategy(_MAX_INPUTS)
        plan = DraftPlan(
            stream_id=f'{way}-{prompt_words}-{number}',
            prompt=' '.join(f'word{word}' for word in range(prompt_words)),
            seed=number,
            layer_count=_LAYER_COUNT,
            max_tokens=10_000,
        )
        run = DraftRun(plan, self._chain('middle'), 1, strategy)
        order, _ = await self._token(run, run.begin())
        usual_s = 0.0
        block: protocol.CacheBlock | None = None
        for token in range(_CHECKPOINT_TOKENS + _CHECKPOINT_TOKENS // 2):
            if way == 'import' and token == _CHECKPOINT_TOKENS:
                block = await self._export(plan.stream_id)
            order, usual_s = await self._token(run, order)
        order = run.accept(await self._carry(order))
        began_s = time.perf_counter()
        if block is None:
            chain = self._chain('spare')
            await self._token(run, run.restart(chain))
        else:
            await self._import(run, order, block)
        next_s = time.perf_counter() - began_s
        return Trial(way, run.position, next_s, usual_s)

    async def _import(
        self,
        run: DraftRun,
        order: SendStep,
        block: protocol.CacheBlock,
    ) -> None:
        """Import the checkpoint, replay the steps after it, carry the last.

        The steps after the checkpoint have the stage's kept inputs; their
        values do not change the time, so one input stands for all.
        """
        spare = self._stage('spare')
        await self._put(spare, block)
        held = len(block.digests[0]) - 1
        hidden = order.step.hidden * (order.step.position - held + 1)
        step = msgspec.structs.replace(
            order.step,
            attempt=run.attempt + 1,
            position=held,
            hidden=hidden,
        )
        reply = await self._carry(SendStep(spare, step))
        last = msgspec.structs.replace(
            step,
            position=order.step.position,
            first_layer=8,
            stop_layer=_LAYER_COUNT,
            hidden=reply.hidden[-1:],
        )
        await self._carry(SendStep(self._stage('last'), last))

    async def _token(
        self,
        run: DraftRun,
        order: SendStep,
    ) -> tuple[SendStep, float]:
        began_s = time.perf_counter()
        while True:
            decision = run.accept(await self._carry(order))
            if isinstance(decision, TokenReady):
                return decision.following, time.perf_counter() - began_s
            order = decision

    async def _carry(self, order: SendStep) -> StepReply:
        reply = await self._carrier.carry(order.stage, order.step, _TIMEOUT_S)
        if not isinstance(reply, StepReply):
            raise RuntimeError(f'the bench met a loss: {reply}')
        return reply

    async def _export(self, stream_id: str) -> protocol.CacheBlock:
        query = f'stream_id={stream_id}&first_layer=4&stop_layer=8'
        address = self._addresses['middle']
        url = f'http://{address}{protocol.CACHES_PATH}?{query}'
        async with self._session.get(url) as response:
            body = await response.read()
        return msgspec.msgpack.decode(body, type=protocol.CacheBlock)

    async def _put(self, stage: Stage, block: protocol.CacheBlock) -> None:
        url = f'http://{stage.address}{protocol.CACHES_PATH}'
        body = msgspec.msgpack.encode(block)
        async with self._session.put(url, data=body) as response:
            response.raise_for_status()

    def _chain(self, middle: str) -> Chain:
        return tuple(map(self._stage, ('first', middle, 'last')))

    def _stage(self, name: str) -> Stage:
        layers = LayerRange.from_text(dict(_ENGINES)[name])
        return Stage(name, self._addresses[name], layers)


def summary(trials: list[Trial]) -> dict[str, Any]:
    """Return the figures of each way and number of positions."""
    figures: dict[str, Any] = {}
    for trial in trials:
        key = f'{trial.way} at {trial.held_positions} positions'
        figures.setdefault(key, []).append(trial)
    return {
        key: {
            'trials': len(group),
            'next_token_p50_s': _quantile(group, 0.5),
            'next_token_max_s': _quantile(group, 1),
            'usual_token_p50_s': round(group[len(group) // 2].usual_token_s, 4),
        }
        for key, group in figures.items()
    }


def kept_bytes_per_token() -> dict[str, int]:
    """Return what each way keeps for a token of one stream, all stages."""
    return {
        'rerun': 0,
        'replay': _BOUNDARIES * _ACTIVATION_BYTES,
        'import': _LAYER_COUNT * _CACHE_BYTES,
    }


def _quantile(group: list[Trial], share: float) -> float:
    times = sorted(trial.next_token_s for trial in group)
    place = min(len(times) - 1, int(share * len(times)))
    return round(times[place], 4)


async def _measure(addresses: dict[str, str], trials: int) -> list[Trial]:
    bench = _Bench(addresses)
    done = []
    try:
        for prompt_words in (100, 400, 1_600):
            for number in range(trials):
                for way in _WAYS:
                    trial = await bench.trial(way, prompt_words, number)
                    done.append(trial)
    finally:
        await bench.close()
    return done


def main(trials: int = 15) -> None:
    """Print the comparison as JSON."""
    with tempfile.TemporaryDirectory(prefix='nutmegspoke-') as directory:
        engines = {
            name: processes.start_standin(
                name,
                'engine',
                pathlib.Path(directory),
                '--layers',
                layers,
                '--layer-tokens-per-s',
                str(_LAYER_TOKENS_PER_S),
                '--link-bytes-per-s',
                str(_LINK_BYTES_PER_S),
                '--activation-bytes',
                str(_ACTIVATION_BYTES),
                '--cache-bytes',
                str(_CACHE_BYTES),
            )
            for name, layers in _ENGINES
        }
        try:
            for engine in engines.values():
                processes.wait_for(f'{engine.url}{protocol.LOAD_PATH}')
            addresses = {
                name: engine.address for name, engine in engines.items()
            }
            done = asyncio.run(_measure(addresses, trials))
        finally:
            for engine in engines.values():
                engine.end()
    figures = {
        'time': summary(done),
        'kept_bytes_per_token': kept_bytes_per_token(),
    }
    print(json.dumps(figures, indent=2))


if __name__ == '__main__':
    typer.run(main)
