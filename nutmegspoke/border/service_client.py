"""Send calls to plain services and report whether they may have run."""

from __future__ import annotations

import dataclasses
import enum
import logging
from typing import TYPE_CHECKING

import aiohttp
import yarl

from nutmegspoke.engine_protocol import LOAD_PATH
from nutmegspoke.untrusted import is_final_status

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import SimpleNamespace

    from nutmegspoke.requests import CallRequest
    from nutmegspoke.targets import Target

logger = logging.getLogger(__name__)

_SERVICE_UNAVAILABLE = 503
POOLED_IDLE_S = 15.0
CONNECT_TIMEOUT_S = 2.0
_PROBE_TIMEOUT_S = 1.0
_MIN_TIMEOUT_S = 0.001
_EXECUTED_HEADER = 'Nutmegspoke-Executed'
_REASON_HEADER = 'Nutmegspoke-Reason'
_LEAVING = 'leaving'
_DEFAULT_MEDIA_TYPE = 'application/octet-stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The target sent a complete answer.

    :param status: HTTP status.
    :param body: body in bytes.
    :param content_type: media type of the body.
    """

    status: int
    body: bytes
    content_type: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the call was sent to the target.

    :param reason: the error.
    :param is_refused: whether the connection was refused.
    """

    reason: str
    is_refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Withheld:
    """The connection was open, but the call was not allowed to be sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """The target refused the call and says that it did not run it.

    :param retry_after_s: time after which to retry, if the target names one.
    :param is_leaving: whether the target accepts no new work because it is
        leaving.
    """

    retry_after_s: float | None
    is_leaving: bool = False


class LossKind(enum.StrEnum):
    """How an answer was lost.

    ``UNSPECIFIED`` is an answer with status 503 that does not say whether the
    call ran.
    """

    SILENT = 'silent'
    BROKEN = 'broken'
    UNSPECIFIED = 'unsaid'


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Bytes of the call may have been sent, and no complete answer came.

    :param kind: how the answer was lost.
    :param reason: the error.
    """

    kind: LossKind
    reason: str


Attempt = Answered | NotSent | Withheld | Declined | Lost


class _WithheldError(Exception):
    """Raised inside the HTTP client to keep a call from being sent."""


@dataclasses.dataclass(slots=True)
class _SendGuard:
    """Check between the opening of a connection and the first byte of a call.

    When a connection breaks, the HTTP client itself retries calls of some
    methods; the guard never allows the second sending.

    :param may_send: decides immediately before the first byte.
    :param is_sent: whether a byte of the call may have been sent.
    """

    may_send: Callable[[], bool]
    is_sent: bool = False

    def start_sending(self) -> None:
        """Allow the call to be sent once.

        :raises _WithheldError: if the call must not be sent.
        """
        if self.is_sent or not self.may_send():
            raise _WithheldError
        self.is_sent = True


