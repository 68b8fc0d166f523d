"""Measures what an idle daemon spends on control, by number of targets."""

from __future__ import annotations

import dataclasses
import statistics
import time

from nutmegspoke.bench import processes
from nutmegspoke.bench.deployment import Daemon, DaemonOptions, Deployment
from nutmegspoke.bench.ports import HOST, find_free_ports
from nutmegspoke.bench.results import Result, Section
from nutmegspoke.bench.usage import usage_of

_TARGET_CORE_SHARE = 0.018
_TARGET_RSS_BYTES = 128 * 1024 * 1024
_TARGET_BYTES_PER_S = 19_000
_TARGET_COUNTS = (10, 100, 300)
_ROW_COUNTS = (1, 100, 700)
_DAEMON_COUNTS = (1, 5, 9, 20)
_TARGETS_AT_SIZE = 12_000
_ROUTES_AT_SIZE = 640
_WINDOW_S = 8.0
_QUICK_WINDOW_S = 3.0
_SETTLE_S = 2.0
_POOL = """\
[route farm]
path = /v1/completions
model = farm
pool = farm
repeatable = yes

[pool farm]
kind = engine
model = farm
version = 1
layer_count = 8
selector = farm
"""
_ROUTE = """
[route extra-{number}]
path = /extra/{number}
pool = farm
repeatable = yes
teams =
    team-{number} weight=1 max_in_flight=10
"""


@dataclasses.dataclass(frozen=True, slots=True)
class _Size:
    """What a deployment holds."""

    targets: int = _TARGET_COUNTS[0]
    routes: int = 1
    daemons: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class IdleCost:
    """What an idle daemon used.

    :param targets: targets that it watched.
    :param routes: rows of its table of routes.
    :param daemons: daemons that exchange state, itself included.
    :param core_share: processor time as a share of one core.
    :param rss_bytes: resident memory.
    :param bytes_per_s: bytes read and written a second.
    """

    targets: int
    routes: int
    daemons: int
    core_share: float
    rss_bytes: int
    bytes_per_s: float


def measure(*, is_quick: bool) -> Section:
    """Return the cost at several sizes and the slopes.

    :param is_quick: two numbers of targets and a short window.
    """
    if is_quick:
        by_targets = _by_targets(_TARGET_COUNTS[:2], _QUICK_WINDOW_S)
        return Section('idle daemon', _target_slopes(by_targets))
    by_targets = _by_targets(_TARGET_COUNTS, _WINDOW_S)
    by_routes = [_cost(_Size(routes=count), _WINDOW_S) for count in _ROW_COUNTS]
    by_daemons = [
        _cost(_Size(daemons=count), _WINDOW_S) for count in _DAEMON_COUNTS
    ]
    return Section(
        'idle daemon',
        _results(by_targets, by_routes, by_daemons),
        {
            'by_targets': [dataclasses.asdict(each) for each in by_targets],
            'by_routes': [dataclasses.asdict(each) for each in by_routes],
            'by_daemons': [dataclasses.asdict(each) for each in by_daemons],
        },
    )


def _by_targets(counts: tuple[int, ...], window_s: float) -> list[IdleCost]:
    return [_cost(_Size(targets=count), window_s) for count in counts]


def _target_slopes(by_targets: list[IdleCost]) -> list[Result]:
    return [
        Result(f'{field}_per_target', _line(by_targets, field).slope)
        for field in ('core_share', 'rss_bytes', 'bytes_per_s')
    ]


def _results(
    by_targets: list[IdleCost],
    by_routes: list[IdleCost],
    by_daemons: list[IdleCost],
) -> list[Result]:
    peer_core = _line(by_daemons, 'core_share', 'daemons')
    peer_rss = _line(by_daemons, 'rss_bytes', 'daemons')
    core = _line(by_targets, 'core_share')
    rss = _line(by_targets, 'rss_bytes')
    traffic = _line(by_targets, 'bytes_per_s')
    route_rss = _line(by_routes, 'rss_bytes', 'routes')
    rss_at_size = _at(rss, _TARGETS_AT_SIZE) + (
        route_rss.slope * _ROUTES_AT_SIZE
    )
    return [
        *_target_slopes(by_targets),
        Result('rss_bytes_per_route', route_rss.slope),
        Result('core_share_per_daemon', peer_core.slope),
        Result('rss_bytes_per_daemon', peer_rss.slope),
        Result('core_share_base', core.intercept),
        Result('rss_bytes_base', rss.intercept),
        Result('bytes_per_s_base', traffic.intercept),
        Result.at_most(
            'core_share_at_12000_targets_if_each_daemon_polls_all',
            _at(core, _TARGETS_AT_SIZE),
            _TARGET_CORE_SHARE,
        ),
        Result.at_most(
            'rss_bytes_at_12000_targets',
            rss_at_size,
            _TARGET_RSS_BYTES,
        ),
        Result.at_most(
            'bytes_per_s_at_12000_targets_if_each_daemon_polls_all',
            _at(traffic, _TARGETS_AT_SIZE),
            _TARGET_BYTES_PER_S,
        ),
    ]


def _line(
    costs: list[IdleCost],
    field: str,
    size: str = 'targets',
) -> statistics.LinearRegression:
    sizes = [getattr(cost, size) for cost in costs]
    return statistics.linear_regression(
        sizes,
        [getattr(cost, field) for cost in costs],
    )


def _at(line: statistics.LinearRegression, size: int) -> float:
    return line.intercept + line.slope * size


def _cost(size: _Size, window_s: float) -> IdleCost:
    with Deployment() as deployment:
        _start_farm(deployment, size.targets)
        _apply(deployment, size.routes)
        options = DaemonOptions(poll_interval_s=1.0)
        for number in range(size.daemons):
            deployment.start_daemon(f'idle-{number}', options)
        deployment.wait_ready()
        daemon = deployment.daemons['idle-0']
        deployment.wait_targets(daemon, size.targets)
        time.sleep(_SETTLE_S)
        return _observe(daemon, size, window_s)


def _observe(daemon: Daemon, size: _Size, window_s: float) -> IdleCost:
    pid = daemon.process.popen.pid
    before = usage_of(pid)
    time.sleep(window_s)
    after = usage_of(pid)
    return IdleCost(
        targets=size.targets,
        routes=size.routes,
        daemons=size.daemons,
        core_share=(after.cpu_s - before.cpu_s) / window_s,
        rss_bytes=after.rss_bytes,
        bytes_per_s=(after.io_bytes - before.io_bytes) / window_s,
    )


def _start_farm(deployment: Deployment, count: int) -> None:
    ports = find_free_ports(count)
    deployment.start_other(
        'farm',
        'nutmegspoke.standins.farm',
        ','.join(map(str, ports)),
    )
    for number, port in enumerate(ports):
        entry = {
            'name': f'farm-{number}',
            'address': f'{HOST}:{port}',
            'availability_zone': f'pnw-{number % 3}',
            'selector': 'farm',
        }
        processes.call_json(f'{deployment.platform.url}/hosts', 'PUT', entry)
    processes.wait_for(f'http://{HOST}:{ports[-1]}/v1/load')


def _apply(deployment: Deployment, routes: int) -> None:
    extra = [_ROUTE.format(number=number) for number in range(1, routes)]
    deployment.apply_tables(''.join((_POOL, *extra)))
