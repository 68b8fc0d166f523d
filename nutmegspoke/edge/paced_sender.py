"""Sends datagrams at a limited rate, so that they don't fill the host's link.

A full link drops datagrams, and delays the answers to callers.
"""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    _Address = tuple[str, int]

_INTERVAL_S = 0.01
# Datagrams that wait; beyond it the oldest are dropped, as newer ones replace
# what they say.
_MAX_WAITING = 1_024


class Datagrams(Protocol):
    """A transport of datagrams."""

    def sendto(self, datagram: bytes, address: _Address) -> None:
        """Send a datagram to an address."""


class PacedSender:
    """Queue of datagrams that are sent at a limited rate.

    :param transport: sends the datagrams.
    :param bytes_per_s: limit on the rate.
    :ivar dropped: number of datagrams that were dropped.
    """

    def __init__(self, transport: Datagrams, bytes_per_s: float) -> None:
        """Start with an empty queue."""
        self._transport = transport
        self._interval_bytes = bytes_per_s * _INTERVAL_S
        self._waiting: collections.deque[tuple[bytes, _Address]] = (
            collections.deque()
        )
        self._timer: asyncio.TimerHandle | None = None
        self.dropped = 0

    def send(self, datagram: bytes, address: _Address) -> None:
        """Send a datagram when the rate allows it."""
        if len(self._waiting) >= _MAX_WAITING:
            self._waiting.popleft()
            self.dropped += 1
        self._waiting.append((datagram, address))
        if self._timer is None:
            self._send_some()

    def stop(self) -> None:
        """Drop all datagrams that wait."""
        self._waiting.clear()
        if self._timer is not None:
            self._timer.cancel()

    def _send_some(self) -> None:
        """Send what fits into one interval, at least one datagram."""
        self._timer = None
        sent_bytes = 0
        while self._waiting and sent_bytes < self._interval_bytes:
            datagram, address = self._waiting.popleft()
            self._transport.sendto(datagram, address)
            sent_bytes += len(datagram)
        if sent_bytes:
            intervals = max(1.0, sent_bytes / self._interval_bytes)
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                intervals * _INTERVAL_S, self._send_some
            )
