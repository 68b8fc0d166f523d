"""Run the commands of a scenario on a local deployment."""

from __future__ import annotations

import http.client
import json
import signal
import threading
import time
import urllib.parse
from typing import TYPE_CHECKING

from nutmegspoke.bench import processes
from nutmegspoke.bench.deployment import DaemonOptions, Deployment
from tests import deployments
from tests.reference import reference_texts

if TYPE_CHECKING:
    import unittest

    from tests.scenarios.language import Command

_JOIN_TIMEOUT_S = 60
_ANSWER_TIMEOUT_S = 45


class Exchange(threading.Thread):
    """A request of a caller and the part of its answer received so far."""

    def __init__(
        self, url: str, method: str, path: str, body: str, headers
    ) -> None:
        """Start a thread that sends the request."""
        super().__init__(daemon=True)
        self.url = url
        self.method = method
        self.path = path
        self.body = body
        self.headers = dict(headers)
        self.status = 0
        self.answer_headers: dict[str, str] = {}
        self.answer_body = b''
        self.is_cut = False
        self.start()

    def run(self) -> None:
        """Send the request and read the answer in chunks.

        Sets ``is_cut`` if the connection fails or times out.
        """
        address = urllib.parse.urlsplit(self.url)
        connection = http.client.HTTPConnection(
            address.hostname,
            address.port,
            timeout=_ANSWER_TIMEOUT_S,
        )
        try:
            connection.request(self.method, self.path, self.body, self.headers)
            response = connection.getresponse()
            self.answer_headers = dict(response.headers)
            self.status = response.status
            while chunk := response.read1(65_536):
                self.answer_body += chunk
        except (OSError, http.client.HTTPException):
            self.is_cut = True
        finally:
            connection.close()

    @property
    def texts(self) -> list[str]:
        """Return the texts of all events received in full."""
        return [
            choice['text']
            for event in self._events()
            for choice in json.loads(event['data']).get('choices', ())
        ]

    @property
    def last_event_id(self) -> str:
        """Return the id of the last complete event, or an empty string."""
        ids = [event['id'] for event in self._events() if 'id' in event]
        return ids[-1] if ids else ''

    @property
    def retry_after_s(self) -> float:
        """Return the ``Retry-After`` header of the answer, in seconds.

        :raises KeyError: if the answer has no such header.
        """
        return float(self.answer_headers['Retry-After'])

    def header(self, name: str) -> str:
        """Return a ``Nutmegspoke-`` header, or an empty string."""
        return self.answer_headers.get(f'Nutmegspoke-{name}', '')

    def _events(self) -> list[dict[str, str]]:
        blocks = self.answer_body.decode().split('\n\n')[:-1]
        events = [
            dict(line.split(': ', 1) for line in block.splitlines())
            for block in blocks
        ]
        return [event for event in events if event['data'] != '[DONE]']


