"""Counts the requests in work, so that a stop can wait for them."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from nutmegspoke.application import Application

NAME = 'in_flight'


class InFlight:
    """The requests in work.

    :ivar is_stopping: the balancer should send nothing more here.
    :ivar is_refusing: new requests are refused, those in work are finished.
    """

    def __init__(self) -> None:
        """Start with none."""
        self.is_stopping = False
        self.is_refusing = False
        self._request_ids: set[str] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    @property
    def request_ids(self) -> frozenset[str]:
        """Return the ids of the requests in work."""
        return frozenset(self._request_ids)

    @contextlib.contextmanager
    def counted(self, request_id: str) -> Iterator[None]:
        """Count a request while the block runs."""
        self._request_ids.add(request_id)
        self._idle.clear()
        try:
            yield
        finally:
            self._request_ids.discard(request_id)
            if not self._request_ids:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is in work."""
        await self._idle.wait()


def setup(app: Application) -> None:
    """Register the counter."""
    app.kernel.register(NAME, InFlight())
