"""Measure the time until a table change is in force on all daemons."""

from __future__ import annotations

import time

from nutmegspoke.bench.deployment import DaemonOptions, Deployment
from nutmegspoke.bench.load_tool import TimeHistogram, TimesReport
from nutmegspoke.bench.results import Result, Section

_DAEMONS = 9
_QUICK_DAEMONS = 3
_CHANGES = 20
_QUICK_CHANGES = 4
_POLL_INTERVAL_S = 1.0
_MAX_P99_S = 2.0
_STATUS_POLL_S = 0.02
_TIMEOUT_S = 15.0
_TABLES = """\
[route roster]
path = /roster/{number}
pool = records
repeatable = yes

[pool records]
kind = service
selector = records
"""


def measure(*, is_quick: bool) -> Section:
    """Measure the time from an accepted change until the last daemon has it.

    :param is_quick: run fewer daemons and changes.
    """
    daemons = _QUICK_DAEMONS if is_quick else _DAEMONS
    changes = _QUICK_CHANGES if is_quick else _CHANGES
    times = TimeHistogram()
    options = DaemonOptions(poll_interval_s=_POLL_INTERVAL_S)
    with Deployment() as deployment:
        deployment.apply_tables(_TABLES.format(number=0))
        for number in range(daemons):
            deployment.start_daemon(f'daemon-{number}', options)
        deployment.wait_ready()
        for number in range(1, changes + 1):
            deployment.apply_tables(_TABLES.format(number=number))
            times.record(_wait_for_revision(deployment, number + 1))
    report = TimesReport.from_histogram(times)
    return Section(
        'change in force',
        [
            Result('change_in_force_p50_s', report.p50_s),
            Result.at_most(
                f'change_in_force_on_{daemons}_daemons_p99_s',
                report.p99_s,
                _MAX_P99_S,
            ),
        ],
    )


def _wait_for_revision(deployment: Deployment, revision: int) -> float:
    """Wait until all daemons have a revision; return the seconds waited."""
    start_s = time.monotonic()
    lagging = set(deployment.daemons.values())
    while lagging:
        lagging = {
            daemon
            for daemon in lagging
            if deployment.status(daemon)['revision'] < revision
        }
        if time.monotonic() - start_s > _TIMEOUT_S:
            raise TimeoutError(
                f'revision {revision} is not in force on all daemons'
            )
        time.sleep(_STATUS_POLL_S)
    return time.monotonic() - start_s
