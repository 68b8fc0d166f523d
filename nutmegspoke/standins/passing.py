"""Forwarding of steps between engine stand-ins along a chain."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import msgspec
from aiohttp import ClientConnectorError, ClientError, ClientSession, web

from nutmegspoke import engine_protocol as protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from nutmegspoke.standins.faults import FaultInjector

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode
_LENGTH_BYTES = 4
# The timeout shrinks at each stage, so that a stage times out before the one
# that waits for it.
_TIMEOUT_FRACTION = 0.8
StepResult = protocol.StepReply | protocol.StepRefusal


@dataclasses.dataclass(slots=True)
class PassHandler:
    """Handler of pass requests: runs a step and forwards it along the chain.

    :param run_step: runs a step at this engine.
    :param fault_injector: active faults of this engine.
    """

    run_step: Callable[[protocol.StepRequest], Awaitable[StepResult]]
    fault_injector: FaultInjector
    _session: ClientSession | None = None

    def add_routes(self, app: web.Application) -> None:
        """Add the route of pass requests to an application."""
        app.router.add_post(protocol.PASSES_PATH, self.handle)
        app.cleanup_ctx.append(self._open_session)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Generate tokens and stream one :class:`PassReply` for each.

        Generation ends early when a step is refused or lost.
        """
        order = _decode(await request.read(), type=protocol.PassRequest)
        response = web.StreamResponse()
        response.content_type = protocol.MEDIA_TYPE
        await response.prepare(request)
        step: protocol.StepRequest | None = order.step
        for _ in range(order.token_count):
            if step is None:
                break
            reply = await self._run_and_forward(step, order)
            await self.fault_injector.wait_if_silenced(request)
            body = _encode(reply)
            length = len(body).to_bytes(_LENGTH_BYTES, 'big')
            await response.write(length + body)
            step = _build_next_step(step, reply)
        await response.write_eof()
        return response

    async def _run_and_forward(
        self,
        step: protocol.StepRequest,
        order: protocol.PassRequest,
    ) -> protocol.PassReply:
        own_reply = await self.run_step(step)
        if isinstance(own_reply, protocol.StepRefusal):
            return protocol.PassReply(refusal=own_reply)
        remaining_stages = order.chain[1:]
        if not remaining_stages:
            return protocol.PassReply((own_reply,))
        downstream = await self._forward(
            step, own_reply, remaining_stages, order.timeout_s
        )
        own_reply.hidden = ()
        own_reply.is_passed_on = True
        return protocol.PassReply(
            (own_reply, *downstream.replies),
            downstream.refusal,
            downstream.loss,
        )

    async def _forward(
        self,
        step: protocol.StepRequest,
        own_reply: protocol.StepReply,
        remaining_stages: tuple[protocol.PassStage, ...],
        timeout_s: float,
    ) -> protocol.PassReply:
        next_step = msgspec.structs.replace(
            step,
            first_layer=remaining_stages[0].first_layer,
            stop_layer=remaining_stages[0].stop_layer,
            prompt='',
            tokens=(),
            hidden=own_reply.hidden,
        )
        order = protocol.PassRequest(
            next_step,
            remaining_stages,
            1,
            timeout_s * _TIMEOUT_FRACTION,
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await self._post(remaining_stages[0].address, order)
        except TimeoutError:
            return protocol.PassReply(loss='target_silent')
        except ClientConnectorError:
            return protocol.PassReply(loss='unreachable')
        except (ClientError, OSError, msgspec.MsgspecError):
            return protocol.PassReply(loss='reset')

    async def _post(
        self,
        address: str,
        order: protocol.PassRequest,
    ) -> protocol.PassReply:
        async with self._session.post(
            f'http://{address}{protocol.PASSES_PATH}',
            data=_encode(order),
        ) as response:
            body = await response.read()
        return _decode(body[_LENGTH_BYTES:], type=protocol.PassReply)

    async def _open_session(self, app: web.Application) -> AsyncIterator[None]:
        self._session = ClientSession()
        yield
        await self._session.close()


def _build_next_step(
    step: protocol.StepRequest,
    reply: protocol.PassReply,
) -> protocol.StepRequest | None:
    if reply.loss or reply.refusal is not None:
        return None
    token = reply.replies[-1].token
    if token is None:
        return None
    return msgspec.structs.replace(
        step,
        position=step.position + reply.replies[0].count,
        prompt='',
        tokens=(token,),
        hidden=(),
    )
