"""Free loopback ports for a local deployment."""

from __future__ import annotations

import itertools
import random
import socket

HOST = '127.0.0.1'
_FIRST_PORT = 10_000
_STOP_PORT = 32_000
_start_port = random.SystemRandom().randrange(_FIRST_PORT, _STOP_PORT)
_candidates = itertools.cycle(
    (*range(_start_port, _STOP_PORT), *range(_FIRST_PORT, _start_port)),
)


def find_free_ports(count: int) -> list[int]:
    """Return ports on which no process listens.

    The ports are below the kernel's range for outgoing connections, so that no
    connection occupies one before a process listens on it. Successive calls
    return different ports, because a process that got a port earlier may not
    listen on it yet.

    :param count: number of ports.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_candidates)
        if _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
