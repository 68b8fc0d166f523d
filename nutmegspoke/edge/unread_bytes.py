"""Received bytes that an event loop has not read from a socket yet."""

from __future__ import annotations

import array
import fcntl
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


def has_unread_bytes(transport: asyncio.Transport) -> bool:
    """Return whether received bytes of an open transport wait in the kernel."""
    if transport.is_closing():
        return False
    count = array.array('i', (0,))
    opened = transport.get_extra_info('socket')
    fcntl.ioctl(opened.fileno(), termios.FIONREAD, count)
    return count[0] > 0
