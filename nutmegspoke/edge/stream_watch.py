"""Waits for events of a stream and asks why none comes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from nutmegspoke.edge.answer_reader import AnswerStalled

if TYPE_CHECKING:
    from nutmegspoke.edge.answer_reader import AnswerEvent
    from nutmegspoke.edge.target_connections import TargetConnection
    from nutmegspoke.engine_orders import EngineCalls
    from nutmegspoke.layers import Chain

# Events come some tens of milliseconds apart; a full chain takes up to the
# pause that callers bear, of some hundred.
ASK_GAP_S = 0.35
# A first event takes the reading of the prompt besides.
ASK_FIRST_S = 0.55
# Pause between later questions, in multiples of the one before.
_ASK_BACKOFF = 2.0


class StreamWatch:
    """Waits for events of streams.

    :param calls: asks engines for reports.
    """

    def __init__(self, calls: EngineCalls) -> None:
        """Ask by these calls."""
        self._calls = calls
        self._streams: dict[str, tuple[TargetConnection, Chain]] = {}

    def follow(
        self,
        request: str,
        connection: TargetConnection,
        chain: Chain,
    ) -> None:
        """Wake who waits on a connection when an engine of its chain ends.

        :param request: id of the request on this daemon.
        """
        self._streams[request] = (connection, chain)

    def unfollow(self, request: str) -> None:
        """End that, if it was asked for."""
        self._streams.pop(request, None)

    def engine_ended(self, target: str) -> None:
        """Take that an engine has ended, for the streams through it."""
        for connection, chain in tuple(self._streams.values()):
            for stage in chain:
                if stage.target == target:
                    connection.stall(stage.address)

    async def next_event(
        self,
        connection: TargetConnection,
        request_id: str,
        ask_after_s: float,
        limit_s: float,
    ) -> AnswerEvent:
        """Wait for an event.

        An engine's silence alone ends nothing: the wait goes on until an
        engine is known to be lost, or the time is over.

        :param ask_after_s: time without an event after which the first
            engine is asked.
        :param limit_s: time left for the request.
        """
        waited_s = 0.0
        pause_s = ask_after_s
        while waited_s < limit_s:
            pause_s = min(pause_s, limit_s - waited_s)
            try:
                async with asyncio.timeout(pause_s):
                    return await connection.next_event()
            except TimeoutError:
                waited_s += pause_s
                pause_s *= _ASK_BACKOFF
            lost = await self._lost(connection, request_id)
            if lost and connection.peek() is None:
                return AnswerStalled(lost)
        return AnswerStalled('')

    async def is_gone(self, address: str) -> bool:
        """Tell whether an engine does not even report."""
        return await self._calls.report(address) is None

    async def _lost(
        self,
        connection: TargetConnection,
        request_id: str,
    ) -> str:
        """Return the address of the engine that a request waits for."""
        report = await self._calls.report(connection.address)
        if report is None:
            return connection.address
        for stalled_id, address in report.stalled:
            if stalled_id == request_id:
                return address
        return ''