class ScenarioRunner:
    """Runs the commands of one scenario.

    The command ``VERB`` is the method ``do_VERB``: its arguments and options
    are passed as positional and keyword arguments.
    """

    def __init__(self, case: unittest.TestCase, deployment: Deployment) -> None:
        """Use a deployment whose platform is already running."""
        self._case = case
        self._deployment = deployment
        self._exchanges: dict[str, Exchange] = {}
        self._prompts: dict[str, tuple[str, int, int]] = {}

    def run_command(self, command: Command) -> None:
        """Run one command.

        :raises AssertionError: with the line number, if a check fails.
        """
        action = getattr(self, f'do_{command.verb}')
        try:
            action(*command.arguments, **command.options)
        except AssertionError as error:
            raise AssertionError(f'line {command.line}: {error}') from error

    def do_engine(self, name: str, layers: str, **options: str) -> None:
        """Start an engine: ``engine NAME LAYERS rate=R zone=Z``.

        ``rate`` is in layer tokens per second.
        """
        rate = options.get('rate', '6000')
        arguments = ('--layers', layers, '--layer-count', '6')
        self._deployment.start_target(
            name,
            'engine',
            'drafting',
            options.get('zone', 'pnw-a'),
            *arguments,
            '--layer-tokens-per-s',
            rate,
        )

    def do_service(self, name: str) -> None:
        """Start a record service: ``service NAME``."""
        self._deployment.start_target(name, 'service', 'records', 'pnw-a')

    def do_daemon(
        self,
        *names: str,
        notice_s: str = '0.2',
        peers_key: str = '',
    ) -> None:
        """Start daemons: ``daemon NAME ...``.

        A daemon with another ``peers_key`` cannot reach its peers.
        """
        for name in names:
            options = DaemonOptions(
                notice_s=float(notice_s),
                peers_key=peers_key,
            )
            self._deployment.start_daemon(name, options)

    def do_apply(self, text: str = '', leaving: str = '') -> None:
        """Apply the default tables: ``apply [TEXT] [leaving=TARGET]``.

        TEXT is appended, with ``|`` for line ends. TARGET is entered as
        leaving in the row of the engine pool.
        """
        tables = deployments.TABLES
        if leaving:
            row = 'selector = drafting\n'
            tables = tables.replace(row, f'{row}leaving = {leaving}\n')
        appended = text.replace('|', '\n')
        deployments.apply(self._deployment, f'{tables}{appended}\n')

    def do_ready(self, targets: str = '') -> None:
        """Wait for readiness: ``ready [targets=N]``.

        All processes must answer and each daemon must know N targets, by
        default all that were started.
        """
        self._deployment.wait_ready()
        count = int(targets or len(self._deployment.targets))
        for daemon in self._deployment.daemons.values():
            self._deployment.wait_targets(daemon, count)

    def do_draft(
        self,
        name: str,
        daemon: str,
        tokens: str = '8',
        prompt: str = 'club notes',
        seed: str = '7',
    ) -> None:
        """Start a draft: ``draft NAME DAEMON tokens=N prompt=P seed=S``."""
        self._prompts[name] = (prompt, int(tokens), int(seed))
        self._send_draft(name, daemon, {})

    def do_resume(self, name: str, first: str, daemon: str) -> None:
        """Start to resume a cut draft: ``resume NAME FIRST DAEMON``."""
        self._prompts[name] = self._prompts[first]
        event_id = self._exchanges[first].last_event_id
        self._send_draft(name, daemon, {'Last-Event-ID': event_id})

    def do_call(
        self,
        name: str,
        daemon: str,
        method: str,
        path: str,
        key: str = '',
        body: str = '',
        after: str = '',
    ) -> None:
        """Start a call: ``call NAME DAEMON METHOD PATH key=K body=B after=N``.

        ``after`` names a refused exchange: the call is sent once the time in
        its ``Retry-After`` header has passed.
        """
        if after:
            time.sleep(self._exchanges[after].retry_after_s)
        headers = {'Idempotency-Key': key} if key else {}
        self._send(name, daemon, method, path, body, headers)

    def do_tokens(self, name: str, count: str) -> None:
        """Wait until a draft has COUNT tokens: ``tokens NAME COUNT``."""
        exchange = self._exchanges[name]
        processes.wait_until(lambda: len(exchange.texts) >= int(count))

    def do_await(self, *names: str) -> None:
        """Wait until exchanges have ended: ``await NAME ...``."""
        for name in names:
            self._exchanges[name].join(_JOIN_TIMEOUT_S)
            self._case.assertFalse(self._exchanges[name].is_alive(), name)

    def do_fault(self, target: str, fault: str, **options: str) -> None:
        """Inject a fault: ``fault TARGET FAULT count=N delay_s=S path=P``."""
        typed_options = dict(options)
        if 'count' in options:
            typed_options['count'] = int(options['count'])
        if 'delay_s' in options:
            typed_options['delay_s'] = float(options['delay_s'])
        self._process(target).inject_fault(fault, **typed_options)

    def do_kill(self, name: str) -> None:
        """Kill a process: ``kill NAME``."""
        self._process(name).kill()

    def do_freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP: ``freeze NAME``."""
        self._process(name).popen.send_signal(signal.SIGSTOP)

    def do_thaw(self, name: str) -> None:
        """Continue a suspended process with SIGCONT: ``thaw NAME``."""
        self._process(name).popen.send_signal(signal.SIGCONT)

    def do_stop(self, name: str) -> None:
        """Start a graceful stop of a process with SIGTERM: ``stop NAME``."""
        self._process(name).popen.terminate()

    def do_ended(self, name: str, code: str = '0') -> None:
        """Wait for the end of a process: ``ended NAME CODE``.

        The exit code must be CODE, by default 0.
        """
        process = self._process(name)
        processes.wait_until(lambda: not process.is_running(), 60)
        self._case.assertEqual(process.popen.returncode, int(code))

    def do_host(self, name: str, state: str) -> None:
        """Change a host list entry: ``host NAME live|leaving``."""
        self._deployment.write_host_entry(name, 'drafting', 'pnw-a', state)

    def do_unusable(self, daemon: str, target: str) -> None:
        """Wait until a target is not usable: ``unusable DAEMON TARGET``.

        The daemon sends no new work to a target that it does not list.
        """
        processes.wait_until(lambda: target not in self._usable_targets(daemon))

    def do_usable(self, daemon: str, target: str) -> None:
        """Wait until a target is usable: ``usable DAEMON TARGET``."""
        processes.wait_until(lambda: target in self._usable_targets(daemon))

    def do_revision(self, daemon: str, revision: str) -> None:
        """Wait until a revision is in force: ``revision DAEMON REVISION``."""
        running_daemon = self._deployment.daemons[daemon]
        processes.wait_until(
            lambda: (
                self._deployment.status(running_daemon)['revision']
                == int(revision)
            ),
        )

    def do_expect(self, name: str, **expected: str) -> None:
        """Check an answer: ``expect NAME status=S executed=E reason=R``.

        The other fields are ``replayed`` and ``cut``; ``/`` separates allowed
        values.
        """
        exchange = self._exchanges[name]
        actual = {
            'status': str(exchange.status),
            'executed': exchange.header('Executed'),
            'reason': exchange.header('Reason'),
            'replayed': exchange.header('Replayed'),
            'cut': 'yes' if exchange.is_cut else 'no',
        }
        for field, text in expected.items():
            self._case.assertIn(
                actual[field],
                text.split('/'),
                f'{name} {field}: {exchange.answer_body[:300]!r}',
            )

    def do_same(self, first: str, second: str) -> None:
        """Check that two answers have the same body: ``same FIRST SECOND``."""
        self._case.assertEqual(
            self._exchanges[first].answer_body,
            self._exchanges[second].answer_body,
        )

    def do_whole(self, *names: str) -> None:
        """Check a draft against the reference answer: ``whole NAME ...``.

        The texts of several exchanges are joined in order.
        """
        texts = [text for name in names for text in self._exchanges[name].texts]
        prompt, tokens, seed = self._prompts[names[0]]
        self._case.assertEqual(texts, reference_texts(prompt, seed, 6, tokens))

    def do_runs(self, path: str, count: str) -> None:
        """Check how many calls of a path the record services ran.

        ``runs PATH COUNT``, where ``/`` separates allowed counts.
        """
        entries = []
        for target in self._deployment.targets.values():
            if target.name.startswith('records') and target.is_running():
                entries.extend(processes.call_json(f'{target.url}/journal'))
        runs = [entry for entry in entries if entry['path'] == path]
        self._case.assertIn(str(len(runs)), count.split('/'))

    def do_idle(self, engine: str) -> None:
        """Wait until an engine holds no stream: ``idle ENGINE``."""
        url = f'{self._deployment.targets[engine].url}/v1/streams'
        processes.wait_until(
            lambda: processes.call_json(url)['streams'] == 0,
        )

    def do_logged(self, daemon: str, text: str) -> None:
        """Wait until a daemon's log contains a text: ``logged DAEMON TEXT``."""
        path = self._process(daemon).log_path
        processes.wait_until(lambda: text in path.read_text('utf-8'))

    def do_unlogged(self, daemon: str, text: str) -> None:
        """Check that a daemon's log lacks a text: ``unlogged DAEMON TEXT``."""
        log = self._process(daemon).log_path.read_text('utf-8')
        self._case.assertNotIn(text, log)

    def _usable_targets(self, daemon: str) -> set[str]:
        status = self._deployment.status(self._deployment.daemons[daemon])
        return {target['name'] for target in status['targets']}

    def _send_draft(self, name: str, daemon: str, headers: dict) -> None:
        prompt, tokens, seed = self._prompts[name]
        body = deployments.draft_body(prompt, max_tokens=tokens, seed=seed)
        path = '/v1/completions'
        self._send(name, daemon, 'POST', path, body, headers)

    def _send(
        self,
        name: str,
        daemon: str,
        method: str,
        path: str,
        body: str,
        headers: dict[str, str],
    ) -> None:
        url = self._deployment.daemons[daemon].url
        self._exchanges[name] = Exchange(url, method, path, body, headers)

    def _process(self, name: str) -> processes.Process:
        if name == 'platform':
            return self._deployment.platform
        if name in self._deployment.daemons:
            return self._deployment.daemons[name].process
        return self._deployment.targets[name]
