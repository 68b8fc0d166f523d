"""Flow control for writers to a connection."""

from __future__ import annotations

import asyncio

from nutmegspoke.edge.socket_input import has_input


class WriteGate:
    """Gate that is closed while the write buffer of a connection is full."""

    def __init__(self) -> None:
        """Start open."""
        self._opened: asyncio.Future[None] | None = None

    def close(self) -> None:
        """Make writers wait."""
        if self._opened is None:
            self._opened = asyncio.get_running_loop().create_future()

    def open(self, error: Exception | None = None) -> None:
        """Let a waiting writer continue, or fail.

        :param error: raised in the waiting writer; ``None`` to continue.
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

    async def wait(self, timeout_s: float) -> None:
        """Wait until the gate is open.

        :param timeout_s: timeout in seconds.
        :raises TimeoutError: if the gate stays closed.
        """
        if self._opened is None:
            return
        async with asyncio.timeout(timeout_s):
            await self._opened


class GatedProtocol(asyncio.Protocol):
    """Protocol whose gate is closed while the write buffer is full."""

    def __init__(self) -> None:
        """Start without a transport and with an open gate."""
        self._transport: asyncio.Transport | None = None
        self._gate = WriteGate()

    @property
    def _has_unsent(self) -> bool:
        """Return whether written bytes wait in the write buffer."""
        if self._transport is None:
            return False
        return self._transport.get_write_buffer_size() > 0

    @property
    def _has_unread(self) -> bool:
        """Return whether received bytes or the end wait in the kernel."""
        if self._transport is None:
            return False
        return has_input(self._transport)

    def pause_writing(self) -> None:
        """Make writers wait, as the write buffer is full."""
        self._gate.close()

    def resume_writing(self) -> None:
        """Let waiting writers continue."""
        self._gate.open()
