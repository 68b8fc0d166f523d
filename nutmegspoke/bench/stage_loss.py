"""Time to the next token after a stage is killed, frozen or unreachable.

Each round streams a draft through a daemon, takes the middle stage out after
some tokens, and measures the gap that the caller sees. The bound for a kill
is the usual gap, the prefill of prompt and delivered tokens over the chain,
and the target's 0.5 s; for silence the progress timeout is added.
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
_TARGET_S = 0.5
_LAYER_TOKENS_PER_S = 8_000.0
_LAYER_COUNT = 12
_PROMPT_WORDS = 100
_TOKENS = 40
_LOST_AFTER = 10
_OUTER = (('a1', '0-4'), ('c1', '8-12'))


@dataclasses.dataclass(frozen=True, slots=True)
class Round:
    """What a caller saw of one loss.

    :param gap_s: from the last token before the loss to the next one.
    :param usual_s: median time between two tokens.
    :param token_count: tokens of the whole answer.
    """

    gap_s: float
    usual_s: float
    token_count: int


class _Bench:
    def __init__(self, deployment: Deployment, carrier: str) -> None:
        self._deployment = deployment
        self._number = 0
        for name, layers in _OUTER:
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
        self._renew_middle()
        self._renew_middle()

    def round(self, kind: str) -> Round:
        """Lose the middle stage once."""
        lost: list[processes.Process] = []

        def lose() -> None:
            lost.append(self._used_middle())
            if kind == 'killed':
                lost[0].kill()
            else:
                lost[0].popen.send_signal(signal.SIGSTOP)

        times = self._stream(lose)
        gaps = [
            after - before
            for before, after in zip(times, times[1:], strict=False)
        ]
        usual_s = sorted(gaps)[len(gaps) // 2]
        if kind != 'killed':
            lost[0].popen.send_signal(signal.SIGCONT)
            lost[0].kill()
        self._renew_middle()
        return Round(max(gaps), usual_s, len(times))

    def _stream(self, lose: Any) -> list[float]:
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
            if len(times) == _LOST_AFTER:
                lose()
        connection.close()
        return times

    def _used_middle(self) -> processes.Process:
        targets = self._deployment.status(self._daemon)['targets']
        name = next(
            target['name']
            for target in targets
            if target['layers'] == '4-8' and target['in_flight']
        )
        return self._deployment.targets[name]

    def _renew_middle(self) -> None:
        self._number += 1
        name = f'b{self._number}'
        engine = self._start(name, '4-8')
        processes.wait_for(f'{engine.url}/v1/load')
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


def summary(kind: str, rounds: list[Round]) -> dict[str, Any]:
    """Return the figures of one kind of loss beside the target."""
    gaps = sorted(each.gap_s for each in rounds)
    usual_s = max(each.usual_s for each in rounds)
    positions = _PROMPT_WORDS + _LOST_AFTER
    prefill_s = positions * _LAYER_COUNT / _LAYER_TOKENS_PER_S
    target_s = usual_s + prefill_s + _TARGET_S
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


def main(rounds: int = 20, carrier: str = 'relay') -> None:
    """Print the gaps after losses as JSON."""
    figures = {}
    with Deployment() as deployment:
        bench = _Bench(deployment, carrier)
        for kind in ('killed', 'silent'):
            done = [bench.round(kind) for _ in range(rounds)]
            figures[kind] = summary(kind, done)
    print(json.dumps({carrier: figures}, indent=2))


if __name__ == '__main__':
    typer.run(main)
