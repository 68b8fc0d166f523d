"""Measures the memory of open streams and the evidence of a request."""

from __future__ import annotations

import asyncio
import dataclasses
import statistics
import time

import aiohttp
import msgspec

from nutmegspoke.bench.deployment import Daemon, Deployment
from nutmegspoke.bench.results import Result, Section
from nutmegspoke.bench.usage import usage_of
from nutmegspoke.border.platform_client import Connections, PlatformClient

_STREAM_COUNTS = (1, 100, 400)
_QUICK_COUNTS = (1, 50)
_TOKENS = 400
_EVIDENCE_DRAFTS = 50
_EVIDENCE_TOKENS = 16
_EVIDENCE_WAIT_S = 5.0
_STREAMS_AT_SIZE = 543
_TARGET_RSS_BYTES = 128 * 1024 * 1024
_TABLES = """\
[route drafts]
path = /v1/completions
model = fanletter
pool = drafting
repeatable = yes
timeout_s = 600

[pool drafting]
kind = engine
model = fanletter
version = 1
layer_count = 4
selector = drafting
max_in_flight = 1000
max_queue = 1000
"""


@dataclasses.dataclass(frozen=True, slots=True)
class _Open:
    """Memory of the daemon while streams are open."""

    streams: int
    rss_bytes: int


def measure(*, is_quick: bool) -> Section:
    """Return memory for each stream and evidence for each request.

    :param is_quick: fewer streams.
    """
    with Deployment() as deployment:
        for name, layers in (('engine-1', '0-2'), ('engine-2', '2-4')):
            deployment.start_target(
                name,
                'engine',
                'drafting',
                'pnw-a',
                '--layers',
                layers,
                '--layer-count',
                '4',
                '--layer-tokens-per-s',
                '2000',
            )
        deployment.apply_tables(_TABLES)
        daemon = deployment.start_daemon('daemon')
        deployment.wait_ready()
        deployment.wait_targets(daemon, 2)
        counts = _QUICK_COUNTS if is_quick else _STREAM_COUNTS
        opened = [asyncio.run(_open(daemon, count)) for count in counts]
        evidence_bytes = asyncio.run(_evidence(deployment, daemon))
    line = statistics.linear_regression(
        [each.streams for each in opened],
        [each.rss_bytes for each in opened],
    )
    at_size = line.intercept + line.slope * _STREAMS_AT_SIZE
    return Section(
        'streams',
        [
            Result('rss_bytes_per_stream', line.slope),
            Result.at_most(
                'rss_bytes_at_543_streams',
                at_size,
                _TARGET_RSS_BYTES,
            ),
            Result('evidence_bytes_per_draft', evidence_bytes),
        ],
        {'by_streams': [dataclasses.asdict(each) for each in opened]},
    )


async def _open(daemon: Daemon, count: int) -> _Open:
    """Hold streams open until each has a token, then hang up."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        responses = await asyncio.gather(
            *(_begin(session, daemon, number) for number in range(count)),
        )
        rss_bytes = usage_of(daemon.process.popen.pid).rss_bytes
        for response in responses:
            response.close()
    return _Open(count, rss_bytes)


async def _begin(
    session: aiohttp.ClientSession,
    daemon: Daemon,
    number: int,
) -> aiohttp.ClientResponse:
    response = await session.post(
        f'{daemon.url}/v1/completions',
        data=_body(number, _TOKENS),
    )
    await response.content.readline()
    return response


async def _evidence(deployment: Deployment, daemon: Daemon) -> float:
    """Return the bytes of evidence that a draft adds to the object store."""
    async with aiohttp.ClientSession() as session:
        client = PlatformClient.from_url(
            deployment.platform.url,
            Connections(session, session),
        )
        before = await _stored_bytes(client)
        for number in range(_EVIDENCE_DRAFTS):
            async with session.post(
                f'{daemon.url}/v1/completions',
                data=_body(number, _EVIDENCE_TOKENS),
            ) as response:
                await response.read()
        await asyncio.sleep(_EVIDENCE_WAIT_S)
        after = await _stored_bytes(client)
    return (after - before) / _EVIDENCE_DRAFTS


async def _stored_bytes(client: PlatformClient) -> int:
    end_s = time.monotonic() + _EVIDENCE_WAIT_S
    while time.monotonic() < end_s:
        names = await client.objects.names('')
        if isinstance(names, tuple):
            bodies = [await client.objects.get(name) for name in names]
            return sum(len(body) for body in bodies if isinstance(body, bytes))
    raise TimeoutError('the object store does not answer')


def _body(number: int, tokens: int) -> bytes:
    return msgspec.json.encode(
        {
            'model': 'fanletter',
            'prompt': f'notes of club {number}',
            'max_tokens': tokens,
            'stream': True,
        },
    )
