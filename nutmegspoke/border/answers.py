"""Send the tokens of a draft to its caller, as a stream or as one body."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.border import completions, responses
from nutmegspoke.border.drafts import DraftToken

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sanic import HTTPResponse, Request

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.border.drafts import DraftItem
    from nutmegspoke.border.metrics import Metrics

logger = logging.getLogger(__name__)
_STREAM_TYPE = 'text/event-stream'


class StreamWriter:
    """Writer of a draft as server-sent events.

    :param request: request of the caller.
    :param call: the validated completion call.
    :param request_id: id of the request.
    :param write_timeout_s: timeout for sending one event to the caller.
    """

    def __init__(
        self,
        request: Request,
        call: completions.CompletionCall,
        request_id: str,
        write_timeout_s: float,
    ) -> None:
        """Create a writer that has sent nothing."""
        self._request = request
        self._call = call
        self._request_id = request_id
        self._write_timeout_s = write_timeout_s
        self._response: HTTPResponse | None = None

    @property
    def has_begun(self) -> bool:
        """Return whether the head of the response was sent."""
        return self._response is not None

    async def write(
        self,
        stream: AsyncIterator[DraftItem],
    ) -> outcomes.Outcome:
        """Send all tokens and return the outcome.

        A refusal before the first token is returned but not sent, so that it
        can be answered with its own HTTP status. The connection of a caller
        that does not read an event within the timeout is aborted.
        """
        try:
            outcome = await self._send_tokens(stream)
            if self.has_begun or isinstance(outcome, outcomes.Completed):
                await self._finish(outcome)
        except TimeoutError:
            logger.warning(
                'callers: caller does not read request=%s',
                self._request_id,
            )
            self._request.transport.abort()
            return outcomes.Unknown(outcomes.UnknownReason.STREAM_LOST)
        return outcome

    async def _send_tokens(
        self,
        stream: AsyncIterator[DraftItem],
    ) -> outcomes.Outcome:
        outcome: outcomes.Outcome = outcomes.Unknown(
            outcomes.UnknownReason.STREAM_LOST,
        )
        async with contextlib.aclosing(stream):
            async for item in stream:
                if isinstance(item, DraftToken):
                    await self._send_token(item)
                else:
                    outcome = item
        return outcome

    async def _send_token(self, token: DraftToken) -> None:
        await self._send(
            completions.token_event(
                self._call,
                self._request_id,
                token.text,
                token.event_id,
            ),
        )

    async def _finish(self, outcome: outcomes.Outcome) -> None:
        if isinstance(outcome, outcomes.Completed):
            await self._send(completions.DONE_EVENT)
        elif isinstance(outcome, outcomes.NotRun | outcomes.Unknown):
            body = responses.error_body(outcome, self._request_id)
            await self._send(completions.error_event(body))
        response = await self._start_response()
        await response.eof()

    async def _send(self, event: bytes) -> None:
        response = await self._start_response()
        await asyncio.wait_for(response.send(event), self._write_timeout_s)

    async def _start_response(self) -> HTTPResponse:
        """Return the response; send its head on the first call."""
        if self._response is None:
            self._response = await self._request.respond(
                content_type=_STREAM_TYPE,
                headers={
                    responses.REQUEST_ID_HEADER: self._request_id,
                    responses.EXECUTED_HEADER: outcomes.Executed.YES.value,
                },
            )
        return self._response


@dataclasses.dataclass(frozen=True, slots=True)
class TokenTimes:
    """Metrics, clock and route of the token times of a draft.

    :param metrics: the metrics of the daemon.
    :param clock: the clock of the process.
    :param route: name of the route.
    """

    metrics: Metrics
    clock: Clock
    route: str


async def measure_token_times(
    stream: AsyncIterator[DraftItem],
    times: TokenTimes,
    received_s: float,
) -> AsyncIterator[DraftItem]:
    """Yield the items of a draft and record the times of its tokens.

    Recorded are the time to the first token and the gaps between tokens.

    :param stream: the tokens, then one outcome.
    :param times: where the times are recorded.
    :param received_s: when the request was received.
    """
    observe_time = times.metrics.first_token
    last_s = received_s
    async with contextlib.aclosing(stream):
        async for item in stream:
            if isinstance(item, DraftToken):
                now_s = times.clock.now_s()
                observe_time(times.route, now_s - last_s)
                observe_time = times.metrics.token_gap
                last_s = now_s
            yield item


async def collect(
    stream: AsyncIterator[DraftItem],
    call: completions.CompletionCall,
    request_id: str,
) -> outcomes.Outcome:
    """Collect a draft into one answer that is not streamed.

    :param stream: the tokens, then one outcome.
    :param call: the validated completion call.
    :param request_id: id of the request.
    """
    texts: list[str] = []
    outcome: outcomes.Outcome | None = None
    async for item in stream:
        if isinstance(item, DraftToken):
            texts.append(item.text)
        else:
            outcome = item
    if isinstance(outcome, outcomes.Completed):
        body = completions.completion_body(
            call, request_id, ''.join(texts), len(texts)
        )
        return outcomes.Completed(status=200, body=body)
    if outcome is None:
        return outcomes.Unknown(outcomes.UnknownReason.STREAM_LOST)
    return outcome
