"""Demo that sends requests through a local deployment of processes."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import sys
from http import client as http_client
from urllib import parse as url_parse

from nutmegspoke.bench import processes
from nutmegspoke.bench.deployment import Daemon, DaemonOptions, Deployment
from nutmegspoke.bench.sample_tables import SAMPLE_TABLES

_EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
_ENGINES = (
    ('engine-a1', 'pnw-a', '0-4'),
    ('engine-a2', 'pnw-a', '4-8'),
    ('engine-b1', 'pnw-b', '8-12'),
    ('engine-b2', 'pnw-b', '0-6'),
    ('engine-c1', 'pnw-c', '6-12'),
)
_TARGET_COUNT = len(_ENGINES) + 1
_MAX_TOKENS = 24
_HTTP_OK = 200


@dataclasses.dataclass(slots=True)
class _Tally:
    """Counters of the demo's requests."""

    requests: int = 0
    complete: int = 0

    def count(self, *, is_complete: bool) -> None:
        """Count one request."""
        self.requests += 1
        self.complete += is_complete


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """An HTTP answer with the headers that the demo uses."""

    status: int
    request_id: str
    executed: str
    body: str


def main() -> int:
    """Run the demo.

    :returns: exit code; 0 if no request was lost and none ran twice.
    """
    tally = _Tally()
    with Deployment() as deployment:
        _start_deployment(deployment)
        first_id = _send_drafts(deployment, tally)
        _read_record(deployment, tally)
        doubled = _send_mailing(deployment, tally)
        _explain(deployment, first_id)
    lost = tally.requests - tally.complete
    print(
        f'demo: {tally.requests} requests, {tally.complete} complete, '
        f'{lost} lost, {doubled} doubled',
    )
    return 1 if lost or doubled else 0


def _start_deployment(deployment: Deployment) -> None:
    for name, zone, layers in _ENGINES:
        deployment.start_target(
            name,
            'engine',
            'drafting',
            zone,
            '--layers',
            layers,
        )
    deployment.start_target('records-1', 'service', 'records', 'pnw-a')
    for name, zone in (('daemon-a', 'pnw-a'), ('daemon-b', 'pnw-b')):
        deployment.start_daemon(name, DaemonOptions(availability_zone=zone))
    deployment.apply_tables(SAMPLE_TABLES)
    deployment.wait_ready()
    for daemon in deployment.daemons.values():
        deployment.wait_targets(daemon, _TARGET_COUNT)
    print(f'started: {len(deployment.targets)} targets, 2 daemons')


def _send_drafts(deployment: Deployment, tally: _Tally) -> str:
    request_ids = []
    for daemon in deployment.daemons.values():
        for prompt in _load_prompts():
            answer = _send_draft(daemon, prompt)
            text = _extract_text(answer.body)
            has_all_tokens = len(text.split()) == _MAX_TOKENS
            tally.count(
                is_complete=answer.status == _HTTP_OK and has_all_tokens
            )
            request_ids.append(answer.request_id)
            print(f'draft from {daemon.process.name}: {text}')
    return request_ids[0]


def _load_prompts() -> list[str]:
    paths = sorted(_EXAMPLES.glob('*/inputs/*.txt'))
    texts = [path.read_text('utf-8') for path in paths]
    return texts or ['Notes of the fan club: the band plays in Tacoma.']


def _read_record(deployment: Deployment, tally: _Tally) -> None:
    daemon = deployment.daemons['daemon-a']
    answer = _send_call(daemon, 'GET', '/roster/members')
    tally.count(is_complete=answer.status == _HTTP_OK)
    print(f'record read: status {answer.status} {answer.body}')


def _send_mailing(deployment: Deployment, tally: _Tally) -> int:
    """Send a call with the same key to both daemons.

    :returns: number of runs beyond the first.
    """
    for daemon in deployment.daemons.values():
        answer = _send_call(
            daemon,
            'POST',
            '/mailings',
            body='{"issue": 7}',
            key='issue-7',
        )
        tally.count(is_complete=answer.status == _HTTP_OK)
        print(
            f'mailing through {daemon.process.name}: status {answer.status} '
            f'executed {answer.executed} {answer.body}',
        )
    service = deployment.targets['records-1']
    journal = processes.call_json(f'{service.url}/journal')
    runs = [entry for entry in journal if entry['path'] == '/mailings']
    return len(runs) - 1


def _explain(deployment: Deployment, request_id: str) -> None:
    print(f'explain {request_id}:')
    print(_run_tool(deployment, 'explain', request_id))


def _run_tool(deployment: Deployment, command: str, *arguments: str) -> str:
    return processes.run_tool(
        command,
        *arguments,
        '--platform',
        deployment.platform.url,
    )


def _send_draft(daemon: Daemon, prompt: str) -> _Answer:
    body = json.dumps(
        {
            'model': 'fanletter',
            'prompt': prompt,
            'max_tokens': _MAX_TOKENS,
            'stream': True,
        },
    )
    return _send_call(daemon, 'POST', '/v1/completions', body)


def _send_call(
    daemon: Daemon,
    method: str,
    path: str,
    body: str = '',
    key: str = '',
) -> _Answer:
    address = url_parse.urlsplit(daemon.url)
    connection = http_client.HTTPConnection(
        address.hostname,
        address.port,
        timeout=30,
    )
    headers = {'Idempotency-Key': key} if key else {}
    connection.request(method, path, body, headers)
    response = connection.getresponse()
    answer = _Answer(
        status=response.status,
        request_id=response.headers.get('Nutmegspoke-Request-Id', ''),
        executed=response.headers.get('Nutmegspoke-Executed', ''),
        body=response.read().decode(),
    )
    connection.close()
    return answer


def _extract_text(body: str) -> str:
    texts = []
    for line in body.splitlines():
        if line.startswith('data: {'):
            chunk = json.loads(line.removeprefix('data: '))
            texts.extend(choice['text'] for choice in chunk.get('choices', ()))
    return ''.join(texts).strip()


if __name__ == '__main__':
    sys.exit(main())
