"""Waits for the events of streams and detects lost engines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from nutmegspoke.edge.answer_reader import AnswerStalled

if TYPE_CHECKING:
    from nutmegspoke.edge.answer_reader import AnswerEvent
    from nutmegspoke.edge.target_connections import TargetConnection
    from nutmegspoke.engine_orders import EngineCalls
    from nutmegspoke.layers import Chain

# Events are some tens of milliseconds apart; on a fully loaded chain up to the
# pause that callers accept, some hundred milliseconds.
QUERY_AFTER_PAUSE_S = 0.35
# Before the first event the prompt is read, too.
QUERY_AFTER_SEND_S = 0.55
# Factor by which the pause between two queries grows.
_QUERY_BACKOFF = 2.0


class StreamWatch:
    """Watch over streams that queries engines if no event arrives.

    :param calls: reads the reports of engines.
    """

    def __init__(self, calls: EngineCalls) -> None:
        """Start without watched streams."""
        self._calls = calls
        self._streams: dict[str, tuple[TargetConnection, Chain]] = {}

    def watch(
        self,
        request: str,
        connection: TargetConnection,
        chain: Chain,
    ) -> None:
        """Stall a connection as soon as an engine of its chain has ended.

        :param request: key of the request on this daemon.
        :param connection: connection on which the answer is received.
        :param chain: chain that runs the request.
        """
        self._streams[request] = (connection, chain)

    def unwatch(self, request: str) -> None:
        """Stop watching a request; ignored if it is not watched."""
        self._streams.pop(request, None)

    def engine_ended(self, target: str) -> None:
        """Stall the watched connections whose chain contains an engine."""
        for connection, chain in tuple(self._streams.values()):
            for stage in chain:
                if stage.target == target:
                    connection.stall(stage.address)

    async def next_event(
        self,
        connection: TargetConnection,
        request_id: str,
        query_after_s: float,
        timeout_s: float,
    ) -> AnswerEvent:
        """Wait for the next event of an answer.

        The absence of events alone does not end the wait. It ends when an
        engine is known to be lost, or after the timeout.

        :param query_after_s: time without an event after which the first
            engine is queried.
        :param timeout_s: remaining time of the request.
        :returns: the event; :class:`AnswerStalled` if none arrives.
        """
        waited_s = 0.0
        pause_s = query_after_s
        while waited_s < timeout_s:
            pause_s = min(pause_s, timeout_s - waited_s)
            try:
                async with asyncio.timeout(pause_s):
                    return await connection.next_event()
            except TimeoutError:
                waited_s += pause_s
                pause_s *= _QUERY_BACKOFF
            lost = await self._find_lost_engine(connection, request_id)
            if lost and connection.peek() is None:
                return AnswerStalled(lost)
        return AnswerStalled('')

    async def is_unreachable(self, address: str) -> bool:
        """Return whether an engine fails to return a report."""
        return await self._calls.report(address) is None

    async def _find_lost_engine(
        self,
        connection: TargetConnection,
        request_id: str,
    ) -> str:
        """Return the address of the engine that stalls a request.

        :returns: empty if no engine is known to be lost.
        """
        report = await self._calls.report(connection.address)
        if report is None:
            return connection.address
        for stalled_id, address in report.stalled:
            if stalled_id == request_id:
                return address
        return ''
