"""Input that an event loop has not read from a socket yet."""

from __future__ import annotations

import select
from typing import Any


def has_input(transport: Any) -> bool:
    """Return whether bytes or the end of a connection wait in the kernel.

    :param transport: transport of a connection; a closed one has no input.
    """
    if transport.is_closing():
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info('socket').fileno(), select.POLLIN)
    return bool(poll.poll(0))
