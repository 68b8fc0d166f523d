"""Idle connections to all engines, which break when a process ends.

An engine that loses the next one of a chain waits for seconds before it gives
the draft up. Its connections break at once, so that the daemon that reads the
engines' reports notices, tells the others, and drafts go on elsewhere before
their callers see a pause.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from nutmegspoke.border.periodic import Periodic
from nutmegspoke.edge.target_connections import CONNECT_TIMEOUT_S
from nutmegspoke.retries.target_faults import Fault

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.view import View
    from nutmegspoke.entry_host import TargetEntry

logger = logging.getLogger(__name__)

# New engines get a line, and lines that engines closed are opened again.
_INTERVAL_S = 0.5


class Lifeline(asyncio.Protocol):
    """An idle connection to one engine.

    :param ended: called when the other side ends it.
    """

    def __init__(self, ended: Callable[[], None]) -> None:
        """Wait for the connection to stand."""
        self._ended = ended
        self._transport: Any = None
        self._is_closed = False

    def connection_made(self, transport: Any) -> None:
        """Take the transport; the loop's own class shares no base class."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Tell that it has ended, unless that was asked for."""
        if not self._is_closed:
            self._ended()

    def close(self) -> None:
        """End it."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.abort()


class Lifelines:
    """Lines to the engines that hold layers.

    :param watches: tells whether this daemon watches for all.
    """

    def __init__(
        self,
        view: View,
        watches: Callable[[float], bool],
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        """Start without lines."""
        self._view = view
        self._watches = watches
        self._log = log
        self._clock = clock
        self._lines: dict[str, Lifeline] = {}
        self._checks: set[asyncio.Task[None]] = set()
        self._periodic = Periodic('lifelines', _INTERVAL_S, self._open_missing)

    async def start(self) -> None:
        """Begin to watch."""
        self._periodic.start()

    async def stop(self) -> None:
        """Watch no more."""
        await self._periodic.stop()
        for check in tuple(self._checks):
            check.cancel()
        self._close_all()

    async def _open_missing(self) -> None:
        now_s = self._clock.now_s()
        if not self._watches(now_s):
            self._close_all()
            return
        entries = {
            entry.name: entry
            for entry in self._view.targets.all()
            if entry.layers is not None
        }
        for name in tuple(self._lines):
            if name not in entries:
                self._lines.pop(name).close()
        missing = [
            self._open(entry)
            for name, entry in entries.items()
            if name not in self._lines
            and not self._view.faults.is_left_out(name, now_s)
        ]
        await asyncio.gather(*missing)

    async def _open(self, entry: TargetEntry) -> bool:
        """Open a line; ``False`` if no process listens there."""
        ip, _, port = entry.address.rpartition(':')
        loop = asyncio.get_running_loop()
        line = Lifeline(lambda: self._line_ended(entry))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: line, ip, int(port))
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError) as error:
            logger.info('lifelines: %s not reached: %r', entry.name, error)
            return True
        self._lines[entry.name] = line
        return True

    def _line_ended(self, entry: TargetEntry) -> None:
        if self._lines.pop(entry.name, None) is None:
            return
        check = asyncio.create_task(self._check(entry))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(self, entry: TargetEntry) -> None:
        """Open the line again; an engine that refuses it has ended."""
        if await self._open(entry):
            return
        now_s = self._clock.now_s()
        left_out_s = self._view.faults.failed(entry.name, Fault.ENDED, now_s)
        self._log.decided(
            'engine_ended',
            target=entry.name,
            address=entry.address,
            left_out_s=left_out_s,
        )
        self._view.lost_engines.record_loss(entry.name, now_s)

    def _close_all(self) -> None:
        for line in self._lines.values():
            line.close()
        self._lines.clear()
