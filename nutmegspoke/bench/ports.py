"""Free loopback ports for a local deployment."""

from __future__ import annotations

import itertools
import random
import socket

HOST = '127.0.0.1'
_FIRST_PORT = 10_000
_STOP_PORT = 32_000
_first = random.SystemRandom().randrange(_FIRST_PORT, _STOP_PORT)
_candidates = itertools.cycle(
    (*range(_first, _STOP_PORT), *range(_FIRST_PORT, _first)),
)


def find_free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on now.

    They lie below the range from which the kernel takes ports of outgoing
    connections, so that none of these takes one before it is listened on. None
    is returned twice, as the first process may not listen yet.

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
