"""Measure the effect of a killed daemon on callers."""

from __future__ import annotations

import asyncio
import dataclasses
import time

import aiohttp

from nutmegspoke.bench.deployment import Daemon, Deployment
from nutmegspoke.bench.results import Result, Section

_DAEMONS = 3
_CALLERS = 6
_TEAM_LIMIT = 6
_CALL_DURATION_S = 0.5
_WARM_UP_S = 12.0
_AFTER_KILL_S = 12.0
_WINDOW_S = 1.0
_RECOVERED_SHARE = 0.9
_MAX_RECOVERY_S = 5.0
_PAUSE_S = 0.05
_HTTP_OK = 200
_TABLES = f"""\
[route roster]
path = /roster/*
pool = records
repeatable = yes
teams =
    press weight=1 max_in_flight={_TEAM_LIMIT}

[pool records]
kind = service
selector = records
"""


@dataclasses.dataclass(slots=True)
class _Observation:
    """Times of successful calls, and results of calls right after the kill."""

    success_times_s: list[float] = dataclasses.field(default_factory=list)
    killed_s: float = 0.0
    ok_after_kill: int = 0
    sent_after_kill: int = 0

    def rate_per_s(self, end_s: float) -> float:
        begin_s = end_s - _WINDOW_S
        count = sum(begin_s < each <= end_s for each in self.success_times_s)
        return count / _WINDOW_S


def measure(*, is_quick: bool) -> Section:
    """Kill one of three daemons that share the in-flight limit of a team.

    :param is_quick: ignored; there is only one variant.
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
        service.inject_fault('stall', path='/roster', delay_s=_CALL_DURATION_S)
        observation = asyncio.run(
            _kill_and_observe(list(deployment.daemons.values()))
        )
    full_rate_per_s = _TEAM_LIMIT / _CALL_DURATION_S
    return Section(
        'daemon killed',
        [
            Result(
                'calls_per_s_before',
                observation.rate_per_s(observation.killed_s),
            ),
            Result.at_least(
                'next_requests_served_share',
                observation.ok_after_kill / observation.sent_after_kill,
                1,
            ),
            Result.at_most(
                'limits_whole_again_s',
                _measure_recovery_s(
                    observation, _RECOVERED_SHARE * full_rate_per_s
                ),
                _MAX_RECOVERY_S,
            ),
        ],
    )


async def _kill_and_observe(daemons: list[Daemon]) -> _Observation:
    observation = _Observation()
    end_s = time.monotonic() + _WARM_UP_S + _AFTER_KILL_S
    async with aiohttp.ClientSession() as session:
        callers = [
            asyncio.create_task(
                _run_caller(session, daemon, observation, end_s)
            )
            for daemon in daemons
            for _ in range(_CALLERS)
        ]
        await asyncio.sleep(_WARM_UP_S)
        daemons[0].process.kill()
        observation.killed_s = time.monotonic()
        await _send_through_balancer(session, daemons, observation)
        await asyncio.gather(*callers)
    return observation


async def _run_caller(
    session: aiohttp.ClientSession,
    daemon: Daemon,
    observation: _Observation,
    end_s: float,
) -> None:
    while time.monotonic() < end_s:
        if await _send_call(session, daemon):
            observation.success_times_s.append(time.monotonic())
        else:
            await asyncio.sleep(_PAUSE_S)


async def _send_through_balancer(
    session: aiohttp.ClientSession,
    daemons: list[Daemon],
    observation: _Observation,
) -> None:
    """Send calls as the balancer does: skip daemons that refuse connections."""
    for _ in range(_DAEMONS):
        observation.sent_after_kill += 1
        for daemon in daemons:
            if await _send_call(session, daemon):
                observation.ok_after_kill += 1
                break


async def _send_call(session: aiohttp.ClientSession, daemon: Daemon) -> bool:
    try:
        async with session.get(
            f'{daemon.url}/roster/members',
            headers={'Nutmegspoke-Team': 'press'},
        ) as response:
            await response.read()
            return response.status == _HTTP_OK
    except (aiohttp.ClientError, OSError):
        return False


def _measure_recovery_s(
    observation: _Observation, min_rate_per_s: float
) -> float:
    """Return the seconds from the kill until the limit is used fully again.

    This is the start of the first window with the minimum rate.
    """
    end_s = observation.killed_s + _WINDOW_S
    while observation.rate_per_s(end_s) < min_rate_per_s:
        end_s += _PAUSE_S
        if end_s > observation.killed_s + _AFTER_KILL_S:
            return _AFTER_KILL_S
    return end_s - _WINDOW_S - observation.killed_s
