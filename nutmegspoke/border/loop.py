"""The event loop. Imported before anything that imports uvloop."""

from __future__ import annotations

import asyncio
import os

os.environ['UV_USE_IO_URING'] = '0'

import uvloop  # noqa: E402 -- libuv reads the variable when it is loaded


def new_runner() -> asyncio.Runner:
    """Return a runner whose loop uses no io_uring."""
    return asyncio.Runner(loop_factory=uvloop.new_event_loop)
