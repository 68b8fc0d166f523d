"""Measure the memory of open streams and the size of request evidence."""

from __future__ import annotations

import asyncio
import dataclasses
import statistics
import time

import aiohttp
import msgspec

from nutmegspoke.bench.deployment import Daemon, Deployment
from nutmegspoke.bench.results import Result, Section
from nutmegspoke.bench.usage import read_usage
from nutmegspoke.border.platform_client import Connections, PlatformClient

_STREAM_COUNTS = (1, 100, 400)
_QUICK_STREAM_COUNTS = (1, 50)
_TOKENS = 400
_EVIDENCE_DRAFTS = 50
_EVIDENCE_TOKENS = 16
_EVIDENCE_WAIT_S = 5.0
_REFERENCE_STREAMS = 543
_MAX_RSS_BYTES = 128 * 1024 * 1024
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
class _StreamMemory:
    """Resident memory of the daemon while streams are open."""

    streams: int
    rss_bytes: int


def measure(*, is_quick: bool) -> Section:
    """Measure memory per stream and evidence bytes per request.

    :param is_quick: open fewer streams.
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
        counts = _QUICK_STREAM_COUNTS if is_quick else _STREAM_COUNTS
        measurements = [
            asyncio.run(_measure_open_streams(daemon, count))
            for count in counts
        ]
        evidence_bytes = asyncio.run(
            _measure_evidence_bytes(deployment, daemon)
        )
    fit = statistics.linear_regression(
        [each.streams for each in measurements],
        [each.rss_bytes for each in measurements],
    )
    rss_bytes_at_reference = fit.intercept + fit.slope * _REFERENCE_STREAMS
    return Section(
        'streams',
        [
            Result('rss_bytes_per_stream', fit.slope),
            Result.at_most(
                'rss_bytes_at_543_streams',
                rss_bytes_at_reference,
                _MAX_RSS_BYTES,
            ),
            Result('evidence_bytes_per_draft', evidence_bytes),
        ],
        {'by_streams': [dataclasses.asdict(each) for each in measurements]},
    )


async def _measure_open_streams(daemon: Daemon, count: int) -> _StreamMemory:
    """Open streams, wait for the first token of each, then close them."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        responses = await asyncio.gather(
            *(_open_stream(session, daemon, number) for number in range(count)),
        )
        rss_bytes = read_usage(daemon.process.popen.pid).rss_bytes
        for response in responses:
            response.close()
    return _StreamMemory(count, rss_bytes)


async def _open_stream(
    session: aiohttp.ClientSession,
    daemon: Daemon,
    number: int,
) -> aiohttp.ClientResponse:
    response = await session.post(
        f'{daemon.url}/v1/completions',
        data=_draft_body(number, _TOKENS),
    )
    await response.content.readline()
    return response


async def _measure_evidence_bytes(
    deployment: Deployment, daemon: Daemon
) -> float:
    """Return the mean evidence bytes that a draft adds to the object store."""
    async with aiohttp.ClientSession() as session:
        client = PlatformClient.from_url(
            deployment.platform.url,
            Connections(session, session),
        )
        before = await _measure_stored_bytes(client)
        for number in range(_EVIDENCE_DRAFTS):
            async with session.post(
                f'{daemon.url}/v1/completions',
                data=_draft_body(number, _EVIDENCE_TOKENS),
            ) as response:
                await response.read()
        await asyncio.sleep(_EVIDENCE_WAIT_S)
        after = await _measure_stored_bytes(client)
    return (after - before) / _EVIDENCE_DRAFTS


async def _measure_stored_bytes(client: PlatformClient) -> int:
    end_s = time.monotonic() + _EVIDENCE_WAIT_S
    while time.monotonic() < end_s:
        names = await client.objects.names('')
        if isinstance(names, tuple):
            bodies = [await client.objects.get(name) for name in names]
            return sum(len(body) for body in bodies if isinstance(body, bytes))
    raise TimeoutError('the object store does not return the list of names')


def _draft_body(number: int, tokens: int) -> bytes:
    return msgspec.json.encode(
        {
            'model': 'fanletter',
            'prompt': f'notes of club {number}',
            'max_tokens': tokens,
            'stream': True,
        },
    )
