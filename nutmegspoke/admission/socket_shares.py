"""Divide the sockets of a host and the connections of targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.entry_host import HostLimits

# Shares of the sockets that a process may open. The rest is for the store, the
# other daemons, load reports and listening sockets.
_CALLERS_SHARE = 0.6
_TARGETS_SHARE = 0.3
# Share of the memory that connections of callers may use, and the memory of one
# connection: a request that is being received and an answer that the caller
# does not read.
_CALLERS_MEMORY_SHARE = 0.5
_CALLER_CONNECTION_BYTES = 131_072
# Share of a target's connections that is divided among the daemons. The rest is
# for daemons that have just started and that the others do not count yet.
_DIVIDED_SHARE = 0.8


def caller_sockets(limits: HostLimits) -> int:
    """Return how many connections of callers may be open."""
    by_sockets = limits.max_sockets * _CALLERS_SHARE
    by_memory = (
        limits.memory_bytes * _CALLERS_MEMORY_SHARE / _CALLER_CONNECTION_BYTES
    )
    return max(1, int(min(by_sockets, by_memory)))


def target_sockets(limits: HostLimits) -> int:
    """Return how many connections to targets may be open."""
    return max(1, int(limits.max_sockets * _TARGETS_SHARE))


def target_share(max_connections: int, daemon_count: int) -> int:
    """Return how many connections to one target a daemon may open.

    :param max_connections: connections that the target accepts in all.
    :param daemon_count: daemons that share them, including this one.
    """
    if max_connections <= 0:
        return 1
    return max(1, int(max_connections * _DIVIDED_SHARE / max(1, daemon_count)))
