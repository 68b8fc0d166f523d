"""Sockets between daemons: one listener, and a link to each known peer."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

import pynng

from nutmegspoke.border.peer_wire import MAX_MESSAGE_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)

_REQUEST_TIMEOUT_S = 0.7
_MAX_LINK_AGE_S = 60.0
_MS_PER_S = 1_000
_NO_RESEND_MS = -1
_THREAD_COUNT_PARAMETERS = (
    pynng.lib.NNG_INIT_NUM_TASK_THREADS,
    pynng.lib.NNG_INIT_MAX_TASK_THREADS,
    pynng.lib.NNG_INIT_NUM_EXPIRE_THREADS,
    pynng.lib.NNG_INIT_MAX_EXPIRE_THREADS,
    pynng.lib.NNG_INIT_NUM_POLLER_THREADS,
    pynng.lib.NNG_INIT_MAX_POLLER_THREADS,
    pynng.lib.NNG_INIT_NUM_RESOLVER_THREADS,
)


def limit_threads() -> None:
    """Limit the library to one thread of each kind.

    This must be called before the first socket; by default the library starts
    several threads per core.
    """
    for parameter in _THREAD_COUNT_PARAMETERS:
        pynng.lib.nng_init_set_parameter(parameter, 1)


class PeerListener:
    """Answers the requests of peers.

    :param address: ``IP:PORT`` to listen on.
    :param answer: returns the answer to a request, or ``None`` to drop it.
    """

    def __init__(
        self,
        address: str,
        answer: Callable[[bytes], bytes | None],
    ) -> None:
        """Prepare the listener; :meth:`start` opens the socket."""
        self._address = address
        self._answer = answer
        self._socket: pynng.Rep0 | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Open the socket and start to answer requests."""
        self._socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._socket.listen(f'tcp://{self._address}')
        self._task = asyncio.create_task(self._serve(self._socket))

    async def stop(self) -> None:
        """Close the socket and wait for the task.

        The library may lose a cancellation that coincides with the end of an
        operation, so the task is ended by closing the socket.
        """
        if self._task is None or self._socket is None:
            return
        self._socket.close()
        await self._task

    async def _serve(self, socket: pynng.Rep0) -> None:
        with contextlib.suppress(pynng.Closed):
            while True:
                await self._serve_one(socket)

    async def _serve_one(self, socket: pynng.Rep0) -> None:
        answer = self._answer(await socket.arecv())
        if answer is None:
            return
        try:
            await socket.asend(answer)
        except pynng.Closed:
            raise
        except pynng.NNGException as error:
            logger.info('peers: answer not sent error=%s', error)


class PeerLink:
    """A connection to one peer, reopened when it is unresponsive or old.

    :param address: ``IP:PORT`` of the peer.
    """

    def __init__(self, address: str) -> None:
        """Prepare a link; the first request opens the connection."""
        self._address = address
        self._socket: pynng.Req0 | None = None
        self._opened_s = 0.0
        self._lock = asyncio.Lock()

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in flight."""
        return self._lock.locked()

    async def request(self, message: bytes, now_s: float) -> bytes | None:
        """Send a request and return the answer.

        Without an answer on an open connection, the request is sent again on a
        new one: a device on the path may have dropped the state of the old
        connection, or the peer may have restarted.

        :returns: ``None`` if a new connection gave no answer either.
        """
        async with self._lock:
            self._close_if_old(now_s)
            if self._socket is not None:
                answer = await self._exchange(self._socket, message)
                if answer is not None:
                    return answer
                self.close()
            self._open(now_s)
            return await self._exchange(self._socket, message)

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()
        self._socket = None

    def _close_if_old(self, now_s: float) -> None:
        if now_s - self._opened_s > _MAX_LINK_AGE_S:
            self.close()

    def _open(self, now_s: float) -> None:
        timeout_ms = int(_REQUEST_TIMEOUT_S * _MS_PER_S)
        self._socket = pynng.Req0(
            recv_timeout=timeout_ms,
            send_timeout=timeout_ms,
            resend_time=_NO_RESEND_MS,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self._socket.dial(f'tcp://{self._address}', block=False)
        self._opened_s = now_s

    async def _exchange(
        self, socket: pynng.Req0, message: bytes
    ) -> bytes | None:
        try:
            await socket.asend(message)
            return await socket.arecv()
        except pynng.NNGException as error:
            logger.info(
                'peers: no answer peer=%s error=%s', self._address, error
            )
            return None
