"""Relays steps between the daemon and each engine over HTTP."""

from __future__ import annotations

import asyncio
import logging
import types
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from nutmegspoke import engine_protocol as protocol
from nutmegspoke.border.http_sessions import KEEPALIVE_S, HttpSessions
from nutmegspoke.border.http_sessions import NAME as SESSIONS
from nutmegspoke.pipelines.carrier import CarryResult, LossKind, StepLost

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.layers import Stage

logger = logging.getLogger(__name__)

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode
_HTTP_OK = 200
_REFUSALS = frozenset((409, 503))
_CANCEL_TIMEOUT_S = 2.0
_HEADERS = types.MappingProxyType({'Content-Type': protocol.MEDIA_TYPE})
_CALL_ERRORS = (aiohttp.ClientError, OSError, msgspec.MsgspecError)


class RelayCarrier:
    """Carries each step with one HTTP call.

    After a silent connection, an address gets new connections only, until
    every idle connection of that time has been closed.

    :param session: keeps connections to engines open.
    :param fresh_session: opens a new connection for each call.
    :param keepalive_s: how long an idle connection is kept.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
        keepalive_s: float = KEEPALIVE_S,
    ) -> None:
        """Use two sessions."""
        self._session = session
        self._fresh_session = fresh_session
        self._keepalive_s = keepalive_s
        self._fresh_until_s: dict[str, float] = {}

    async def carry(
        self,
        stage: Stage,
        step: protocol.StepRequest,
        progress_timeout_s: float,
    ) -> CarryResult:
        """Send a step and return what became of it."""
        probe = _Probe(self._fresh_session, stage.address)
        probe.start_after(progress_timeout_s / 2)
        try:
            return await self._post(stage, step, progress_timeout_s)
        except TimeoutError:
            return self._tell_silence(stage, probe)
        except _CALL_ERRORS as error:
            return StepLost(_loss_kind(error), str(error))
        finally:
            probe.stop()

    async def cancel(self, stage: Stage, stream_id: str, attempt: int) -> None:
        """Tell a stage that a stream has ended; failures are ignored."""
        order = protocol.CancelRequest(stream_id, attempt)
        try:
            async with self._session_to(stage).post(
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
    ) -> CarryResult:
        async with self._session_to(stage).post(
            f'http://{stage.address}{protocol.STEPS_PATH}',
            data=_encode(step),
            headers=_HEADERS,
            timeout=_exact_timeout(progress_timeout_s),
        ) as response:
            body = await response.read()
        if response.status == _HTTP_OK:
            return _decode(body, type=protocol.StepReply)
        if response.status in _REFUSALS and body:
            return _decode(body, type=protocol.StepRefusal)
        return StepLost(LossKind.BAD_REPLY, f'status {response.status}')

    def _session_to(self, stage: Stage) -> aiohttp.ClientSession:
        until_s = self._fresh_until_s.get(stage.address)
        if until_s is None:
            return self._session
        if _loop_s() < until_s:
            return self._fresh_session
        self._fresh_until_s.pop(stage.address)
        return self._session

    def _tell_silence(self, stage: Stage, probe: _Probe) -> StepLost:
        self._fresh_until_s[stage.address] = _loop_s() + self._keepalive_s
        if probe.is_answered:
            return StepLost(
                LossKind.CONNECTION_SILENT,
                'a new connection answers',
            )
        return StepLost(LossKind.TARGET_SILENT, 'nor does a new connection')


class _Probe:
    """Asks over a new connection whether a target still answers.

    It starts halfway through a wait, so that its answer is known at the end.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.is_answered = False
        self._session = session
        self._address = address
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    def start_after(self, pause_s: float) -> None:
        """Ask after a pause, unless stopped before."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(pause_s, self._start)

    def stop(self) -> None:
        """Ask no more."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

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


def new_carrier(app: Application) -> RelayCarrier:
    """Return the carrier of an application."""
    sessions = app.kernel.find(SESSIONS, HttpSessions)
    return RelayCarrier(sessions.targets, sessions.fresh)


def _exact_timeout(total_s: float) -> aiohttp.ClientTimeout:
    """Return a timeout that is not rounded up to whole seconds."""
    return aiohttp.ClientTimeout(total=total_s, ceil_threshold=total_s)


def _loop_s() -> float:
    return asyncio.get_running_loop().time()


def _loss_kind(error: Exception) -> LossKind:
    if isinstance(error, aiohttp.ClientConnectorError):
        return LossKind.UNREACHABLE
    if isinstance(error, msgspec.MsgspecError):
        return LossKind.BAD_REPLY
    return LossKind.RESET
