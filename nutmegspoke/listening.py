"""Opens the socket on which callers connect, before the daemon is loaded.

Loading the daemon takes longer than all else at its start. Connections wait in
the socket's queue meanwhile, instead of being refused.
"""

from __future__ import annotations

import socket

ListeningSocket = socket.socket

# Connections that wait to be accepted.
BACKLOG = 1_024


def open_listener(ip: str, port: int) -> ListeningSocket:
    """Return a non-blocking socket that listens on an address.

    :raises OSError: if the address can't be used.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.setblocking(False)
        opened.bind((ip, port))
        opened.listen(BACKLOG)
    except OSError:
        opened.close()
        raise
    return opened
