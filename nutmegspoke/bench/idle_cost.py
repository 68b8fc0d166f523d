"""Measure the control overhead of an idle daemon by deployment size."""

from __future__ import annotations

import dataclasses
import statistics
import time

from nutmegspoke.bench import processes
from nutmegspoke.bench.deployment import Daemon, DaemonOptions, Deployment
from nutmegspoke.bench.ports import HOST, find_free_ports
from nutmegspoke.bench.results import Result, Section
from nutmegspoke.bench.usage import read_usage

_MAX_CORE_SHARE = 0.018
_MAX_RSS_BYTES = 128 * 1024 * 1024
_MAX_BYTES_PER_S = 19_000
_TARGET_COUNTS = (10, 100, 300)
_ROUTE_COUNTS = (1, 100, 700)
_DAEMON_COUNTS = (1, 5, 9, 20)
_REFERENCE_TARGETS = 12_000
_REFERENCE_ROUTES = 640
_WINDOW_S = 8.0
_QUICK_WINDOW_S = 3.0
_SETTLE_S = 2.0
_BASE_TABLES = """\
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
_ROUTE_TEMPLATE = """
[route extra-{number}]
path = /extra/{number}
pool = farm
repeatable = yes
teams =
    team-{number} weight=1 max_in_flight=10
"""


@dataclasses.dataclass(frozen=True, slots=True)
class _DeploymentSize:
    """Number of targets, routes and daemons of a deployment."""

    targets: int = _TARGET_COUNTS[0]
    routes: int = 1
    daemons: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class IdleCost:
    """Resource usage of an idle daemon.

    :param targets: number of targets that the daemon monitors.
    :param routes: number of rows in the route table.
    :param daemons: number of daemons that exchange state, itself included.
    :param core_share: CPU time as a share of one core.
    :param rss_bytes: resident memory.
    :param bytes_per_s: bytes read and written per second.
    """

    targets: int
    routes: int
    daemons: int
    core_share: float
    rss_bytes: int
    bytes_per_s: float


def measure(*, is_quick: bool) -> Section:
    """Measure the cost at several sizes and fit its slopes.

    The costs at 12,000 targets are extrapolated from the fitted lines.

    :param is_quick: measure two numbers of targets over a short window.
    """
    if is_quick:
        by_targets = _measure_by_targets(_TARGET_COUNTS[:2], _QUICK_WINDOW_S)
        return Section('idle daemon', _build_slope_results(by_targets))
    by_targets = _measure_by_targets(_TARGET_COUNTS, _WINDOW_S)
    by_routes = [
        _measure_cost(_DeploymentSize(routes=count), _WINDOW_S)
        for count in _ROUTE_COUNTS
    ]
    by_daemons = [
        _measure_cost(_DeploymentSize(daemons=count), _WINDOW_S)
        for count in _DAEMON_COUNTS
    ]
    return Section(
        'idle daemon',
        _build_results(by_targets, by_routes, by_daemons),
        {
            'by_targets': [dataclasses.asdict(each) for each in by_targets],
            'by_routes': [dataclasses.asdict(each) for each in by_routes],
            'by_daemons': [dataclasses.asdict(each) for each in by_daemons],
        },
    )


def _measure_by_targets(
    counts: tuple[int, ...], window_s: float
) -> list[IdleCost]:
    return [
        _measure_cost(_DeploymentSize(targets=count), window_s)
        for count in counts
    ]


def _build_slope_results(by_targets: list[IdleCost]) -> list[Result]:
    return [
        Result(f'{field}_per_target', _fit_line(by_targets, field).slope)
        for field in ('core_share', 'rss_bytes', 'bytes_per_s')
    ]


def _build_results(
    by_targets: list[IdleCost],
    by_routes: list[IdleCost],
    by_daemons: list[IdleCost],
) -> list[Result]:
    core_by_daemons = _fit_line(by_daemons, 'core_share', 'daemons')
    rss_by_daemons = _fit_line(by_daemons, 'rss_bytes', 'daemons')
    core_by_targets = _fit_line(by_targets, 'core_share')
    rss_by_targets = _fit_line(by_targets, 'rss_bytes')
    traffic_by_targets = _fit_line(by_targets, 'bytes_per_s')
    rss_by_routes = _fit_line(by_routes, 'rss_bytes', 'routes')
    rss_at_reference = _extrapolate(rss_by_targets, _REFERENCE_TARGETS) + (
        rss_by_routes.slope * _REFERENCE_ROUTES
    )
    return [
        *_build_slope_results(by_targets),
        Result('rss_bytes_per_route', rss_by_routes.slope),
        Result('core_share_per_daemon', core_by_daemons.slope),
        Result('rss_bytes_per_daemon', rss_by_daemons.slope),
        Result('core_share_base', core_by_targets.intercept),
        Result('rss_bytes_base', rss_by_targets.intercept),
        Result('bytes_per_s_base', traffic_by_targets.intercept),
        Result.at_most(
            'core_share_at_12000_targets_if_each_daemon_polls_all',
            _extrapolate(core_by_targets, _REFERENCE_TARGETS),
            _MAX_CORE_SHARE,
        ),
        Result.at_most(
            'rss_bytes_at_12000_targets',
            rss_at_reference,
            _MAX_RSS_BYTES,
        ),
        Result.at_most(
            'bytes_per_s_at_12000_targets_if_each_daemon_polls_all',
            _extrapolate(traffic_by_targets, _REFERENCE_TARGETS),
            _MAX_BYTES_PER_S,
        ),
    ]


def _fit_line(
    costs: list[IdleCost],
    field: str,
    size: str = 'targets',
) -> statistics.LinearRegression:
    sizes = [getattr(cost, size) for cost in costs]
    return statistics.linear_regression(
        sizes,
        [getattr(cost, field) for cost in costs],
    )


def _extrapolate(fit: statistics.LinearRegression, size: int) -> float:
    return fit.intercept + fit.slope * size


def _measure_cost(size: _DeploymentSize, window_s: float) -> IdleCost:
    with Deployment() as deployment:
        _start_farm(deployment, size.targets)
        _apply_tables(deployment, size.routes)
        options = DaemonOptions(poll_interval_s=1.0)
        for number in range(size.daemons):
            deployment.start_daemon(f'idle-{number}', options)
        deployment.wait_ready()
        daemon = deployment.daemons['idle-0']
        deployment.wait_targets(daemon, size.targets)
        time.sleep(_SETTLE_S)
        return _sample_usage(daemon, size, window_s)


def _sample_usage(
    daemon: Daemon, size: _DeploymentSize, window_s: float
) -> IdleCost:
    pid = daemon.process.popen.pid
    before = read_usage(pid)
    time.sleep(window_s)
    after = read_usage(pid)
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
    deployment.start_module(
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
    processes.wait_for_url(f'http://{HOST}:{ports[-1]}/v1/load')


def _apply_tables(deployment: Deployment, routes: int) -> None:
    extra_routes = [
        _ROUTE_TEMPLATE.format(number=number) for number in range(1, routes)
    ]
    deployment.apply_tables(''.join((_BASE_TABLES, *extra_routes)))
