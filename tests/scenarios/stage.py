"""Carries out the commands of a scenario on a local deployment."""

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

_JOIN_LIMIT_S = 60
_ANSWER_LIMIT_S = 45


class Exchange(threading.Thread):
    """One request of a caller and its answer as it comes in."""

    def __init__(
        self, url: str, method: str, path: str, body: str, headers
    ) -> None:
        """Send the request from a thread of its own."""
        super().__init__(daemon=True)
        self.url = url
        self.method = method
        self.path = path
        self.body = body
        self.headers = dict(headers)
        self.status = 0
        self.answer_headers: dict[str, str] = {}
        self.data = b''
        self.is_cut = False
        self.start()

    def run(self) -> None:
        """Read the answer piece by piece."""
        address = urllib.parse.urlsplit(self.url)
        connection = http.client.HTTPConnection(
            address.hostname,
            address.port,
            timeout=_ANSWER_LIMIT_S,
        )
        try:
            connection.request(self.method, self.path, self.body, self.headers)
            response = connection.getresponse()
            self.answer_headers = dict(response.headers)
            self.status = response.status
            while piece := response.read1(65_536):
                self.data += piece
        except (OSError, http.client.HTTPException):
            self.is_cut = True
        finally:
            connection.close()

    @property
    def texts(self) -> list[str]:
        """Return the tokens that came whole."""
        return [
            choice['text']
            for event in self._events()
            for choice in json.loads(event['data']).get('choices', ())
        ]

    @property
    def last_event_id(self) -> str:
        """Return the id of the last whole event."""
        ids = [event['id'] for event in self._events() if 'id' in event]
        return ids[-1] if ids else ''

    @property
    def retry_after_s(self) -> float:
        """Return when the caller is told to come back."""
        return float(self.answer_headers['Retry-After'])

    def header(self, name: str) -> str:
        """Return a header of the answer."""
        return self.answer_headers.get(f'Nutmegspoke-{name}', '')

    def _events(self) -> list[dict[str, str]]:
        blocks = self.data.decode().split('\n\n')[:-1]
        events = [
            dict(line.split(': ', 1) for line in block.splitlines())
            for block in blocks
        ]
        return [event for event in events if event['data'] != '[DONE]']


