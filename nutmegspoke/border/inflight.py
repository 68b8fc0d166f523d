"""Track the requests in flight, so that a stop can wait for them."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from nutmegspoke.application import Application

NAME = 'in_flight'


class InFlight:
    """Requests in flight.

    :ivar is_stopping: whether the balancer should send no further requests.
    :ivar is_refusing: whether new requests are refused while those in flight
        are finished.
    """

    def __init__(self) -> None:
        """Create a tracker without requests."""
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
        """Return the ids of the requests in flight."""
        return frozenset(self._request_ids)

    @contextlib.contextmanager
    def track(self, request_id: str) -> Iterator[None]:
        """Count a request as in flight while the block runs."""
        self._request_ids.add(request_id)
        self._idle.clear()
        try:
            yield
        finally:
            self._request_ids.discard(request_id)
            if not self._request_ids:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()


def setup(app: Application) -> None:
    """Register the tracker."""
    app.kernel.register(NAME, InFlight())
