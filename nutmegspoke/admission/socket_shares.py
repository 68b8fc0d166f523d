"""Shares out the sockets of a host, and the connections of targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.entry_host import HostLimits

# Parts of the sockets that a process may open; the rest is for the store,
# other daemons, reports and the listening ones.
_CALLERS_SHARE = 0.6
_TARGETS_SHARE = 0.3
# Part of the memory that callers' connections may fill, and what one of them
# may hold: a request being read and an answer that is not read.
_CALLERS_MEMORY_SHARE = 0.5
_CALLER_BYTES = 131_072
# Part of a target's connections that the daemons share out: a daemon that has
# just come up is not yet counted by the others.
_POOL_SHARE = 0.8


def caller_sockets(limits: HostLimits) -> int:
    """Return how many connections of callers may be open."""
    by_sockets = limits.max_sockets * _CALLERS_SHARE
    by_memory = limits.memory_bytes * _CALLERS_MEMORY_SHARE / _CALLER_BYTES
    return max(1, int(min(by_sockets, by_memory)))


def target_sockets(limits: HostLimits) -> int:
    """Return how many connections to targets may be open."""
    return max(1, int(limits.max_sockets * _TARGETS_SHARE))


def target_share(max_connections: int, daemon_count: int) -> int:
    """Return how many connections to one target a daemon may open.

    :param max_connections: connections that the target takes from all.
    :param daemon_count: daemons that share them, this one included.
    """
    if max_connections <= 0:
        return 1
    return max(1, int(max_connections * _POOL_SHARE / max(1, daemon_count)))
