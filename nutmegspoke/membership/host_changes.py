"""Changes of the host description that a running daemon can apply."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.entry_host import EntryHost

# Fields that a daemon can change while it runs. Its name and addresses are
# known to callers, the balancer and other daemons, and stay until a restart.
_CHANGEABLE = ('store_address', 'limits', 'bounds', 'hedging')


@dataclasses.dataclass(frozen=True, slots=True)
class HostChanges:
    """Changes of the description of a host.

    :param host: the description that the daemon uses from now on.
    :param applied: names of the fields that change now.
    :param deferred: names of the fields that change at the next start.
    """

    host: EntryHost
    applied: tuple[str, ...]
    deferred: tuple[str, ...]


def compare_hosts(current: EntryHost, configured: EntryHost) -> HostChanges:
    """Compare the description in use with the one in the settings.

    :param current: description that the daemon uses.
    :param configured: description in the current settings.
    """
    changed = [
        field.name
        for field in dataclasses.fields(current)
        if getattr(current, field.name) != getattr(configured, field.name)
    ]
    applied = tuple(name for name in changed if name in _CHANGEABLE)
    host = dataclasses.replace(
        current,
        **{name: getattr(configured, name) for name in applied},
    )
    deferred = tuple(name for name in changed if name not in _CHANGEABLE)
    return HostChanges(host, applied, deferred)