class Stage:
    """A deployment and the exchanges of a scenario."""

    def __init__(self, case: unittest.TestCase, deployment: Deployment) -> None:
        """Use a deployment whose platform runs."""
        self._case = case
        self._deployment = deployment
        self._exchanges: dict[str, Exchange] = {}
        self._prompts: dict[str, tuple[str, int, int]] = {}

    def carry_out(self, command: Command) -> None:
        """Carry out one command."""
        action = getattr(self, f'do_{command.verb}')
        try:
            action(*command.words, **command.options)
        except AssertionError as error:
            raise AssertionError(f'line {command.line}: {error}') from error

    def do_engine(self, name: str, layers: str, **more: str) -> None:
        """Start an engine: ``engine NAME LAYERS``."""
        rate = more.get('rate', '6000')
        arguments = ('--layers', layers, '--layer-count', '6')
        self._deployment.start_target(
            name,
            'engine',
            'drafting',
            more.get('zone', 'pnw-a'),
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

        One with another ``peers_key`` is cut off from its peers.
        """
        for name in names:
            options = DaemonOptions(
                notice_s=float(notice_s),
                peers_key=peers_key,
            )
            self._deployment.start_daemon(name, options)

    def do_apply(self, text: str = '', leaving: str = '') -> None:
        """Apply the usual tables: ``apply [TEXT] [leaving=TARGET]``.

        TEXT is appended, with ``|`` for line ends; TARGET is taken out of the
        pool of engines by its row.
        """
        tables = deployments.TABLES
        if leaving:
            row = 'selector = drafting\n'
            tables = tables.replace(row, f'{row}leaving = {leaving}\n')
        more = text.replace('|', '\n')
        deployments.apply(self._deployment, f'{tables}{more}\n')

    def do_ready(self, targets: str = '') -> None:
        """Wait until all answer and each daemon sees the targets."""
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
        """Begin a draft: ``draft NAME DAEMON tokens=N``."""
        self._prompts[name] = (prompt, int(tokens), int(seed))
        self._send_draft(name, daemon, {})

    def do_resume(self, name: str, first: str, daemon: str) -> None:
        """Begin to resume a cut draft: ``resume NAME FIRST DAEMON``."""
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
        """Begin a call: ``call NAME DAEMON METHOD PATH key=K after=NAME``.

        ``after`` names a refused exchange whose ``Retry-After`` is kept to.
        """
        if after:
            time.sleep(self._exchanges[after].retry_after_s)
        headers = {'Idempotency-Key': key} if key else {}
        self._send(name, daemon, method, path, body, headers)

    def do_tokens(self, name: str, count: str) -> None:
        """Wait until a draft has so many tokens: ``tokens NAME COUNT``."""
        exchange = self._exchanges[name]
        processes.wait_until(lambda: len(exchange.texts) >= int(count))

    def do_await(self, *names: str) -> None:
        """Wait for the end of exchanges."""
        for name in names:
            self._exchanges[name].join(_JOIN_LIMIT_S)
            self._case.assertFalse(self._exchanges[name].is_alive(), name)

    def do_fault(self, target: str, fault: str, **order: str) -> None:
        """Order a fault: ``fault TARGET FAULT count=N delay_s=S path=P``."""
        typed = dict(order)
        if 'count' in order:
            typed['count'] = int(order['count'])
        if 'delay_s' in order:
            typed['delay_s'] = float(order['delay_s'])
        self._process(target).inject_fault(fault, **typed)

    def do_kill(self, name: str) -> None:
        """Kill a process."""
        self._process(name).kill()

    def do_freeze(self, name: str) -> None:
        """Stop a process with SIGSTOP."""
        self._process(name).popen.send_signal(signal.SIGSTOP)

    def do_thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self._process(name).popen.send_signal(signal.SIGCONT)

    def do_stop(self, name: str) -> None:
        """Begin a planned stop."""
        self._process(name).popen.terminate()

    def do_ended(self, name: str, code: str = '0') -> None:
        """Wait for a process's end and check its exit code."""
        process = self._process(name)
        processes.wait_until(lambda: not process.is_running(), 60)
        self._case.assertEqual(process.popen.returncode, int(code))

    def do_host(self, name: str, state: str) -> None:
        """Change a host list entry: ``host NAME live|leaving``."""
        self._deployment.write_host_entry(name, 'drafting', 'pnw-a', state)

    def do_unusable(self, daemon: str, target: str) -> None:
        """Wait until a daemon gives a target no new work."""
        processes.wait_until(lambda: target not in self._usable(daemon))

    def do_usable(self, daemon: str, target: str) -> None:
        """Wait until a daemon gives a target work again."""
        processes.wait_until(lambda: target in self._usable(daemon))

    def do_revision(self, daemon: str, revision: str) -> None:
        """Wait until a revision is in force at a daemon."""
        chosen = self._deployment.daemons[daemon]
        processes.wait_until(
            lambda: (
                self._deployment.status(chosen)['revision'] == int(revision)
            ),
        )

    def do_expect(self, name: str, **wanted: str) -> None:
        """Check an answer: ``expect NAME status=S executed=E reason=R``."""
        exchange = self._exchanges[name]
        seen = {
            'status': str(exchange.status),
            'executed': exchange.header('Executed'),
            'reason': exchange.header('Reason'),
            'replayed': exchange.header('Replayed'),
            'cut': 'yes' if exchange.is_cut else 'no',
        }
        for field, text in wanted.items():
            self._case.assertIn(
                seen[field],
                text.split('/'),
                f'{name} {field}: {exchange.data[:300]!r}',
            )

    def do_same(self, first: str, second: str) -> None:
        """Check that two answers have the same body."""
        self._case.assertEqual(
            self._exchanges[first].data,
            self._exchanges[second].data,
        )

    def do_whole(self, *names: str) -> None:
        """Check that the joined texts are the whole reference answer."""
        texts = [text for name in names for text in self._exchanges[name].texts]
        prompt, tokens, seed = self._prompts[names[0]]
        self._case.assertEqual(texts, reference_texts(prompt, seed, 6, tokens))

    def do_runs(self, path: str, count: str) -> None:
        """Check how many calls of a path the record services ran."""
        entries = []
        for target in self._deployment.targets.values():
            if target.name.startswith('records') and target.is_running():
                entries.extend(processes.call_json(f'{target.url}/journal'))
        runs = [entry for entry in entries if entry['path'] == path]
        self._case.assertIn(str(len(runs)), count.split('/'))

    def do_idle(self, engine: str) -> None:
        """Wait until an engine holds no stream."""
        url = f'{self._deployment.targets[engine].url}/v1/streams'
        processes.wait_until(
            lambda: processes.call_json(url)['streams'] == 0,
        )

    def do_logged(self, daemon: str, text: str) -> None:
        """Wait until a daemon's log holds a text."""
        path = self._process(daemon).log_path
        processes.wait_until(lambda: text in path.read_text('utf-8'))

    def do_unlogged(self, daemon: str, text: str) -> None:
        """Check that a daemon's log does not hold a text."""
        log = self._process(daemon).log_path.read_text('utf-8')
        self._case.assertNotIn(text, log)

    def _usable(self, daemon: str) -> set[str]:
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
