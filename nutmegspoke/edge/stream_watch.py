"""Waits for the events of streams and detects silent engines.

A silent engine may go on after a while. So silence is only a reason to look
for another run; it does not end the silent one.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.edge.answer_reader import AnswerStalled

if TYPE_CHECKING:
    from nutmegspoke.edge.answer_reader import AnswerEvent
    from nutmegspoke.edge.target_connections import TargetConnection
    from nutmegspoke.engine_orders import EngineCalls, EngineReport
    from nutmegspoke.layers import Chain

# Events are some tens of milliseconds apart; on a fully loaded chain up to the
# pause that callers accept, some hundred milliseconds.
QUERY_AFTER_PAUSE_S = 0.35
# Before the first event the prompt is read, too.
QUERY_AFTER_SEND_S = 0.55
# Factor by which the pause between two queries grows.
_QUERY_BACKOFF = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSilent:
    """An engine that a stream waits for may be lost.

    :param address: ``IP:PORT`` of the engine.
    """

    address: str


class StreamWatch:
    """Watch over streams that queries engines if no event arrives.

    :param calls: reads the reports of engines.
    """

    def __init__(self, calls: EngineCalls) -> None:
        """Start without watched streams."""
        self._calls = calls
        self._streams: dict[TargetConnection, Chain] = {}
        # Calls in progress, by address.
        self._reports: dict[str, asyncio.Task[EngineReport | None]] = {}

    def watch(self, connection: TargetConnection, chain: Chain) -> None:
        """Stall a connection as soon as an engine of its chain has ended.

        :param connection: connection on which the answer is received.
        :param chain: chain that runs the request.
        """
        self._streams[connection] = chain

    def unwatch(self, connection: TargetConnection) -> None:
        """Stop watching a connection; ignored if it is not watched."""
        self._streams.pop(connection, None)

    def engine_ended(self, target: str) -> None:
        """Stall the watched connections whose chain contains an engine."""
        for connection, chain in tuple(self._streams.items()):
            for stage in chain:
                if stage.target == target:
                    connection.stall(stage.address)

    async def next_event(
        self,
        connection: TargetConnection,
        request_id: str,
        query_after_s: float,
        timeout_s: float,
    ) -> AnswerEvent | EngineSilent:
        """Wait for the next event of an answer.

        The absence of events alone does not end the wait. It ends when an
        engine may be lost, or after the timeout.

        :param query_after_s: time without an event after which the first
            engine is queried.
        :param timeout_s: remaining time of the request.
        :returns: the event; :class:`AnswerStalled` after the timeout.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._next_event(
                    connection, request_id, query_after_s
                )
        except TimeoutError:
            return AnswerStalled('')

    async def _next_event(
        self,
        connection: TargetConnection,
        request_id: str,
        pause_s: float,
    ) -> AnswerEvent | EngineSilent:
        while True:
            try:
                async with asyncio.timeout(pause_s):
                    return await connection.next_event()
            except TimeoutError:
                pause_s *= _QUERY_BACKOFF
            silent = await self.find_silent_engine(connection, request_id)
            if silent and connection.peek() is None:
                return EngineSilent(silent)

    async def find_silent_engine(
        self,
        connection: TargetConnection,
        request_id: str,
    ) -> str:
        """Return the address of the engine that stalls a request.

        :returns: empty if all engines seem to work.
        """
        report = await self._report(connection.address)
        if report is None:
            return connection.address
        for stalled_id, address in report.stalled:
            if stalled_id == request_id:
                return address
        return ''

    async def _report(self, address: str) -> EngineReport | None:
        """Return an engine's report; ``None`` if it can't be fetched.

        Streams that ask at the same time share a call, as an engine that is
        silent for all of them accepts a limited number of connections.
        """
        call = self._reports.get(address)
        if call is None:
            call = asyncio.create_task(self._calls.report(address))
            self._reports[address] = call
            call.add_done_callback(lambda _: self._reports.pop(address))
        return await asyncio.shield(call)
