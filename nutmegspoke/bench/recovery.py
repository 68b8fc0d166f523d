"""Compare the methods of recovery after the loss of a stage, in one run.

The engines run in separate processes. Each method recovers from the same loss
at the same token. The time from the loss to the next token is measured. The
bytes that a method must keep per token are reported beside it.
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
from nutmegspoke.pipelines.run import DraftInput, DraftRun

if TYPE_CHECKING:
    from nutmegspoke.layers import Chain

_LAYER_COUNT = 12
_LAYER_TOKENS_PER_S = 40_000.0
_LINK_BYTES_PER_S = 125_000_000.0
_ACTIVATION_BYTES = 16_384
_CACHE_BYTES = 4_096
_TIMEOUT_S = 30.0
_CHECKPOINT_TOKENS = 16
_STAGE_BOUNDARIES = 2
_MAX_KEPT_INPUTS = 10_000_000
_ENGINES = (
    ('first', '0-4'),
    ('middle', '4-8'),
    ('last', '8-12'),
    ('spare', '4-8'),
)
_METHODS = ('rerun', 'replay', 'import')


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """One loss of a stage and its cost.

    :param method: ``rerun``, ``replay`` or ``import``.
    :param held_positions: number of positions of the stream at the loss.
    :param next_token_s: time from the loss to the next token.
    :param usual_token_s: duration of the last token before the loss.
    """

    method: str
    held_positions: int
    next_token_s: float
    usual_token_s: float


class _RecoveryBench:
    def __init__(self, addresses: dict[str, str]) -> None:
        self._addresses = addresses
        self._session = aiohttp.ClientSession()
        self._carrier = RelayCarrier(self._session, self._session)

    async def close(self) -> None:
        await self._session.close()

    async def run_trial(
        self, method: str, prompt_words: int, number: int
    ) -> Trial:
        """Lose the middle stage after some tokens; recover with the spare."""
        strategy = RerunStrategy()
        if method == 'replay':
            strategy = ReplayStrategy(_MAX_KEPT_INPUTS)
        plan = DraftInput(
            stream_id=f'{method}-{prompt_words}-{number}',
            prompt=' '.join(f'word{word}' for word in range(prompt_words)),
            seed=number,
            layer_count=_LAYER_COUNT,
            max_tokens=10_000,
        )
        run = DraftRun(plan, self._chain('middle'), 1, strategy)
        next_step, _ = await self._run_token(run, run.begin())
        usual_s = 0.0
        block: protocol.CacheBlock | None = None
        for token in range(_CHECKPOINT_TOKENS + _CHECKPOINT_TOKENS // 2):
            if method == 'import' and token == _CHECKPOINT_TOKENS:
                block = await self._export_block(plan.stream_id)
            next_step, usual_s = await self._run_token(run, next_step)
        next_step = run.accept(await self._send_step(next_step))
        start_s = time.perf_counter()
        if block is None:
            chain = self._chain('spare')
            await self._run_token(run, run.restart(chain))
        else:
            await self._continue_from_block(run, next_step, block)
        next_s = time.perf_counter() - start_s
        return Trial(method, run.position, next_s, usual_s)

    async def _continue_from_block(
        self,
        run: DraftRun,
        next_step: SendStep,
        block: protocol.CacheBlock,
    ) -> None:
        """Import the checkpoint, replay the later steps, send the last step.

        The replayed steps would use the kept inputs of the stage. Their
        values do not affect the time, so one input is repeated instead.
        """
        spare = self._stage('spare')
        await self._upload_block(spare, block)
        block_position = len(block.digests[0]) - 1
        hidden = next_step.step.hidden * (
            next_step.step.position - block_position + 1
        )
        step = msgspec.structs.replace(
            next_step.step,
            attempt=run.attempt + 1,
            position=block_position,
            hidden=hidden,
        )
        reply = await self._send_step(SendStep(spare, step))
        last = msgspec.structs.replace(
            step,
            position=next_step.step.position,
            first_layer=8,
            stop_layer=_LAYER_COUNT,
            hidden=reply.hidden[-1:],
        )
        await self._send_step(SendStep(self._stage('last'), last))

    async def _run_token(
        self,
        run: DraftRun,
        next_step: SendStep,
    ) -> tuple[SendStep, float]:
        start_s = time.perf_counter()
        while True:
            decision = run.accept(await self._send_step(next_step))
            if isinstance(decision, TokenReady):
                return decision.following, time.perf_counter() - start_s
            next_step = decision

    async def _send_step(self, next_step: SendStep) -> StepReply:
        reply = await self._carrier.carry(
            next_step.stage, next_step.step, _TIMEOUT_S
        )
        if not isinstance(reply, StepReply):
            raise RuntimeError(f'step failed during the measurement: {reply}')
        return reply

    async def _export_block(self, stream_id: str) -> protocol.CacheBlock:
        query = f'stream_id={stream_id}&first_layer=4&stop_layer=8'
        address = self._addresses['middle']
        url = f'http://{address}{protocol.CACHES_PATH}?{query}'
        async with self._session.get(url) as response:
            body = await response.read()
        return msgspec.msgpack.decode(body, type=protocol.CacheBlock)

    async def _upload_block(
        self, stage: Stage, block: protocol.CacheBlock
    ) -> None:
        url = f'http://{stage.address}{protocol.CACHES_PATH}'
        body = msgspec.msgpack.encode(block)
        async with self._session.put(url, data=body) as response:
            response.raise_for_status()

    def _chain(self, middle: str) -> Chain:
        return tuple(map(self._stage, ('first', middle, 'last')))

    def _stage(self, name: str) -> Stage:
        layers = LayerRange.from_text(dict(_ENGINES)[name])
        return Stage(name, self._addresses[name], layers)


def summarize(trials: list[Trial]) -> dict[str, Any]:
    """Return the figures by method and number of positions."""
    figures: dict[str, Any] = {}
    for trial in trials:
        key = f'{trial.method} at {trial.held_positions} positions'
        figures.setdefault(key, []).append(trial)
    return {
        key: {
            'trials': len(group),
            'next_token_p50_s': _quantile_s(group, 0.5),
            'next_token_max_s': _quantile_s(group, 1),
            'usual_token_p50_s': round(group[len(group) // 2].usual_token_s, 4),
        }
        for key, group in figures.items()
    }


def kept_bytes_per_token() -> dict[str, int]:
    """Return the bytes that each method keeps per token, for all stages."""
    return {
        'rerun': 0,
        'replay': _STAGE_BOUNDARIES * _ACTIVATION_BYTES,
        'import': _LAYER_COUNT * _CACHE_BYTES,
    }


def _quantile_s(group: list[Trial], share: float) -> float:
    times = sorted(trial.next_token_s for trial in group)
    index = min(len(times) - 1, int(share * len(times)))
    return round(times[index], 4)


async def _measure(addresses: dict[str, str], trials: int) -> list[Trial]:
    bench = _RecoveryBench(addresses)
    finished_trials = []
    try:
        for prompt_words in (100, 400, 1_600):
            for number in range(trials):
                for method in _METHODS:
                    trial = await bench.run_trial(method, prompt_words, number)
                    finished_trials.append(trial)
    finally:
        await bench.close()
    return finished_trials


def main(trials: int = 15) -> None:
    """Run the trials and print the comparison as JSON."""
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
                processes.wait_for_url(f'{engine.url}{protocol.LOAD_PATH}')
            addresses = {
                name: engine.address for name, engine in engines.items()
            }
            finished_trials = asyncio.run(_measure(addresses, trials))
        finally:
            for engine in engines.values():
                engine.end()
    figures = {
        'time': summarize(finished_trials),
        'kept_bytes_per_token': kept_bytes_per_token(),
    }
    print(json.dumps(figures, indent=2))


if __name__ == '__main__':
    typer.run(main)
