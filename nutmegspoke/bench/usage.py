"""What the kernel says a process has used."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import re

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_KIB = 1024
_USER_TICKS = 11
_SYSTEM_TICKS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Use of a process so far.

    :param cpu_s: processor time.
    :param rss_bytes: resident memory now.
    :param io_bytes: bytes read and written, sockets included.
    """

    cpu_s: float
    rss_bytes: int
    io_bytes: int


def usage_of(pid: int) -> Usage:
    """Return the use of a running process."""
    folder = pathlib.Path('/proc', str(pid))
    stat = folder.joinpath('stat').read_text('utf-8')
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return Usage(
        cpu_s=ticks / _TICKS_PER_S,
        rss_bytes=_number(folder / 'status', 'VmRSS') * _KIB,
        io_bytes=_number(folder / 'io', 'rchar')
        + _number(folder / 'io', 'wchar'),
    )


def _number(path: pathlib.Path, field: str) -> int:
    found = re.search(rf'^{field}:\s+(\d+)', path.read_text('utf-8'), re.M)
    return int(found.group(1)) if found else 0
