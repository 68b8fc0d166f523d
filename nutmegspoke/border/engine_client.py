"""Relays steps between the daemon and each engine over HTTP."""

from __future__ import annotations

import logging
import types
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from nutmegspoke import engine_protocol as protocol
from nutmegspoke.pipelines.carrier import LossKind, StepLost


if TYPE_CHECKING:
    from nutmegspoke.layers import Stage

logger = logging.getLogger(__name__)

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode
_HTTP_OK = 200
_REFUSALS = frozenset((409, 503))
_PROBE_TIMEOUT_S = 1.0
_CANCEL_TIMEOUT_S = 2.0
_HEADERS = types.MappingProxyType({'Content-Type': protocol.MEDIA_TYPE})


class RelayCarrier:
    """Carries each step with one HTTP call.

    :param session: keeps connections to engines open.
    :param fresh_session: opens a new connection for each call.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
    ) -> None:
        """Use two sessions."""
        self._session = session
        self._fresh_session = fresh_session

    async def carry(
        self,
        stage: Stage,
        step: protocol.StepRequest,
        progress_timeout_s: float,
    ) -> protocol.StepReply | protocol.StepRefusal | StepLost:
        """Send a step and return what became of it."""
        try:
            return await self._post(stage, step, progress_timeout_s)
        except TimeoutError:
            return await self._tell_silence(stage)
        except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as error:
            return StepLost(_loss_kind(error), str(error))

    async def cancel(self, stage: Stage, stream_id: str, attempt: int) -> None:
        """Tell a stage that a stream has ended; failures are ignored."""
        order = protocol.CancelRequest(stream_id, attempt)
        try:
            async with self._session.post(
                f'http://{stage.address}{protocol.CANCEL_PATH}',
                data=_encode(order),
                headers=_HEADERS,
                timeout=aiohttp.ClientTimeout(total=_CANCEL_TIMEOUT_S),
            ):
                return
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            logger.info(
                'pipelines: cancel lost target=%s error=%s',
                stage.target,
                error,
            )

    async def _post(
        self,
        stage: Stage,
        step: protocol.StepRequest,
        progress_timeout_s: float,
    ) -> protocol.StepReply | protocol.StepRefusal | StepLost:
        async with self._session.post(
            f'http://{stage.address}{protocol.STEPS_PATH}',
            data=_encode(step),
            headers=_HEADERS,
            timeout=aiohttp.ClientTimeout(total=progress_timeout_s),
        ) as response:
            body = await response.read()
        if response.status == _HTTP_OK:
            return _decode(body, type=protocol.StepReply)
        if response.status in _REFUSALS and body:
            return _decode(body, type=protocol.StepRefusal)
        return StepLost(LossKind.BAD_REPLY, f'status {response.status}')

    async def _tell_silence(self, stage: Stage) -> StepLost:
        """Ask over a new connection whether the target still answers."""
        try:
            async with self._fresh_session.get(
                f'http://{stage.address}{protocol.LOAD_PATH}',
                timeout=aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S),
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return StepLost(LossKind.TARGET_SILENT, str(error))
        return StepLost(LossKind.CONNECTION_SILENT, 'a new connection answers')


def _loss_kind(error: Exception) -> LossKind:
    if isinstance(error, aiohttp.ClientConnectorError):
        return LossKind.UNREACHABLE
    if isinstance(error, msgspec.MsgspecError):
        return LossKind.BAD_REPLY
    return LossKind.RESET
