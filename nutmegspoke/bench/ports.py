"""Free loopback ports for a local deployment."""

from __future__ import annotations

import socket

HOST = '127.0.0.1'


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on now.

    :param count: number of ports.
    """
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind((HOST, 0))
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports
