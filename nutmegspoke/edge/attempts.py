"""One attempt at one target: what can become of it."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.edge.answer_reader import (
    AnswerEnd,
    AnswerHead,
    AnswerLost,
    AnswerPart,
)
from nutmegspoke.edge.target_connections import ConnectionLimitError
from nutmegspoke.forwarded import AnswerKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.answer_reader import AnswerEvent
    from nutmegspoke.edge.target_connections import (
        TargetConnection,
        TargetConnections,
    )
    from nutmegspoke.forwarded import AnswerFacts, HeaderCodec, Headers

# Answers to plain requests are held whole up to this size, so that one that
# is cut can still be replaced.
MAX_WHOLE_BYTES = 8_388_608


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The target was not reached; nothing left this host.

    :param is_full: this daemon has as many connections open as it may.
    """

    reason: str
    is_full: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The target says that it has not run the request."""

    status: int
    facts: AnswerFacts


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """No usable answer came; the target may have run the request.

    :param is_silent: the target neither answered nor closed in time.
    :param lost_address: engine that the answer waited for; empty if none.
    """

    reason: str
    is_silent: bool = False
    lost_address: str = ''


@dataclasses.dataclass(slots=True)
class Opened:
    """The head of an answer came; its body follows.

    :param connection: where the body comes from.
    :param head: status and headers.
    :param facts: what the head says.
    """

    connection: TargetConnection
    head: AnswerHead
    facts: AnswerFacts


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer of a target that ran the request."""

    status: int
    headers: Headers
    body: bytes
    facts: AnswerFacts


OpenResult = NotSent | Refused | Broken | Opened
WholeResult = NotSent | Refused | Broken | WholeAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Sending:
    """What is sent to which target.

    :param address: ``IP:PORT`` of the target.
    :param request_id: id that the answer must bear.
    :param request: bytes of the request.
    :param fresh: wants a connection that no other request has used.
    :param limit_s: longest wait for the head of the answer.
    :param max_connections: connections to the target that may be open.
    """

    address: str
    request_id: str
    request: bytes
    fresh: bool
    limit_s: float
    max_connections: int


class Attempts:
    """Sends requests over the connections to targets.

    :param connections: connections to all targets.
    :param dialect: reads the answers' headers.
    :param clock: clock of the process.
    """

    def __init__(
        self,
        connections: TargetConnections,
        dialect: HeaderCodec,
        clock: Clock,
    ) -> None:
        """Use connections."""
        self.dialect = dialect
        self.connections = connections
        self._clock = clock

    async def send(self, sending: Sending) -> TargetConnection | NotSent:
        """Send a request; its answer is to be read from the connection."""
        try:
            connection = await self.connections.take(
                sending.address,
                self._clock.now_s(),
                fresh=sending.fresh,
                max_connections=sending.max_connections,
            )
            connection.send(
                sending.request,
                self._belongs(sending.request_id),
            )
        except ConnectionLimitError as error:
            return NotSent(str(error), is_full=True)
        except OSError as error:
            return NotSent(repr(error))
        return connection

    async def open(self, sending: Sending) -> OpenResult:
        """Send a request and wait for the head of its answer."""
        connection = await self.send(sending)
        if isinstance(connection, NotSent):
            return connection
        try:
            async with asyncio.timeout(sending.limit_s):
                event = await connection.next_event()
        except TimeoutError:
            connection.close()
            return Broken('no answer in time', is_silent=True)
        except BaseException:
            connection.close()
            raise
        return self.opened(connection, event)

    async def whole(self, sending: Sending) -> WholeResult:
        """Send a request and wait for its whole answer."""
        started_s = self._clock.now_s()
        result = await self.open(sending)
        if not isinstance(result, Opened):
            return result
        used_s = self._clock.now_s() - started_s
        return await self.rest(result, sending.limit_s - used_s)

    async def rest(
        self,
        opened: Opened,
        limit_s: float,
    ) -> WholeAnswer | Broken:
        """Wait for the body of an answer.

        :param limit_s: longest wait; the connection is closed after it.
        """
        body = await self._body(opened, max(0.0, limit_s))
        if isinstance(body, Broken):
            return body
        self.ended(opened)
        head = opened.head
        return WholeAnswer(head.status, head.headers, body, opened.facts)

    def ended(self, opened: Opened) -> None:
        """Keep the connection of a complete answer."""
        if opened.facts.must_close:
            opened.connection.close()
            return
        self.connections.keep(
            opened.connection,
            opened.facts.keep_alive_s,
            self._clock.now_s(),
        )

    async def _body(self, opened: Opened, limit_s: float) -> bytes | Broken:
        try:
            async with asyncio.timeout(limit_s):
                return await self._collect(opened.connection)
        except TimeoutError:
            opened.connection.close()
            return Broken('no whole answer in time', is_silent=True)
        except BaseException:
            opened.connection.close()
            raise

    async def _collect(self, connection: TargetConnection) -> bytes | Broken:
        parts: list[bytes] = []
        size = 0
        while size <= MAX_WHOLE_BYTES:
            event = await connection.next_event()
            if isinstance(event, AnswerEnd):
                return b''.join(parts)
            if not isinstance(event, AnswerPart):
                break
            parts.append(event.body)
            size += len(event.body)
        connection.close()
        return Broken(_lost_reason(event))

    def _belongs(self, request_id: str) -> Callable[[Headers], bool]:
        def belongs(headers: Headers) -> bool:
            return self.dialect.answers_request(headers, request_id)

        return belongs

    def opened(
        self,
        connection: TargetConnection,
        event: AnswerEvent,
    ) -> OpenResult:
        """Return what the first event of an answer tells."""
        if not isinstance(event, AnswerHead):
            connection.close()
            return Broken(_lost_reason(event))
        facts = self.dialect.read_answer(event.status, event.headers)
        if facts.kind == AnswerKind.INVALID:
            connection.close()
            return Broken(f'answer without proof, status {event.status}')
        opened = Opened(connection, event, facts)
        if facts.kind != AnswerKind.NOT_RUN:
            return opened
        if event.length == 0 and isinstance(connection.peek(), AnswerEnd):
            self.ended(opened)
        else:
            connection.close()
        return Refused(event.status, facts)


def failure_reason(result: OpenResult | WholeResult) -> str:
    """Return why an attempt gave no answer; empty if it gave one."""
    match result:
        case NotSent(reason=reason) | Broken(reason=reason):
            return reason
        case Refused(status=status):
            return f'refused with {status}'
        case _:
            return ''


def _lost_reason(event: AnswerEvent) -> str:
    return event.reason if isinstance(event, AnswerLost) else 'too long'
