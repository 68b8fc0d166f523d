"""Sockets that notice by themselves that their peer has gone silent."""

from __future__ import annotations

import socket
from typing import Any

# An idle connection is probed each second and given up after two lost probes:
# a host that lost its power never closes its connections.
_PROBE_INTERVAL_S = 1
_LOST_PROBES = 2
# Sent bytes that are not acknowledged for so long end a connection: several
# retransmissions, so that a link that loses some packets does not.
_UNACKNOWLEDGED_MS = 2_500

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _LOST_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
)


def probe(opened: Any) -> None:
    """Let a TCP socket notice a silent peer.

    :param opened: a socket, or what an event loop shows of one.
    :raises OSError: if the socket is closed.
    """
    for level, option, setting in _OPTIONS:
        opened.setsockopt(level, option, setting)


def probed_socket(address_info: Any) -> socket.socket:
    """Return a probed socket, as the HTTP client's connector asks for it."""
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    probe(opened)
    return opened
