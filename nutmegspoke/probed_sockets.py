"""Sockets with TCP keepalive and user timeout, to detect dead peers."""

from __future__ import annotations

import socket
from typing import Any

# A host that loses power never closes its connections, so an idle connection is
# probed each second and closed after two lost probes.
_PROBE_INTERVAL_S = 1
_LOST_PROBES = 2
# Time after which unacknowledged data closes a connection. It allows several
# retransmissions, so that a link with some packet loss keeps its connections.
_USER_TIMEOUT_MS = 2_500

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _LOST_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
)


def probe(opened: Any) -> None:
    """Enable keepalive and the user timeout on a TCP socket.

    :param opened: a socket, or an event loop's wrapper of one.
    :raises OSError: if the socket is closed.
    """
    for level, option, setting in _OPTIONS:
        opened.setsockopt(level, option, setting)


def probed_socket() -> socket.socket:
    """Return a non-blocking probed TCP socket that is not yet connected."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    opened.setblocking(False)
    probe(opened)
    return opened
