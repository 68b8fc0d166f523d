"""Sends the chain along, so that engines pass steps on among themselves."""

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
_STAGE_WAIT_SHARE = 0.8
_KINDS = types.MappingProxyType({kind.value: kind for kind in LossKind})


class PassOnCarrier:
    """Opens one call for a draft and reads a reply of all stages each token.

    The run still awaits each stage in turn: its step to the first stage reads
    the next token's replies, its steps to the others take theirs from them.

    :param session: keeps connections to engines open.
    :param fresh_session: opens a new connection for each call.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
    ) -> None:
        """Use two sessions."""
        self._calls = TargetCalls(session, fresh_session)
        self._passes: dict[str, _Pass] = {}

    async def carry(
        self,
        stage: Stage,
        step: protocol.StepRequest,
        progress_timeout_s: float,
        lookahead: Lookahead | None = None,
    ) -> CarryResult:
        """Return what a stage answered to a step."""
        if step.first_layer:
            return self._answer_of(step)
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
        """Tell a stage that a stream has ended; failures are ignored."""
        current = self._passes.get(stream_id)
        if current is not None and current.attempt <= attempt:
            self._close(stream_id)
        await self._calls.cancel(stage, stream_id, attempt)

    def _answer_of(self, step: protocol.StepRequest) -> CarryResult:
        current = self._passes.get(step.stream_id)
        if current is None or current.attempt != step.attempt:
            return protocol.StepRefusal(protocol.RefusalKind.CACHE_LENGTH)
        return current.next_answer()

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
        return current.next_answer()

    async def _open(
        self,
        stage: Stage,
        step: protocol.StepRequest,
        progress_timeout_s: float,
        lookahead: Lookahead | None,
    ) -> _Pass | StepLost:
        chain = lookahead.chain if lookahead else (stage,)
        order = protocol.PassRequest(
            step=step,
            chain=tuple(map(_pass_stage, chain)),
            token_count=lookahead.token_count if lookahead else 1,
            timeout_s=progress_timeout_s * _STAGE_WAIT_SHARE,
        )
        response = await self._calls.session_to(stage.address).post(
            f'http://{stage.address}{protocol.PASSES_PATH}',
            data=msgspec.msgpack.encode(order),
            headers=HEADERS,
            timeout=NO_TIMEOUT,
        )
        if response.status != _HTTP_OK:
            response.close()
            return StepLost(LossKind.BAD_REPLY, f'status {response.status}')
        opened = _Pass(response, step.attempt)
        self._passes[step.stream_id] = opened
        return opened

    def _close(self, stream_id: str) -> None:
        current = self._passes.pop(stream_id, None)
        if current is not None:
            current.close()


class _Pass:
    """An open call and the answers of the present token."""

    def __init__(self, response: aiohttp.ClientResponse, attempt: int) -> None:
        self.attempt = attempt
        self._response = response
        self._answers: collections.deque[CarryResult] = collections.deque()

    async def read_token(self) -> None:
        """Read the replies of all stages to the next token."""
        self._answers.clear()
        content = self._response.content
        length = await content.readexactly(_LENGTH_BYTES)
        body = await content.readexactly(int.from_bytes(length, 'big'))
        reply = msgspec.msgpack.decode(body, type=protocol.PassReply)
        self._answers.extend(reply.replies)
        if reply.refusal is not None:
            self._answers.append(reply.refusal)
        elif reply.loss:
            kind = _KINDS.get(reply.loss, LossKind.BAD_REPLY)
            self._answers.append(StepLost(kind, 'told by the stage before'))

    def next_answer(self) -> CarryResult:
        """Return the next stage's answer."""
        if self._answers:
            return self._answers.popleft()
        return StepLost(LossKind.BAD_REPLY, 'no answer of this stage')

    def close(self) -> None:
        """Close the connection."""
        self._response.close()


def _pass_stage(stage: Stage) -> protocol.PassStage:
    return protocol.PassStage(
        stage.target,
        stage.address,
        stage.layers.start,
        stage.layers.stop,
    )
