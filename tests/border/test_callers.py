"""Tests of the callers' port against a running daemon."""

from __future__ import annotations

import json
import socket
import unittest
from urllib import request as url_request

from nutmegspoke.bench import processes
from nutmegspoke.bench.deployment import Deployment
from tests import deployments
from tests.deployments import call, draft


class CallersPortTest(unittest.TestCase):
    """Invalid input is refused with a reason and affects no other caller."""

    @classmethod
    def setUpClass(cls) -> None:
        """Start one small deployment for all tests."""
        cls.deployment = Deployment()
        cls.enterClassContext(cls.deployment)
        deployments.start_small(cls.deployment)
        cls.daemon = cls.deployment.daemons['daemon-0']

    def tearDown(self) -> None:
        """Check that a valid draft is still served after each test."""
        self.assertEqual(len(draft(self.daemon).texts), 8)

    def test_bad_drafts(self) -> None:
        """Invalid drafts are refused before any engine runs."""
        for body, status, reason in (
            (b'{"model":', 400, 'bad_request'),
            (b'\xff\xfe', 400, 'bad_request'),
            (b'{"model": "other"}', 404, 'unknown_model'),
            (b'{"model": "fanletter"}', 400, 'bad_request'),
            (b'{"model": "fanletter", "prompt": 7}', 400, 'bad_request'),
            (
                b'{"model": "fanletter", "prompt": "a", "max_tokens": 0}',
                400,
                'bad_request',
            ),
            (
                b'{"model": "fanletter", "prompt": "' + b'x' * 70_000 + b'"}',
                413,
                'body_too_large',
            ),
            (b'x' * 5_000_000, 413, 'body_too_large'),
        ):
            answer = call(self.daemon, 'POST', '/v1/completions', body)
            with self.subTest(body[:40]):
                self.assertEqual(answer.status, status)
                self.assertEqual(answer.reason, reason)
                self.assertEqual(answer.executed, 'no')
                error = json.loads(answer.body)['error']
                self.assertEqual(error['type'], reason)

    def test_unknown_path_and_wrong_method(self) -> None:
        """An unknown path gets 404, a wrong method 405."""
        self.assertEqual(call(self.daemon, 'GET', '/nothing').status, 404)
        answer = call(self.daemon, 'GET', '/v1/completions')
        self.assertEqual((answer.status, answer.executed), (405, 'no'))
        answer = call(self.daemon, 'BREW', '/v1/completions')
        self.assertEqual((answer.status, answer.executed), (405, 'no'))

    def test_header_too_large(self) -> None:
        """A header over the limit gets 431, and nothing ran."""
        answer = call(
            self.daemon,
            'POST',
            '/v1/completions',
            deployments.draft_body(),
            {'X-Long': 'x' * 40_000},
        )
        self.assertEqual((answer.status, answer.executed), (431, 'no'))

    def test_no_http_at_all(self) -> None:
        """Bytes that are not HTTP get status 400."""
        with socket.create_connection(
            ('127.0.0.1', self.daemon.process.port),
            timeout=10,
        ) as connection:
            connection.sendall(b'\x16\x03\x01 hello\r\n\r\n')
            self.assertIn(b' 400 ', connection.recv(4096))

    def test_chat_and_whole_answers(self) -> None:
        """Chat completions are the same, streamed or in one body."""
        body = {
            'model': 'fanletter',
            'messages': [{'role': 'user', 'content': 'why does it turn'}],
            'max_tokens': 5,
            'seed': 3,
        }
        whole = call(
            self.daemon,
            'POST',
            '/v1/chat/completions',
            json.dumps(body),
        )
        message = json.loads(whole.body)['choices'][0]['message']
        streamed = call(
            self.daemon,
            'POST',
            '/v1/chat/completions',
            json.dumps({**body, 'stream': True}),
        )
        pieces = [
            json.loads(line[6:])['choices'][0]['delta']['content']
            for line in streamed.body.decode().splitlines()
            if line.startswith('data: {')
        ]
        self.assertEqual(message['content'], ''.join(pieces))
        self.assertEqual(len(pieces), 5)
        self.assertTrue(streamed.body.endswith(b'data: [DONE]\n\n'))

    def test_caller_that_hangs_up_frees_the_engines(self) -> None:
        """The streams of a caller that disconnects are cancelled on the engines."""
        body = deployments.draft_body(max_tokens=8_000).encode()
        head = (
            'POST /v1/completions HTTP/1.1\r\nHost: a\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        port = self.daemon.process.port
        with socket.create_connection(('127.0.0.1', port)) as connection:
            connection.sendall(head.encode() + body)
            self.assertIn(b' 200 ', connection.recv(4096))
        for name in ('engine-0', 'engine-1'):
            engine = self.deployment.targets[name]
            processes.wait_until(lambda url=engine.url: _streams(url) == 0)

    def test_metrics_carry_units_and_reasons(self) -> None:
        """Requests are counted by route, outcome and reason."""
        call(self.daemon, 'GET', '/nothing')
        draft(self.daemon)
        request = url_request.Request(
            f'{self.daemon.operators_url}/metrics',
            headers={'Authorization': f'Bearer {self.deployment.token}'},
        )
        with url_request.urlopen(request, timeout=10) as response:
            text = response.read().decode()
        self.assertIn('reason="no_route",route=""', text)
        self.assertIn('nutmegspoke_request_seconds_bucket', text)
        self.assertIn('nutmegspoke_revision 1', text)
        for name in ('first_token', 'token_gap'):
            counted = f'nutmegspoke_{name}_seconds_count{{route="drafts"}}'
            self.assertIn(counted, text)

    def test_operators_port_wants_its_token(self) -> None:
        """Status and metrics are refused without the right token."""
        url = f'{self.daemon.operators_url}/status'
        self.assertEqual(processes.fetch_status(url), 401)
        with self.assertRaises(OSError):
            processes.call_json(url, Authorization='Bearer wrong')
        status = self.deployment.status(self.daemon)
        self.assertTrue(status['is_ready'])
        self.assertEqual(status['revision'], 1)
        log = self.daemon.process.log_path.read_text('utf-8')
        self.assertIn('operators: call refused', log)
        self.assertNotIn(self.deployment.token, log)


def _streams(url: str) -> int:
    return processes.call_json(f'{url}/v1/streams')['streams']
