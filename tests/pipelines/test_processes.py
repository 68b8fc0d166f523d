"""Drafts with real processes that are killed, silenced or stopped."""

from __future__ import annotations

import http.client
import json
import signal
import unittest
from typing import Any
from urllib import parse

from nutmegspoke.bench import processes
from nutmegspoke.bench.deployment import Daemon, DaemonOptions, Deployment
from nutmegspoke.standins.arithmetic import token_text
from tests import builders_pipelines as build
from tests import deployments

_TOKENS = 24
_LAYERS = 12
_TABLES = """\
[route drafts]
path = /v1/completions
model = fanletter
pool = drafting
repeatable = yes
progress_timeout_s = 0.5

[pool drafting]
kind = engine
model = fanletter
version = 1
layer_count = 12
selector = drafting
"""
_ENGINES = (
    ('a1', '0-4'),
    ('a2', '0-4'),
    ('b1', '4-8'),
    ('b2', '4-8'),
    ('c1', '8-12'),
    ('c2', '8-12'),
)


_DAEMONS = (('d1', 'relay'), ('d2', 'relay'), ('d3', 'pass_on'))


class Caller:
    """A caller that reads a streamed answer event by event."""

    def __init__(self, url: str, event_id: str = '') -> None:
        """Send the request."""
        address = parse.urlsplit(url)
        self._connection = http.client.HTTPConnection(
            address.hostname,
            address.port,
            timeout=30,
        )
        body = {
            'model': 'fanletter',
            'prompt': build.PROMPT,
            'max_tokens': _TOKENS,
            'seed': 7,
            'stream': True,
        }
        headers = {'Last-Event-ID': event_id} if event_id else {}
        self._connection.request(
            'POST',
            '/v1/completions',
            json.dumps(body),
            headers,
        )
        self._response = self._connection.getresponse()
        self.event_id = event_id
        self.texts: list[str] = []
        self.is_done = False
        self.error = ''

    def read(self, count: int = _TOKENS + 1) -> list[str]:
        """Read events until ``count`` tokens were received or the answer ends."""
        while count and not self.is_done:
            line = self._response.readline().decode().strip()
            if line.startswith('id: '):
                self.event_id = line.removeprefix('id: ')
            if line == 'data: [DONE]':
                self.is_done = True
            elif line.startswith('data: '):
                self._handle_event(json.loads(line.removeprefix('data: ')))
                count -= 1
        return self.texts

    def _handle_event(self, event: dict[str, Any]) -> None:
        if 'error' in event:
            self.error = event['error']['type']
            self.is_done = True
        else:
            self.texts.append(event['choices'][0]['text'])

    def hang_up(self) -> None:
        """Close the connection."""
        self._response.close()
        self._connection.close()


class ProcessesTest(unittest.TestCase):
    """Three daemons, and two engines for each layer range."""

    @classmethod
    def setUpClass(cls) -> None:
        """Start all processes."""
        cls.deployment = cls.enterClassContext(Deployment())
        for name, layers in _ENGINES:
            cls.deployment.start_target(
                name,
                'engine',
                'drafting',
                'pnw-a',
                '--layers',
                layers,
                '--layer-tokens-per-s',
                '800',
            )
        cls.daemons = [
            cls.deployment.start_daemon(name, DaemonOptions(carrier=carrier))
            for name, carrier in _DAEMONS
        ]
        deployments.apply(cls.deployment, _TABLES)
        cls.deployment.wait_ready()
        for daemon in cls.daemons:
            cls.deployment.wait_targets(daemon, len(_ENGINES))
        cls.expected = [
            token_text(token)
            for token in build.expected_answer(
                count=_TOKENS,
                layer_count=_LAYERS,
            )
        ]

    def assert_streams_end(self) -> None:
        """Wait until no engine holds a stream."""
        urls = [
            target.url
            for target in self.deployment.targets.values()
            if target.is_running()
        ]
        processes.wait_until(
            lambda: (
                not any(
                    processes.call_json(f'{url}/v1/streams')['streams']
                    for url in urls
                )
            ),
        )

    def engine_in_use(self, daemon: Daemon, layers: str) -> processes.Process:
        """Return the engine of a layer range with a draft of a daemon."""
        targets = self.deployment.status(daemon)['targets']
        name = next(
            target['name']
            for target in targets
            if target['layers'] == layers and target['in_flight']
        )
        return self.deployment.targets[name]

    def test_caller_hangs_up_and_comes_back(self) -> None:
        """The streams at the engines end; another daemon resumes the answer."""
        caller = Caller(self.daemons[0].url)
        first = list(caller.read(5))
        caller.hang_up()
        self.assert_streams_end()
        again = Caller(self.daemons[1].url, caller.event_id)
        self.assertEqual(first + again.read(), self.expected)
        self.assert_streams_end()

    def test_engine_goes_silent_on_open_connections(self) -> None:
        """The answer is complete and the engine stays usable."""
        daemon = self.daemons[1]
        caller = Caller(daemon.url)
        caller.read(5)
        silent = self.engine_in_use(daemon, '4-8')
        silent.inject_fault('silence')
        self.assertEqual(caller.read(), self.expected)
        state = {
            target['name']: target['state']
            for target in self.deployment.status(daemon)['targets']
        }
        self.assertEqual(state[silent.name], 'live')

    def test_daemon_frozen_while_its_stream_goes_on_elsewhere(self) -> None:
        """Guards against wrong tokens from a daemon that was frozen."""
        frozen = self.daemons[1]
        caller = Caller(frozen.url)
        first = list(caller.read(5))
        frozen.process.popen.send_signal(signal.SIGSTOP)
        try:
            again = Caller(self.daemons[0].url, caller.event_id)
            middle = list(again.read(5))
        finally:
            frozen.process.popen.send_signal(signal.SIGCONT)
        tokens = caller.read()
        self.assertEqual(tokens, self.expected[: len(tokens)])
        self.assertEqual(caller.error, 'stream_lost')
        self.assertEqual(first + again.read(), self.expected)
        self.assertEqual(middle, self.expected[5:10])
        self.assert_streams_end()

    def test_killed_daemon_then_killed_engine(self) -> None:
        """A draft by ``pass_on`` is resumed by ``relay``, then loses an engine."""
        killed = self.daemons[2]
        caller = Caller(killed.url)
        first = list(caller.read(5))
        killed.process.kill()
        again = Caller(self.daemons[0].url, caller.event_id)
        again.read(5)
        self.engine_in_use(self.daemons[0], '4-8').kill()
        self.assertEqual(first + again.read(), self.expected)
        self.assertEqual(again.error, '')
        self.assert_streams_end()
