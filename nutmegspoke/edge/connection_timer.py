"""Timer with one deadline at a time, for the states of a connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class ConnectionTimer:
    """Timer whose deadline is replaced when the connection changes its state.

    :param on_expired: called when a deadline passes.
    """

    def __init__(self, on_expired: Callable[[], None]) -> None:
        """Start without a deadline."""
        self._on_expired = on_expired
        self._handle: asyncio.TimerHandle | None = None

    def start(self, timeout_s: float) -> None:
        """Replace the deadline.

        :param timeout_s: timeout in seconds, from now on.
        """
        self.clear()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(timeout_s, self._on_expired)

    def clear(self) -> None:
        """Remove the deadline, if there is one."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
