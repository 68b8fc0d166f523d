"""Lets a writer wait while the other end does not read."""

from __future__ import annotations

import asyncio


class WriteGate:
    """Closed while a connection's buffer is full."""

    def __init__(self) -> None:
        """Start open."""
        self._opened: asyncio.Future[None] | None = None

    def close(self) -> None:
        """Let writers wait."""
        if self._opened is None:
            self._opened = asyncio.get_running_loop().create_future()

    def open(self, error: Exception | None = None) -> None:
        """Let writers go on, or fail.

        :param error: raised in the writer that waits.
        """
        opened = self._opened
        self._opened = None
        if opened is None or opened.done():
            return
        if error is None:
            opened.set_result(None)
        else:
            opened.set_exception(error)
            opened.exception()

    async def wait(self, limit_s: float) -> None:
        """Wait until the gate is open.

        :raises TimeoutError: if it stays closed.
        """
        if self._opened is None:
            return
        async with asyncio.timeout(limit_s):
            await self._opened
