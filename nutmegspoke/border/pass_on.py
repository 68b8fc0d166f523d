"""Send the chain with a step, so that engines pass steps on to each other."""

from __future__ import annotations

import collections
import types
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from nutmegspoke import engine_protocol as protocol
from nutmegspoke.border.target_calls import HEADERS, NO_TIMEOUT, TargetCalls
from nutmegspoke.pipelines.carrier import (
    Lookahead,
    CarryResult,
    LossKind,
    StepLost,
)

if TYPE_CHECKING:
    from nutmegspoke.layers import Stage

_HTTP_OK = 200
_LENGTH_BYTES = 4
_STAGE_TIMEOUT_SHARE = 0.8
_KINDS = types.MappingProxyType({kind.value: kind for kind in LossKind})


class PassOnCarrier:
    """Carrier with one open call for each draft.

    The first engine sends the replies of all stages to a token in one message.
    The run still sends its steps stage by stage: the step to the first stage
    reads the message, and steps to later stages return replies out of it.

    :param session: session with pooled connections.
    :param fresh_session: session with a new connection for each call.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
    ) -> None:
        """Create a carrier that uses these sessions."""
        self._calls = TargetCalls(session, fresh_session)
        self._passes: dict[str, _OpenPass] = {}

    async def carry(
        self,
        stage: Stage,
        step: protocol.StepRequest,
        progress_timeout_s: float,
        lookahead: Lookahead | None = None,
    ) -> CarryResult:
        """Return the reply, the refusal or the loss of a step.

        :param stage: the engine and its layers.
        :param step: the step.
        :param progress_timeout_s: timeout of the replies to one token.
        :param lookahead: the chain and the number of tokens left.
        """
        if step.first_layer:
            return self._next_reply(step)
        read = self._read_token(stage, step, progress_timeout_s, lookahead)
        result = await self._calls.watch(
            stage.address,
            read,
            progress_timeout_s,
        )
        if isinstance(result, StepLost):
            self._close(step.stream_id)
        return result

    async def cancel(self, stage: Stage, stream_id: str, attempt: int) -> None:
        """Cancel a stream on a stage; failures are ignored."""
        current = self._passes.get(stream_id)
        if current is not None and current.attempt <= attempt:
            self._close(stream_id)
        await self._calls.cancel(stage, stream_id, attempt)

    def _next_reply(self, step: protocol.StepRequest) -> CarryResult:
        current = self._passes.get(step.stream_id)
        if current is None or current.attempt != step.attempt:
            return protocol.StepRefusal(protocol.RefusalKind.CACHE_LENGTH)
        return current.next_reply()

    async def _read_token(
        self,
        stage: Stage,
        step: protocol.StepRequest,
        progress_timeout_s: float,
        lookahead: Lookahead | None,
    ) -> CarryResult:
        current = self._passes.get(step.stream_id)
        if current is None or current.attempt != step.attempt:
            self._close(step.stream_id)
            current = await self._open(
                stage, step, progress_timeout_s, lookahead
            )
        if isinstance(current, StepLost):
            return current
        await current.read_token()
        return current.next_reply()

    async def _open(
        self,
        stage: Stage,
        step: protocol.StepRequest,
        progress_timeout_s: float,
        lookahead: Lookahead | None,
    ) -> _OpenPass | StepLost:
        chain = lookahead.chain if lookahead else (stage,)
        pass_request = protocol.PassRequest(
            step=step,
            chain=tuple(map(_pass_stage, chain)),
            token_count=lookahead.token_count if lookahead else 1,
            timeout_s=progress_timeout_s * _STAGE_TIMEOUT_SHARE,
        )
        response = await self._calls.session_to(stage.address).post(
            f'http://{stage.address}{protocol.PASSES_PATH}',
            data=msgspec.msgpack.encode(pass_request),
            headers=HEADERS,
            timeout=NO_TIMEOUT,
        )
        if response.status != _HTTP_OK:
            response.close()
            return StepLost(LossKind.BAD_REPLY, f'status {response.status}')
        open_pass = _OpenPass(response, step.attempt)
        self._passes[step.stream_id] = open_pass
        return open_pass

    def _close(self, stream_id: str) -> None:
        current = self._passes.pop(stream_id, None)
        if current is not None:
            current.close()


class _OpenPass:
    """An open call and the replies to the current token."""

    def __init__(self, response: aiohttp.ClientResponse, attempt: int) -> None:
        self.attempt = attempt
        self._response = response
        self._replies: collections.deque[CarryResult] = collections.deque()

    async def read_token(self) -> None:
        """Read the replies of all stages to the next token."""
        self._replies.clear()
        content = self._response.content
        length = await content.readexactly(_LENGTH_BYTES)
        body = await content.readexactly(int.from_bytes(length, 'big'))
        reply = msgspec.msgpack.decode(body, type=protocol.PassReply)
        self._replies.extend(reply.replies)
        if reply.refusal is not None:
            self._replies.append(reply.refusal)
        elif reply.loss:
            kind = _KINDS.get(reply.loss, LossKind.BAD_REPLY)
            self._replies.append(
                StepLost(kind, 'reported by the previous stage')
            )

    def next_reply(self) -> CarryResult:
        """Return the reply of the next stage."""
        if self._replies:
            return self._replies.popleft()
        return StepLost(LossKind.BAD_REPLY, 'no reply of this stage')

    def close(self) -> None:
        """Close the call and its connection."""
        self._response.close()


def _pass_stage(stage: Stage) -> protocol.PassStage:
    return protocol.PassStage(
        stage.target,
        stage.address,
        stage.layers.start,
        stage.layers.stop,
    )
