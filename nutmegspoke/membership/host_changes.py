"""What a changed description of the host means for a daemon that runs."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.entry_host import EntryHost

# Fields that a daemon can change while it serves. Its name and its addresses
# are known to callers, the balancer and other daemons until it starts again.
_CHANGEABLE = ('store_address', 'limits', 'bounds')


@dataclasses.dataclass(frozen=True, slots=True)
class HostChanges:
    """Changes of a host's description.

    :param host: the host as the daemon is to see it from now on.
    :param applied: names of the fields that change now.
    :param deferred: names of the fields that change with the next start.
    """

    host: EntryHost
    applied: tuple[str, ...]
    deferred: tuple[str, ...]


def compare_hosts(present: EntryHost, described: EntryHost) -> HostChanges:
    """Return what a new description changes.

    :param present: the host as the daemon sees it.
    :param described: the host as its settings describe it now.
    """
    changed = [
        field.name
        for field in dataclasses.fields(present)
        if getattr(present, field.name) != getattr(described, field.name)
    ]
    applied = tuple(name for name in changed if name in _CHANGEABLE)
    host = dataclasses.replace(
        present,
        **{name: getattr(described, name) for name in applied},
    )
    deferred = tuple(name for name in changed if name not in _CHANGEABLE)
    return HostChanges(host, applied, deferred)
