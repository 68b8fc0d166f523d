"""Measures what callers see when a daemon is killed."""

from __future__ import annotations

import asyncio
import dataclasses
import time

import aiohttp

from nutmegspoke.bench.deployment import Daemon, Deployment
from nutmegspoke.bench.results import Result, Section

_DAEMONS = 3
_CALLERS = 6
_LIMIT = 6
_CALL_S = 0.5
_WARM_UP_S = 12.0
_AFTER_S = 12.0
_WINDOW_S = 1.0
_WHOLE_SHARE = 0.9
_TARGET_WHOLE_S = 5.0
_PAUSE_S = 0.05
_HTTP_OK = 200
_TABLES = f"""\
[route roster]
path = /roster/*
pool = records
repeatable = yes
teams =
    press weight=1 max_in_flight={_LIMIT}

[pool records]
kind = service
selector = records
"""


@dataclasses.dataclass(slots=True)
class _Seen:
    """Ends of calls, and what became of those right after the kill."""

    ended_s: list[float] = dataclasses.field(default_factory=list)
    killed_s: float = 0.0
    next_ok: int = 0
    next_sent: int = 0

    def rate_per_s(self, end_s: float) -> float:
        begin_s = end_s - _WINDOW_S
        count = sum(begin_s < each <= end_s for each in self.ended_s)
        return count / _WINDOW_S


def measure(*, is_quick: bool) -> Section:
    """Kill one of three daemons that share a team's limit.

    :param is_quick: not used; there is one run.
    """
    with Deployment() as deployment:
        service = deployment.start_target(
            'records-1',
            'service',
            'records',
            'pnw-a',
        )
        deployment.apply_tables(_TABLES)
        for number in range(_DAEMONS):
            deployment.start_daemon(f'daemon-{number}')
        deployment.wait_ready()
        for daemon in deployment.daemons.values():
            deployment.wait_targets(daemon, 1)
        service.inject_fault('stall', path='/roster', delay_s=_CALL_S)
        seen = asyncio.run(_run(list(deployment.daemons.values())))
    full_per_s = _LIMIT / _CALL_S
    return Section(
        'daemon killed',
        [
            Result('calls_per_s_before', seen.rate_per_s(seen.killed_s)),
            Result.at_least(
                'next_requests_served_share',
                seen.next_ok / seen.next_sent,
                1,
            ),
            Result.at_most(
                'limits_whole_again_s',
                _whole_after_s(seen, _WHOLE_SHARE * full_per_s),
                _TARGET_WHOLE_S,
            ),
        ],
    )


async def _run(daemons: list[Daemon]) -> _Seen:
    seen = _Seen()
    end_s = time.monotonic() + _WARM_UP_S + _AFTER_S
    async with aiohttp.ClientSession() as session:
        callers = [
            asyncio.create_task(_caller(session, daemon, seen, end_s))
            for daemon in daemons
            for _ in range(_CALLERS)
        ]
        await asyncio.sleep(_WARM_UP_S)
        daemons[0].process.kill()
        seen.killed_s = time.monotonic()
        await _send_by_the_balancer(session, daemons, seen)
        await asyncio.gather(*callers)
    return seen


async def _caller(
    session: aiohttp.ClientSession,
    daemon: Daemon,
    seen: _Seen,
    end_s: float,
) -> None:
    while time.monotonic() < end_s:
        if await _call(session, daemon):
            seen.ended_s.append(time.monotonic())
        else:
            await asyncio.sleep(_PAUSE_S)


async def _send_by_the_balancer(
    session: aiohttp.ClientSession,
    daemons: list[Daemon],
    seen: _Seen,
) -> None:
    """Send as a balancer does: a daemon that refuses connections is skipped."""
    for _ in range(_DAEMONS):
        seen.next_sent += 1
        for daemon in daemons:
            if await _call(session, daemon):
                seen.next_ok += 1
                break


async def _call(session: aiohttp.ClientSession, daemon: Daemon) -> bool:
    try:
        async with session.get(
            f'{daemon.url}/roster/members',
            headers={'Nutmegspoke-Team': 'press'},
        ) as response:
            await response.read()
            return response.status == _HTTP_OK
    except (aiohttp.ClientError, OSError):
        return False


def _whole_after_s(seen: _Seen, wanted_per_s: float) -> float:
    """Return when a window began in which the limit was used whole."""
    end_s = seen.killed_s + _WINDOW_S
    while seen.rate_per_s(end_s) < wanted_per_s:
        end_s += _PAUSE_S
        if end_s > seen.killed_s + _AFTER_S:
            return _AFTER_S
    return end_s - _WINDOW_S - seen.killed_s
