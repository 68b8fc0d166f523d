"""Faults that tests and benchmarks inject into a stand-in."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import os
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

logger = logging.getLogger(__name__)

_Handler = Any
_DIE_EXIT_CODE = 70
NOT_EXECUTED = (('Nutmegspoke-Executed', 'no'), ('Retry-After', '1'))


class FaultOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Order to a control port to inject or clear a fault.

    The faults are:

    - ``die``: the process exits at once.
    - ``stall``, ``late``: requests wait before or after they are handled.
    - ``silence``: the connections that are open now get no more answers.
    - ``down``, ``lose_answer``: the connection is reset before or after the
      request is handled.
    - ``refuse``: requests are refused as not run.
    - ``lag``: the load report or host list stays as it was last returned.
    - ``fencing``: an engine accepts orders with an old fencing number.
    - ``leave``: a target reports that it is leaving and refuses new work.
    - ``crash_on``: a request that contains a text crashes the target.
    - ``clear``: ends the faults other than ``silence``.

    :param fault: one of these names.
    :param count: number of requests that are affected; 0 for all until
        ``clear``.
    :param delay_s: delay of ``stall`` and ``late``, in seconds.
    :param text: text whose meaning depends on the fault; for ``crash_on``,
        the text that crashes the target.
    :param path: path prefix of affected requests; empty for all.
    """

    fault: str
    count: int = 0
    delay_s: float = 0.0
    text: str = ''
    path: str = ''


@dataclasses.dataclass(slots=True)
class _ActiveFault:
    order: FaultOrder
    remaining_count: int


class FaultInjector:
    """Active faults of a stand-in and its open connections."""

    def __init__(self) -> None:
        """Start without faults."""
        self._active: dict[str, _ActiveFault] = {}
        self._silenced_ids: set[int] = set()
        self._open_transports: dict[int, Any] = {}

    def activate(self, order: FaultOrder) -> None:
        """Carry out an order: inject a fault or clear faults.

        ``die`` ends the process at once; ``silence`` affects the connections
        that are open now.
        """
        logger.info('standin: fault ordered fault=%s', order.fault)
        if order.fault == 'die':
            os._exit(_DIE_EXIT_CODE)
        if order.fault == 'clear':
            self._active.clear()
            return
        if order.fault == 'silence':
            self._silenced_ids = set(self._open_transports)
            return
        self._active[order.fault] = _ActiveFault(order, order.count)

    def peek(self, fault: str) -> FaultOrder | None:
        """Return the order of an active fault, if any, without counting it."""
        active = self._active.get(fault)
        return active.order if active else None

    def consume(self, fault: str, path: str = '') -> FaultOrder | None:
        """Return the order of a fault that is active for a path, if any.

        A fault with a count is removed after that many uses.
        """
        active = self._active.get(fault)
        if active is None or not path.startswith(active.order.path):
            return None
        if active.order.count:
            active.remaining_count -= 1
            if active.remaining_count <= 0:
                self._active.pop(fault)
        return active.order

    def is_silenced(self, request: web.Request) -> bool:
        """Return whether the request's connection is silenced."""
        return id(request.transport) in self._silenced_ids

    def track_connection(self, request: web.Request) -> None:
        """Record the request's connection as open."""
        self._open_transports[id(request.transport)] = request.transport

    async def wait_if_silenced(self, request: web.Request) -> None:
        """Wait forever if the request's connection is silenced."""
        if self.is_silenced(request):
            await asyncio.Event().wait()

    def drop_closed(self) -> None:
        """Remove the records of closed connections."""
        closed = [
            transport_id
            for transport_id, transport in self._open_transports.items()
            if transport is None or transport.is_closing()
        ]
        for transport_id in closed:
            self._open_transports.pop(transport_id)
            self._silenced_ids.discard(transport_id)


def reset_connection(request: web.Request) -> None:
    """Reset the request's connection without a response."""
    if request.transport is not None:
        request.transport.abort()


def fault_middleware(fault_injector: FaultInjector) -> Any:
    """Return the middleware for the faults that all stand-ins share."""

    @web.middleware
    async def middleware(
        request: web.Request,
        handler: _Handler,
    ) -> web.StreamResponse:
        fault_injector.drop_closed()
        fault_injector.track_connection(request)
        await fault_injector.wait_if_silenced(request)
        refusal = await _apply_before_handler(fault_injector, request)
        if refusal is not None:
            return refusal
        response = await handler(request)
        await _apply_after_handler(fault_injector, request)
        return response

    return middleware


async def _apply_before_handler(
    fault_injector: FaultInjector,
    request: web.Request,
) -> web.Response | None:
    stall = fault_injector.consume('stall', request.path)
    if stall is not None:
        await asyncio.sleep(stall.delay_s)
    if fault_injector.consume('down', request.path):
        reset_connection(request)
        return web.Response(status=503)
    if fault_injector.consume('refuse', request.path):
        return web.Response(status=503, headers=dict(NOT_EXECUTED))
    return None


async def _apply_after_handler(
    fault_injector: FaultInjector, request: web.Request
) -> None:
    late = fault_injector.consume('late', request.path)
    if late is not None:
        await asyncio.sleep(late.delay_s)
    if fault_injector.consume('lose_answer', request.path):
        reset_connection(request)
    await fault_injector.wait_if_silenced(request)


def control_app(
    fault_injector: FaultInjector,
    on_order: Callable[[FaultOrder], Awaitable[None]] | None = None,
) -> web.Application:
    """Return the HTTP application of the control port.

    :param fault_injector: receives the orders.
    :param on_order: called after each order.
    """
    app = web.Application()

    async def post_fault(request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=FaultOrder)
        fault_injector.activate(order)
        if on_order is not None:
            await on_order(order)
        return web.Response(status=204)

    app.router.add_post('/faults', post_fault)
    return app