class ServiceClient:
    """HTTP client for calls, with pooled and fresh connections.

    On a stale pooled connection a call that the target never read cannot be
    distinguished from a lost answer. Calls that must not run twice therefore
    use a fresh connection each.
    """

    def __init__(self) -> None:
        """Create a client without connections."""
        self._pooled: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Create the sessions; connections are opened on first use."""
        self._pooled = _session(
            aiohttp.TCPConnector(limit=0, keepalive_timeout=POOLED_IDLE_S),
        )
        self._fresh = _session(aiohttp.TCPConnector(limit=0, force_close=True))

    async def stop(self) -> None:
        """Close all connections."""
        for session in (self._pooled, self._fresh):
            if session is not None:
                await session.close()

    async def send(
        self,
        request: CallRequest,
        target: Target,
        timeout_s: float,
        may_send: Callable[[], bool],
        *,
        is_fresh: bool,
    ) -> Attempt:
        """Send a call once.

        :param request: the call.
        :param target: the target.
        :param timeout_s: timeout of the whole attempt.
        :param may_send: asked once, between the opening of the connection and
            the first byte.
        :param is_fresh: whether to use a fresh connection.
        :returns: the result of the attempt.
        """
        guard = _SendGuard(may_send)
        try:
            return await self._exchange(
                request,
                target,
                timeout_s,
                guard,
                is_fresh=is_fresh,
            )
        except _WithheldError:
            return _classify_withheld(guard)
        except (aiohttp.ClientError, OSError) as error:
            return _classify_error(guard, error)

    async def is_gone(self, target: Target) -> bool:
        """Return whether the process of a target has ended.

        The target is asked for its load. A process that ends may close its
        connections before its port, so only an answer shows that it is alive;
        an accepted connection does not.
        """
        if self._fresh is None:
            return False
        guard = _SendGuard(_allow_always)
        try:
            async with self._fresh.get(
                f'http://{target.address}{LOAD_PATH}',
                timeout=aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S),
                trace_request_ctx=guard,
            ):
                return False
        except _WithheldError:
            return True
        except (aiohttp.ClientError, OSError) as error:
            return not isinstance(error, TimeoutError)

    async def _exchange(
        self,
        request: CallRequest,
        target: Target,
        timeout_s: float,
        guard: _SendGuard,
        *,
        is_fresh: bool,
    ) -> Attempt:
        session = self._fresh if is_fresh else self._pooled
        if session is None:
            return NotSent('the client is not started')
        timeout = aiohttp.ClientTimeout(
            total=max(timeout_s, _MIN_TIMEOUT_S),
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=request.route.progress_timeout_s,
        )
        async with session.request(
            request.method,
            yarl.URL(f'http://{target.address}{request.path}', encoded=True),
            data=request.body,
            headers=_headers(request),
            timeout=timeout,
            allow_redirects=False,
            trace_request_ctx=guard,
        ) as response:
            if not is_final_status(response.status):
                response.close()
                return Lost(
                    LossKind.BROKEN, f'invalid status {response.status}'
                )
            body = await response.read()
            return _parse_response(response, body)


def _session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(_before_first_byte)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trace_configs=[trace],
    )


async def _before_first_byte(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    headers: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    guard: _SendGuard = context.trace_request_ctx
    guard.start_sending()


def _headers(request: CallRequest) -> dict[str, str]:
    headers = {
        'Nutmegspoke-Request-Id': request.request_id,
        'Nutmegspoke-Team': request.team,
        'Accept-Encoding': 'identity',
    }
    if request.content_type:
        headers['Content-Type'] = request.content_type
    if request.idempotency_key:
        headers['Idempotency-Key'] = request.idempotency_key
    return headers


def _parse_response(response: aiohttp.ClientResponse, body: bytes) -> Attempt:
    if response.status == _SERVICE_UNAVAILABLE:
        return _parse_unavailable(response)
    content_type = response.headers.get('Content-Type', _DEFAULT_MEDIA_TYPE)
    return Answered(response.status, body, content_type)


def _parse_unavailable(response: aiohttp.ClientResponse) -> Attempt:
    if response.headers.get(_EXECUTED_HEADER) != 'no':
        return Lost(
            LossKind.UNSPECIFIED,
            'status 503 without a word on whether the call ran',
        )
    retry_after = response.headers.get('Retry-After', '')
    return Declined(
        float(retry_after) if retry_after.isdecimal() else None,
        is_leaving=response.headers.get(_REASON_HEADER) == _LEAVING,
    )


def _allow_always() -> bool:
    return True


def _classify_withheld(guard: _SendGuard) -> Attempt:
    if guard.is_sent:
        return Lost(LossKind.BROKEN, 'connection broke')
    return Withheld()


def _classify_error(guard: _SendGuard, error: Exception) -> Attempt:
    reason = f'{type(error).__name__}: {error}'
    if not guard.is_sent:
        return NotSent(reason, is_refused=_is_refusal(error))
    if isinstance(error, TimeoutError):
        return Lost(LossKind.SILENT, reason)
    return Lost(LossKind.BROKEN, reason)


def _is_refusal(error: Exception) -> bool:
    """Return whether the address refused the connection."""
    if isinstance(error, aiohttp.ClientConnectorError):
        return isinstance(error.os_error, ConnectionRefusedError)
    return isinstance(error, ConnectionRefusedError)
