"""Measure the time to the next token after a stage is killed or frozen.

Each round streams a draft through a daemon, kills or stops the middle stage
after some tokens, and measures the largest gap between tokens at the caller.
The target for a killed stage is the sum of the usual gap, the prefill of the
prompt and the delivered tokens over the chain, and 0.5 s. For a silent stage
the progress timeout is added.
"""

from __future__ import annotations

import dataclasses
import json
import signal
import time
from http import client as http_client
from typing import Any
from urllib import parse as url_parse

import typer

from nutmegspoke.bench import processes
from nutmegspoke.bench.deployment import Daemon, DaemonOptions, Deployment
from nutmegspoke.bench.results import Result, Section

_TABLES = """\
[route drafts]
path = /v1/completions
model = fanletter
pool = drafting
repeatable = yes
progress_timeout_s = 1

[pool drafting]
kind = engine
model = fanletter
version = 1
layer_count = 12
selector = drafting
"""
_PROGRESS_TIMEOUT_S = 1.0
_MAX_ADDED_GAP_S = 0.5
_LAYER_TOKENS_PER_S = 8_000.0
_LAYER_COUNT = 12
_PROMPT_WORDS = 100
_TOKENS = 40
_LOST_AFTER_TOKENS = 10
_ROUNDS = 20
_OUTER_ENGINES = (('a1', '0-4'), ('c1', '8-12'))


@dataclasses.dataclass(frozen=True, slots=True)
class Round:
    """One loss of a stage as observed by the caller.

    :param gap_s: largest time between two tokens, which spans the loss.
    :param median_gap_s: median time between two tokens.
    :param token_count: number of tokens received.
    """

    gap_s: float
    median_gap_s: float
    token_count: int


class _StageLossBench:
    def __init__(self, deployment: Deployment, carrier: str) -> None:
        self._deployment = deployment
        self._engine_count = 0
        for name, layers in _OUTER_ENGINES:
            self._start(name, layers)
        options = DaemonOptions(carrier=carrier)
        self._daemon: Daemon = deployment.start_daemon('d1', options)
        path = deployment.path / 'tables.ini'
        path.write_text(_TABLES, 'utf-8')
        processes.run_tool(
            'apply',
            str(path),
            '--operator',
            'bench',
            '--platform',
            deployment.platform.url,
        )
        self._replace_middle()
        self._replace_middle()

    def run_round(self, kind: str) -> Round:
        """Run one draft during which the middle stage is lost."""
        lost_engines: list[processes.Process] = []

        def fail_stage() -> None:
            lost_engines.append(self._find_used_middle())
            if kind == 'killed':
                lost_engines[0].kill()
            else:
                lost_engines[0].popen.send_signal(signal.SIGSTOP)

        times = self._stream_draft(fail_stage)
        gaps = [
            after - before
            for before, after in zip(times, times[1:], strict=False)
        ]
        median_gap_s = sorted(gaps)[len(gaps) // 2]
        if kind != 'killed':
            lost_engines[0].popen.send_signal(signal.SIGCONT)
            lost_engines[0].kill()
        self._replace_middle()
        return Round(max(gaps), median_gap_s, len(times))

    def _stream_draft(self, fail_stage: Any) -> list[float]:
        address = url_parse.urlsplit(self._daemon.url)
        connection = http_client.HTTPConnection(
            address.hostname,
            address.port,
            timeout=30,
        )
        body = {
            'model': 'fanletter',
            'prompt': ' '.join(f'word{n}' for n in range(_PROMPT_WORDS)),
            'max_tokens': _TOKENS,
            'stream': True,
        }
        connection.request('POST', '/v1/completions', json.dumps(body))
        response = connection.getresponse()
        times = []
        for line in iter(response.readline, b''):
            if not line.startswith(b'data: {"id"'):
                continue
            times.append(time.perf_counter())
            if len(times) == _LOST_AFTER_TOKENS:
                fail_stage()
        connection.close()
        return times

    def _find_used_middle(self) -> processes.Process:
        targets = self._deployment.status(self._daemon)['targets']
        name = next(
            target['name']
            for target in targets
            if target['layers'] == '4-8' and target['in_flight']
        )
        return self._deployment.targets[name]

    def _replace_middle(self) -> None:
        self._engine_count += 1
        name = f'b{self._engine_count}'
        engine = self._start(name, '4-8')
        processes.wait_for_url(f'{engine.url}/v1/load', process=engine)
        processes.wait_until(lambda: self._is_live(name))

    def _is_live(self, name: str) -> bool:
        try:
            targets = self._deployment.status(self._daemon)['targets']
        except OSError:
            return False
        return any(
            target['name'] == name and target['state'] == 'live'
            for target in targets
        )

    def _start(self, name: str, layers: str) -> processes.Process:
        return self._deployment.start_target(
            name,
            'engine',
            'drafting',
            'pnw-a',
            '--layers',
            layers,
            '--layer-tokens-per-s',
            str(_LAYER_TOKENS_PER_S),
        )


def summarize(kind: str, rounds: list[Round]) -> dict[str, Any]:
    """Return the figures of one kind of loss and their target."""
    gaps = sorted(each.gap_s for each in rounds)
    median_gap_s = max(each.median_gap_s for each in rounds)
    positions = _PROMPT_WORDS + _LOST_AFTER_TOKENS
    prefill_s = positions * _LAYER_COUNT / _LAYER_TOKENS_PER_S
    target_s = median_gap_s + prefill_s + _MAX_ADDED_GAP_S
    if kind != 'killed':
        target_s += _PROGRESS_TIMEOUT_S
    return {
        'rounds': len(rounds),
        'whole_answers': sum(each.token_count == _TOKENS for each in rounds),
        'gap_p50_s': round(gaps[len(gaps) // 2], 3),
        'gap_max_s': round(gaps[-1], 3),
        'target_s': round(target_s, 3),
        'is_met': gaps[-1] <= target_s,
    }


def measure(*, is_quick: bool) -> Section:
    """Measure the largest gaps after the loss of a stage.

    :param is_quick: run two rounds of each kind of loss.
    """
    figures = _measure_losses(2 if is_quick else _ROUNDS, 'relay')
    return Section(
        'stage lost',
        [
            Result.at_most(
                f'next_token_after_stage_{kind}_max_s',
                each['gap_max_s'],
                each['target_s'],
            )
            for kind, each in figures.items()
        ],
        details=figures,
    )


def main(rounds: int = _ROUNDS, carrier: str = 'relay') -> None:
    """Print the gaps after the loss of a stage as JSON."""
    print(json.dumps({carrier: _measure_losses(rounds, carrier)}, indent=2))


def _measure_losses(rounds: int, carrier: str) -> dict[str, Any]:
    with Deployment() as deployment:
        bench = _StageLossBench(deployment, carrier)
        return {
            kind: summarize(
                kind, [bench.run_round(kind) for _ in range(rounds)]
            )
            for kind in ('killed', 'silent')
        }


if __name__ == '__main__':
    typer.run(main)
