"""Single attempts to send a request to a target, and their results."""

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

    from nutmegspoke.admission.answer_memory import HeldAnswer
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.answer_reader import AnswerEvent
    from nutmegspoke.edge.target_connections import (
        TargetConnection,
        TargetConnections,
    )
    from nutmegspoke.forwarded import AnswerFacts, HeaderCodec, Headers


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The request was not sent: the target could not be reached.

    :param reason: description of the error.
    :param is_full: whether a connection limit of this daemon was reached.
    :param retry_after_s: time after which it may be sent, if known.
    """

    reason: str
    is_full: bool = False
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The target reports that it has not run the request."""

    status: int
    facts: AnswerFacts


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """No usable answer was received; the target may have run the request.

    :param reason: cause of the failure.
    :param is_timeout: whether the target neither answered nor closed the
        connection in time.
    :param lost_address: ``IP:PORT`` of the lost engine that stalled the
        answer; empty if unknown.
    :param is_given_up: whether the attempt was ended in favour of another one,
        which the retry policy has allowed.
    """

    reason: str
    is_timeout: bool = False
    lost_address: str = ''
    is_given_up: bool = False


@dataclasses.dataclass(slots=True)
class OpenedAnswer:
    """An answer whose head was received and whose body follows.

    :param connection: connection from which the body is read.
    :param head: status and headers.
    :param facts: information parsed from the head.
    """

    connection: TargetConnection
    head: AnswerHead
    facts: AnswerFacts


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """A complete answer from a target that ran the request."""

    status: int
    headers: Headers
    body: bytes
    facts: AnswerFacts


@dataclasses.dataclass(frozen=True, slots=True)
class SentAnswer:
    """A complete stream from a target, whose events the caller has received."""

    status: int
    facts: AnswerFacts


OpenResult = NotSent | Refused | Broken | OpenedAnswer
FetchResult = NotSent | Refused | Broken | CompleteAnswer | SentAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class OutboundRequest:
    """A request to send to one target.

    :param address: ``IP:PORT`` of the target.
    :param request_id: id that the answer must carry.
    :param request: bytes of the request.
    :param fresh: whether a new connection is required.
    :param max_connections: limit on open connections to the target.
    """

    address: str
    request_id: str
    request: bytes
    fresh: bool
    max_connections: int


class Attempts:
    """Client that sends requests to targets.

    :param connections: connections to all targets.
    :param header_codec: reads the headers of answers.
    :param clock: clock of the process.
    """

    def __init__(
        self,
        connections: TargetConnections,
        header_codec: HeaderCodec,
        clock: Clock,
    ) -> None:
        """Create a client on the given connections."""
        self.header_codec = header_codec
        self.connections = connections
        self._clock = clock

    async def send(
        self, outbound: OutboundRequest
    ) -> TargetConnection | NotSent:
        """Send a request and return the connection that its answer uses."""
        try:
            connection = await self.connections.acquire(
                outbound.address,
                self._clock.now_s(),
                fresh=outbound.fresh,
                max_connections=outbound.max_connections,
            )
            connection.send(
                outbound.request,
                self._match_by_id(outbound.request_id),
            )
        except ConnectionLimitError as error:
            return NotSent(str(error), is_full=True)
        except OSError as error:
            return NotSent(repr(error))
        return connection

    async def open_answer(
        self, connection: TargetConnection, timeout_s: float
    ) -> OpenResult:
        """Wait for the head of the answer to a request that was sent.

        :param timeout_s: timeout, after which the connection is closed.
        """
        try:
            async with asyncio.timeout(timeout_s):
                event = await connection.next_event()
        except TimeoutError:
            connection.abandon()
            return Broken('no answer in time', is_timeout=True)
        except BaseException:
            connection.abandon()
            raise
        return self.classify_first_event(connection, event)

    async def read_body(
        self,
        opened: OpenedAnswer,
        held: HeldAnswer,
        timeout_s: float,
    ) -> CompleteAnswer | Broken:
        """Read the body of an answer.

        It is held until it is complete, so that an interrupted one can still be
        replaced by a retry.

        :param held: memory that the body takes; of an earlier answer to the
            same request, nothing is held any more.
        :param timeout_s: timeout, after which the connection is closed.
        """
        held.release()
        body = await self._read_body(opened, held, max(0.0, timeout_s))
        if isinstance(body, Broken):
            held.release()
            return body
        self.release_connection(opened)
        head = opened.head
        return CompleteAnswer(head.status, head.headers, body, opened.facts)

    def release_connection(self, opened: OpenedAnswer) -> None:
        """Return the connection of a complete answer to the idle ones.

        The connection is closed instead if the answer requires it.
        """
        if opened.facts.must_close:
            opened.connection.abandon()
            return
        self.connections.release(
            opened.connection,
            opened.facts.keep_alive_s,
            self._clock.now_s(),
        )

    async def _read_body(
        self, opened: OpenedAnswer, held: HeldAnswer, timeout_s: float
    ) -> bytes | Broken:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._collect_body(opened.connection, held)
        except TimeoutError:
            opened.connection.abandon()
            return Broken('no whole answer in time', is_timeout=True)
        except BaseException:
            opened.connection.abandon()
            raise

    async def _collect_body(
        self, connection: TargetConnection, held: HeldAnswer
    ) -> bytes | Broken:
        parts: list[bytes] = []
        while True:
            event = await connection.next_event()
            if isinstance(event, AnswerEnd):
                return b''.join(parts)
            if not isinstance(event, AnswerPart):
                break
            if not held.add(len(event.body)):
                connection.abandon()
                return Broken('answer too long to hold')
            parts.append(event.body)
        connection.abandon()
        return Broken(_interrupted_reason(event))

    def _match_by_id(self, request_id: str) -> Callable[[Headers], bool]:
        def is_match(headers: Headers) -> bool:
            return self.header_codec.answers_request(headers, request_id)

        return is_match

    def classify_first_event(
        self,
        connection: TargetConnection,
        event: AnswerEvent,
    ) -> OpenResult:
        """Return the result that the first event of an answer stands for."""
        if not isinstance(event, AnswerHead):
            connection.abandon()
            return Broken(_interrupted_reason(event))
        facts = self.header_codec.read_answer(event.status, event.headers)
        if facts.kind == AnswerKind.INVALID:
            connection.abandon()
            return Broken(f'answer without proof, status {event.status}')
        opened = OpenedAnswer(connection, event, facts)
        if facts.kind != AnswerKind.NOT_RUN:
            return opened
        # A refusal that is written once more would pass for that of the next
        # request, unless it names its own.
        is_whole = event.length == 0 and isinstance(
            connection.peek(), AnswerEnd
        )
        if is_whole and facts.request_id:
            self.release_connection(opened)
        else:
            connection.abandon()
        return Refused(event.status, facts)


def failure_reason(result: OpenResult | FetchResult) -> str:
    """Return why an attempt failed; empty if it was answered."""
    match result:
        case NotSent(reason=reason) | Broken(reason=reason):
            return reason
        case Refused(status=status):
            return f'refused with {status}'
        case _:
            return ''


def _interrupted_reason(event: AnswerEvent) -> str:
    return event.reason if isinstance(event, AnswerLost) else 'no head'
