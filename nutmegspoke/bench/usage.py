"""Resource usage of a process, read from ``/proc``."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import re

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_KIB = 1024
_USER_TICKS_INDEX = 11
_SYSTEM_TICKS_INDEX = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of a process.

    :param cpu_s: CPU time since the start, user and system.
    :param rss_bytes: current resident memory.
    :param io_bytes: bytes read and written since the start, sockets included.
    """

    cpu_s: float
    rss_bytes: int
    io_bytes: int


def read_usage(pid: int) -> Usage:
    """Return the resource usage of a running process."""
    folder = pathlib.Path('/proc', str(pid))
    stat = folder.joinpath('stat').read_text('utf-8')
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_INDEX]) + int(fields[_SYSTEM_TICKS_INDEX])
    return Usage(
        cpu_s=ticks / _TICKS_PER_S,
        rss_bytes=_read_number(folder / 'status', 'VmRSS') * _KIB,
        io_bytes=_read_number(folder / 'io', 'rchar')
        + _read_number(folder / 'io', 'wchar'),
    )


def _read_number(path: pathlib.Path, field: str) -> int:
    match = re.search(rf'^{field}:\s+(\d+)', path.read_text('utf-8'), re.M)
    return int(match.group(1)) if match else 0
