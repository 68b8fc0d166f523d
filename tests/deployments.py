"""Helpers for tests that run a small deployment of processes."""

from __future__ import annotations

import http.client
import json
import urllib.parse
from typing import TYPE_CHECKING

from nutmegspoke.bench import processes
from nutmegspoke.bench.deployment import Daemon, Deployment

if TYPE_CHECKING:
    from collections.abc import Mapping

TABLES = """\
[route drafts]
path = /v1/completions
model = fanletter
pool = drafting
repeatable = yes
max_body_bytes = 65536
progress_timeout_s = 2

[route chat]
path = /v1/chat/completions
model = fanletter
pool = drafting
repeatable = yes

[route roster]
path = /roster/*
pool = records
repeatable = yes
progress_timeout_s = 1

[route mailing]
path = /mailings
pool = records
repeatable = no
progress_timeout_s = 4

[pool drafting]
kind = engine
model = fanletter
version = 1
layer_count = 6
selector = drafting

[pool records]
kind = service
selector = records
"""
LAYERS = ('0-3', '3-6')


class Answer:
    """An HTTP answer with the headers that tests check."""

    def __init__(self, response: http.client.HTTPResponse) -> None:
        """Read the complete answer."""
        self.status = response.status
        self.headers = response.headers
        self.body = response.read()

    @property
    def executed(self) -> str:
        """Return whether the call ran, as reported to the caller."""
        return self.headers.get('Nutmegspoke-Executed', '')

    @property
    def reason(self) -> str:
        """Return the reason of a refusal; empty if there is none."""
        return self.headers.get('Nutmegspoke-Reason', '')

    @property
    def texts(self) -> list[str]:
        """Return the text of each token of a streamed answer."""
        return [
            choice['text']
            for line in self.body.decode().splitlines()
            if line.startswith('data: {')
            for choice in json.loads(line[len('data: ') :]).get('choices', ())
        ]


def start_small(deployment: Deployment, daemons: int = 1) -> None:
    """Start two engines, a service and daemons; wait until all are ready."""
    for number, layers in enumerate(LAYERS):
        deployment.start_target(
            f'engine-{number}',
            'engine',
            'drafting',
            'pnw-a',
            '--layers',
            layers,
            '--layer-count',
            '6',
        )
    deployment.start_target('records-1', 'service', 'records', 'pnw-a')
    apply(deployment, TABLES)
    for number in range(daemons):
        deployment.start_daemon(f'daemon-{number}')
    deployment.wait_ready()
    for daemon in deployment.daemons.values():
        deployment.wait_targets(daemon, len(LAYERS) + 1)


def apply(deployment: Deployment, tables: str) -> None:
    """Apply tables with the command-line tool."""
    deployment.apply_tables(tables)


def call(
    daemon: Daemon,
    method: str,
    path: str,
    body: str | bytes = '',
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 20,
) -> Answer:
    """Send a request to a daemon and read the complete answer."""
    address = urllib.parse.urlsplit(daemon.url)
    connection = http.client.HTTPConnection(
        address.hostname,
        address.port,
        timeout=timeout_s,
    )
    try:
        connection.request(method, path, body, dict(headers or {}))
        return Answer(connection.getresponse())
    finally:
        connection.close()


def draft_body(prompt: str = 'club notes', **fields: object) -> str:
    """Return the JSON body of a streamed draft.

    :param fields: fields that are added or replaced.
    """
    body = {
        'model': 'fanletter',
        'prompt': prompt,
        'max_tokens': 8,
        'stream': True,
    }
    return json.dumps({**body, **fields})


def draft(
    daemon: Daemon, prompt: str = 'club notes', **fields: object
) -> Answer:
    """Send a streamed draft and read the complete answer."""
    return call(daemon, 'POST', '/v1/completions', draft_body(prompt, **fields))


def journal(deployment: Deployment, path: str) -> list[dict[str, str]]:
    """Return the calls of a path in the journal of the record service."""
    service = deployment.targets['records-1']
    entries = processes.call_json(f'{service.url}/journal')
    return [entry for entry in entries if entry['path'] == path]
