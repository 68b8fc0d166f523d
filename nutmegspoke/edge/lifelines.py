"""Liveness connections: idle connections that show whether engines live.

If the next engine of a chain ends, the engine before it waits for seconds until
it gives up the draft. The connections of the ended process close at once. The
daemon that polls the engines' reports notices this and sends an update to the
others, and drafts resume on other chains before their callers see a pause.
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

# Interval at which missing connections are opened: to new engines, and to those
# that have closed theirs.
_INTERVAL_S = 0.5


class LivenessConnection(asyncio.Protocol):
    """An idle connection to one engine.

    :param on_end: called when the connection is lost.
    """

    def __init__(self, on_end: Callable[[], None]) -> None:
        """Create a connection that waits for its transport."""
        self._on_end = on_end
        self._transport: Any = None
        self._is_closed = False

    def connection_made(self, transport: Any) -> None:
        """Store the transport.

        ``transport`` is typed ``Any`` as the class of the loop's transports
        has no common base class.
        """
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Call ``on_end`` unless this side closed the connection."""
        if not self._is_closed:
            self._on_end()

    def close(self) -> None:
        """Abort the connection without a call of ``on_end``."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.abort()


class LivenessConnections:
    """Liveness connections to the engines that hold layers.

    :param should_watch: returns whether this daemon checks the engines on
        behalf of all daemons; called with the current time.
    """

    def __init__(
        self,
        view: View,
        should_watch: Callable[[float], bool],
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        """Start without connections."""
        self._view = view
        self._should_watch = should_watch
        self._log = log
        self._clock = clock
        self._connections: dict[str, LivenessConnection] = {}
        # Checks in progress, by the engine's name.
        self._checks: dict[str, asyncio.Task[None]] = {}
        # Engines that reset a new connection; they may have too many.
        self._reset_early: set[str] = set()
        self._periodic = Periodic('lifelines', _INTERVAL_S, self._open_missing)

    async def start(self) -> None:
        """Start to open connections."""
        self._periodic.start()

    async def stop(self) -> None:
        """Stop all tasks and close all connections."""
        await self._periodic.stop()
        for check in tuple(self._checks.values()):
            check.cancel()
        self._close_all()

    async def _open_missing(self) -> None:
        now_s = self._clock.now_s()
        if not self._should_watch(now_s):
            self._close_all()
            return
        entries = {
            entry.name: entry
            for entry in self._view.targets.all()
            if entry.layers is not None
        }
        for name in tuple(self._connections):
            if name not in entries:
                self._connections.pop(name).close()
        self._reset_early.intersection_update(entries)
        missing = [
            entry
            for name, entry in entries.items()
            if name not in self._connections
            and name not in self._checks
            and not self._view.faults.is_left_out(name, now_s)
        ]
        await asyncio.gather(*(self._open_again(entry) for entry in missing))

    async def _open_again(self, entry: TargetEntry) -> None:
        if entry.name in self._reset_early:
            self._reset_early.discard(entry.name)
            await self._check_ended(entry)
        else:
            await self._open(entry)

    async def _open(self, entry: TargetEntry) -> bool:
        """Open a connection; ``False`` if the engine refuses it.

        Other errors are logged and return ``True``, as they don't prove that
        the process has ended.
        """
        ip, _, port = entry.address.rpartition(':')
        loop = asyncio.get_running_loop()
        opened_s = self._clock.now_s()
        connection = LivenessConnection(
            lambda: self._connection_ended(entry, opened_s)
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: connection, ip, int(port))
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError) as error:
            logger.info('lifelines: %s not reached: %r', entry.name, error)
            return True
        self._connections[entry.name] = connection
        return True

    def _connection_ended(self, entry: TargetEntry, opened_s: float) -> None:
        """Check an engine, at once unless the connection was a new one.

        An engine that has too many connections resets new ones; it would do so
        with each that replaces them.
        """
        name = entry.name
        if self._connections.pop(name, None) is None:
            return
        if self._clock.now_s() - opened_s < _INTERVAL_S:
            self._reset_early.add(name)
            return
        check = asyncio.create_task(self._check_ended(entry))
        self._checks[name] = check
        check.add_done_callback(lambda _: self._checks.pop(name, None))

    async def _check_ended(self, entry: TargetEntry) -> None:
        """Reconnect; an engine that refuses the connection has ended."""
        if await self._open(entry):
            return
        now_s = self._clock.now_s()
        left_out_s = self._view.faults.record_fault(
            entry.name, Fault.ENDED, now_s
        )
        self._log.decided(
            'engine_ended',
            target=entry.name,
            address=entry.address,
            left_out_s=left_out_s,
        )
        self._view.lost_engines.record_loss(entry.name, now_s)

    def _close_all(self) -> None:
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
