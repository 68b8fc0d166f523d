"""Calls to engines, with a classification of lost calls.

After a silent connection, new connections are used for some time.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import types
from typing import TYPE_CHECKING, TypeVar

import aiohttp
import msgspec

from nutmegspoke import engine_protocol as protocol
from nutmegspoke.border.http_sessions import KEEPALIVE_S
from nutmegspoke.pipelines.carrier import LossKind, StepLost

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from nutmegspoke.layers import Stage

logger = logging.getLogger(__name__)

HEADERS = types.MappingProxyType({'Content-Type': protocol.MEDIA_TYPE})
NO_TIMEOUT = aiohttp.ClientTimeout()
_CANCEL_TIMEOUT_S = 2.0
_PROBE_TIMEOUT_S = 0.25
_CALL_ERRORS = (
    aiohttp.ClientError,
    OSError,
    EOFError,
    msgspec.MsgspecError,
)
_ResultT = TypeVar('_ResultT')


class TargetCalls:
    """Sessions for calls to targets.

    After a connection gave no answer, calls to its address use new
    connections until every connection that was idle then has been closed.

    :param session: session with pooled connections.
    :param fresh_session: session with a new connection for each call.
    :param keepalive_s: time for which an idle connection is kept open.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
        keepalive_s: float = KEEPALIVE_S,
    ) -> None:
        """Create calls that use these sessions."""
        self._session = session
        self._fresh_session = fresh_session
        self._keepalive_s = keepalive_s
        self._fresh_until_s: dict[str, float] = {}

    def session_to(self, address: str) -> aiohttp.ClientSession:
        """Return the session for the next call to an address."""
        until_s = self._fresh_until_s.get(address)
        if until_s is None:
            return self._session
        if _loop_s() < until_s:
            return self._fresh_session
        self._fresh_until_s.pop(address)
        return self._session

    async def watch(
        self,
        address: str,
        call: Awaitable[_ResultT],
        timeout_s: float,
    ) -> _ResultT | StepLost:
        """Wait for a call and classify its loss, if it is lost.

        :param address: address of the target.
        :param call: the call.
        :param timeout_s: timeout of the call.
        :returns: the result of the call, or how it was lost.
        """
        probe = _Probe(self._fresh_session, address)
        probe.start_after(timeout_s / 2)
        try:
            async with asyncio.timeout(timeout_s):
                return await call
        except TimeoutError:
            return self._classify_silence(address, probe)
        except _CALL_ERRORS as error:
            return StepLost(await _classify_error(error, probe), str(error))
        finally:
            probe.stop()

    async def cancel(self, stage: Stage, stream_id: str, attempt: int) -> None:
        """Cancel a stream on a stage; failures are logged and ignored."""
        cancel_request = protocol.CancelRequest(stream_id, attempt)
        try:
            async with self.session_to(stage.address).post(
                f'http://{stage.address}{protocol.CANCEL_PATH}',
                data=msgspec.msgpack.encode(cancel_request),
                headers=HEADERS,
                timeout=aiohttp.ClientTimeout(total=_CANCEL_TIMEOUT_S),
            ):
                return
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            logger.info(
                'pipelines: cancel lost target=%s error=%s',
                stage.target,
                error,
            )

    def _classify_silence(self, address: str, probe: _Probe) -> StepLost:
        self._fresh_until_s[address] = _loop_s() + self._keepalive_s
        if probe.is_answered:
            return StepLost(
                LossKind.CONNECTION_SILENT,
                'a new connection answers',
            )
        return StepLost(
            LossKind.TARGET_SILENT, 'a new connection gets no answer either'
        )


class _Probe:
    """Probe of a target over a new connection.

    The probe is started at half of the timeout of a call, so that its result
    is known when the call times out.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.is_answered = False
        self._session = session
        self._address = address
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    def start_after(self, delay_s: float) -> None:
        """Send the probe after a delay, unless stopped before."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._start)

    def stop(self) -> None:
        """Cancel the probe."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    async def ask_now(self) -> bool:
        """Send the probe now and return whether the target answered."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                await self._ask()
        return self.is_answered

    def _start(self) -> None:
        self._task = asyncio.create_task(self._ask())

    async def _ask(self) -> None:
        url = f'http://{self._address}{protocol.LOAD_PATH}'
        try:
            async with self._session.get(url) as response:
                await response.read()
        except (aiohttp.ClientError, OSError) as error:
            logger.info(
                'pipelines: probe failed address=%s error=%s',
                self._address,
                error,
            )
            return
        self.is_answered = True


def _loop_s() -> float:
    return asyncio.get_running_loop().time()


async def _classify_error(error: Exception, probe: _Probe) -> LossKind:
    kind = _loss_kind(error)
    if kind is LossKind.RESET and await probe.ask_now():
        return LossKind.CONNECTION_RESET
    return kind


def _loss_kind(error: Exception) -> LossKind:
    if isinstance(error, aiohttp.ClientConnectorError):
        return LossKind.UNREACHABLE
    if isinstance(error, msgspec.MsgspecError):
        return LossKind.BAD_REPLY
    return LossKind.RESET
