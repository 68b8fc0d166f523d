"""Tests of the command-line tool against real processes."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import unittest

from nutmegspoke.bench import processes
from nutmegspoke.bench.deployment import Deployment
from nutmegspoke.cmd.cli_output import ExitCode
from tests import deployments
from tests.scenarios.stage import Exchange


class CliProcessesTest(unittest.TestCase):
    """Concurrent changes, claims and evidence with two daemons."""

    def setUp(self) -> None:
        """Start a small deployment."""
        self.deployment = self.enterContext(Deployment())
        deployments.start_small(self.deployment, daemons=2)

    def test_operators_race_and_everyone_gets_both(self) -> None:
        """Changes of different rows are both accepted.

        A change of the same row is a conflict that shows the first change.
        """
        tables = deployments.TABLES
        first = tables.replace('max_body_bytes = 65536', 'priority = 1')
        second = tables.replace('path = /mailings', 'path = /mailings/*')
        third = tables.replace('max_body_bytes = 65536', 'priority = 2')
        racing = [
            self._start(
                'apply', self._write_file(text), '--base', '1', '--wait'
            )
            for text in (first, second)
        ]
        results = [self._finish(process) for process in racing]
        self.assertEqual(
            [code for code, _ in results], [ExitCode.OK] * 2, results
        )
        self.assertEqual(
            sorted(answer['change']['revision'] for _, answer in results),
            [2, 3],
        )
        for daemon in self.deployment.daemons.values():
            self.assertEqual(self.deployment.status(daemon)['revision'], 3)
        code, answer = self._run('show')
        rows = {row['name']: row for row in answer['tables']['routes']}
        self.assertEqual(rows['drafts']['priority'], 1)
        self.assertEqual(rows['mailing']['path'], '/mailings/*')
        code, answer = self._run(
            'apply', self._write_file(third), '--base', '1'
        )
        self.assertEqual(code, ExitCode.CONFLICT)
        self.assertEqual(answer['rows'], ['route/drafts'])
        (other,) = answer['others']
        self.assertEqual(other['sections'][0]['section'], 'route drafts')

    def test_claim_of_a_running_daemon_is_not_settled(self) -> None:
        """A claim is settled only after its holder has ended."""
        daemon = self.deployment.daemons['daemon-0']
        service = self.deployment.targets['records-1']
        long_timeout_tables = deployments.TABLES.replace(
            '_timeout_s = 4', '_timeout_s = 60'
        )
        self._run('apply', self._write_file(long_timeout_tables), '--wait')
        service.inject_fault('lose_answer', count=1, path='/mailings')
        key = {'Idempotency-Key': 'issue-7'}
        answer = deployments.call(daemon, 'POST', '/mailings', '', key)
        self.assertEqual(answer.executed, 'unknown')
        service.inject_fault('late', count=1, path='/mailings', delay_s=9.0)
        other = {'Idempotency-Key': 'issue-8'}
        running = Exchange(daemon.url, 'POST', '/mailings', '', other)
        processes.wait_until(lambda: len(self._list_claims()) == 2)
        row = self._list_claims()[1]
        code, output = self._run('claims', 'resolve', row['key'], '--not-run')
        self.assertEqual(code, ExitCode.FAILED, output)
        self.assertIn('holder lives', str(output))
        running.join()
        self.assertEqual(running.status, 200)
        self.assertEqual(
            len(deployments.journal(self.deployment, '/mailings')), 2
        )

    def _list_claims(self) -> list[dict[str, str]]:
        _, answer = self._run('claims', 'list')
        return sorted(answer['claims'], key=lambda claim: claim['wall_s'])

    def test_answer_lost_after_the_write(self) -> None:
        """The change is accepted once and reported as accepted."""
        self.deployment.platform.inject_fault(
            'lose_answer',
            count=1,
            path='/tables/commit',
        )
        changed = deployments.TABLES.replace('= /mailings', '= /mailings/*')
        code, answer = self._run('apply', self._write_file(changed), '--wait')
        self.assertEqual((code, answer['result']), (ExitCode.OK, 'in_force'))
        self.assertEqual(answer['change']['revision'], 2)
        self.assertEqual(len(self._run('history')[1]['changes']), 2)

    def test_store_silent_after_the_write(self) -> None:
        """The result is unknown, with a command that finds it out."""
        self.deployment.platform.inject_fault(
            'lose_answer',
            path='/tables/commit',
        )
        changed = deployments.TABLES.replace('= /mailings', '= /mailings/*')
        code, answer = self._run('apply', self._write_file(changed))
        self.assertEqual(code, ExitCode.UNKNOWN)
        self.deployment.platform.inject_fault('clear')
        arguments = answer['ask'].split()[1:]
        code, answer = self._run(*arguments)
        self.assertEqual((code, answer['result']), (ExitCode.OK, 'accepted'))

    def test_explain_and_refusals_of_the_tool(self) -> None:
        """``explain`` shows the evidence that daemons wrote.

        Unknown requests and wrong tokens are reported as errors.
        """
        daemon = self.deployment.daemons['daemon-0']
        answer = deployments.call(daemon, 'GET', '/roster/7')
        request_id = answer.headers['Nutmegspoke-Request-Id']
        processes.wait_until(lambda: self._run('explain', request_id)[0] == 0)
        record = self._run('explain', request_id)[1]['record']
        self.assertEqual(record['ending']['executed'], 'yes')
        matched = record['events'][0]['event']
        self.assertEqual(
            (matched['route'], matched['revision']),
            ('roster', 1),
        )
        sent = deployments.call(
            daemon,
            'POST',
            '/mailings',
            '{}',
            {'Idempotency-Key': 'k1'},
        )
        drafted = deployments.draft(daemon)
        self.assertEqual(
            self._find_events(sent),
            ['matched', 'claim', 'call', 'claim'],
        )
        self.assertEqual(
            self._find_events(drafted),
            ['matched', 'chain', 'receipts'],
        )
        adoption = self._run('explain', '1')[1]['adoptions'][0]
        self.assertEqual((adoption['previous'], adoption['revision']), (0, 1))
        code, _ = self._run('explain', 'daemon-0.1.ff')
        self.assertEqual(code, ExitCode.FAILED)
        code, output = self._run('status', '--token', 'wrong')
        self.assertEqual(code, ExitCode.UNAVAILABLE)
        self.assertIn('token', output['daemons'][0]['status']['reason'])

    def _find_events(self, answer: deployments.Answer) -> list[str]:
        request_id = answer.headers['Nutmegspoke-Request-Id']
        processes.wait_until(lambda: self._run('explain', request_id)[0] == 0)
        record = self._run('explain', request_id)[1]['record']
        return [timed['event']['type'] for timed in record['events']]

    def _write_file(self, text: str) -> str:
        path = self.deployment.path / f'{len(text)}-{hash(text)}.ini'
        path.write_text(text, 'utf-8')
        return str(path)

    def _run(self, *arguments: str) -> tuple[int, dict]:
        return self._finish(self._start(*arguments))

    def _start(self, *arguments: str) -> subprocess.Popen:
        urls = [
            daemon.operators_url for daemon in self.deployment.daemons.values()
        ]
        return subprocess.Popen(
            (sys.executable, '-m', 'nutmegspoke.cmd.cli', *arguments, '--json'),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env={
                **os.environ,
                'NUTMEGSPOKE_PLATFORM': self.deployment.platform.url,
                'NUTMEGSPOKE_OPERATOR': 'tester',
                'NUTMEGSPOKE_DAEMONS': ' '.join(urls),
                'NUTMEGSPOKE_OPERATORS_TOKEN': self.deployment.token,
            },
        )

    def _finish(self, process: subprocess.Popen) -> tuple[int, dict]:
        output, message = process.communicate(timeout=60)
        self.assertTrue(output, message)
        return process.returncode, json.loads(output)
