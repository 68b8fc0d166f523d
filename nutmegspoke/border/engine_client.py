"""Relay steps from the daemon to each engine over HTTP."""

from __future__ import annotations

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
_REFUSALS = frozenset((409, 503))


class RelayCarrier:
    """Carrier that sends each step with an HTTP call of its own.

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

    async def carry(
        self,
        stage: Stage,
        step: protocol.StepRequest,
        progress_timeout_s: float,
        lookahead: Lookahead | None = None,
    ) -> CarryResult:
        """Send a step and return the reply, the refusal or the loss.

        :param stage: the engine and its layers.
        :param step: the step.
        :param progress_timeout_s: timeout of the call.
        :param lookahead: not used, as the daemon sends each step itself.
        """
        return await self._calls.watch(
            stage.address,
            self._post(stage, step),
            progress_timeout_s,
        )

    async def cancel(self, stage: Stage, stream_id: str, attempt: int) -> None:
        """Cancel a stream on a stage; failures are ignored."""
        await self._calls.cancel(stage, stream_id, attempt)

    async def _post(
        self,
        stage: Stage,
        step: protocol.StepRequest,
    ) -> CarryResult:
        async with self._calls.session_to(stage.address).post(
            f'http://{stage.address}{protocol.STEPS_PATH}',
            data=msgspec.msgpack.encode(step),
            headers=HEADERS,
            timeout=NO_TIMEOUT,
        ) as response:
            body = await response.read()
        if response.status == _HTTP_OK:
            return msgspec.msgpack.decode(body, type=protocol.StepReply)
        if response.status in _REFUSALS and body:
            return msgspec.msgpack.decode(body, type=protocol.StepRefusal)
        return StepLost(LossKind.BAD_REPLY, f'status {response.status}')
