"""Faults that a stand-in is told to show."""

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
    """An order of the control port.

    :param fault: ``die``, ``stall``, ``silence``, ``lose_answer``, ``late``,
        ``refuse``, ``down``, ``lag``, ``fencing``, ``leave``, ``crash_on`` or
        ``clear``.
    :param count: how many requests show it; 0 for all until cleared.
    :param delay_s: how long ``stall`` and ``late`` wait.
    :param text: fault-specific text.
    :param path: the requests whose path begins so; empty for all.
    """

    fault: str
    count: int = 0
    delay_s: float = 0.0
    text: str = ''
    path: str = ''


@dataclasses.dataclass(slots=True)
class _ActiveFault:
    order: FaultOrder
    left: int


class FaultInjector:
    """Keeps the faults in force and applies them to requests."""

    def __init__(self) -> None:
        """Create a board without faults."""
        self._active: dict[str, _ActiveFault] = {}
        self._silenced: set[int] = set()
        self._open: dict[int, Any] = {}

    def activate(self, order: FaultOrder) -> None:
        """Take an order into force."""
        logger.info('standin: fault ordered fault=%s', order.fault)
        if order.fault == 'die':
            os._exit(_DIE_EXIT_CODE)
        if order.fault == 'clear':
            self._active.clear()
            return
        if order.fault == 'silence':
            self._silenced = set(self._open)
            return
        self._active[order.fault] = _ActiveFault(order, order.count)

    def peek(self, fault: str) -> FaultOrder | None:
        """Return the order in force for a fault, if any."""
        active = self._active.get(fault)
        return active.order if active else None

    def take(self, fault: str, path: str = '') -> FaultOrder | None:
        """Use a fault up once, if it is in force for this path."""
        active = self._active.get(fault)
        if active is None or not path.startswith(active.order.path):
            return None
        if active.order.count:
            active.left -= 1
            if active.left <= 0:
                self._active.pop(fault)
        return active.order

    def is_silenced(self, request: web.Request) -> bool:
        """Tell whether the request's connection has gone silent."""
        return id(request.transport) in self._silenced

    def remember(self, request: web.Request) -> None:
        """Note the request's connection as open."""
        self._open[id(request.transport)] = request.transport

    async def hold_if_silenced(self, request: web.Request) -> None:
        """Wait for ever if the request's connection has gone silent."""
        if self.is_silenced(request):
            await asyncio.Event().wait()

    def forget_closed(self) -> None:
        """Drop connections that are closed."""
        closed = [
            ident
            for ident, transport in self._open.items()
            if transport is None or transport.is_closing()
        ]
        for ident in closed:
            self._open.pop(ident)
            self._silenced.discard(ident)


def cut(request: web.Request) -> None:
    """Reset the request's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()


def fault_middleware(fault_injector: FaultInjector) -> Any:
    """Build the middleware that shows the common faults."""

    @web.middleware
    async def middleware(
        request: web.Request,
        handler: _Handler,
    ) -> web.StreamResponse:
        fault_injector.forget_closed()
        fault_injector.remember(request)
        await fault_injector.hold_if_silenced(request)
        refusal = await _before(fault_injector, request)
        if refusal is not None:
            return refusal
        response = await handler(request)
        await _after(fault_injector, request)
        return response

    return middleware


async def _before(
    fault_injector: FaultInjector,
    request: web.Request,
) -> web.Response | None:
    stall = fault_injector.take('stall', request.path)
    if stall is not None:
        await asyncio.sleep(stall.delay_s)
    if fault_injector.take('down', request.path):
        cut(request)
        return web.Response(status=503)
    if fault_injector.take('refuse', request.path):
        return web.Response(status=503, headers=dict(NOT_EXECUTED))
    return None


async def _after(fault_injector: FaultInjector, request: web.Request) -> None:
    late = fault_injector.take('late', request.path)
    if late is not None:
        await asyncio.sleep(late.delay_s)
    if fault_injector.take('lose_answer', request.path):
        cut(request)
    await fault_injector.hold_if_silenced(request)


def control_app(
    fault_injector: FaultInjector,
    on_order: Callable[[FaultOrder], Awaitable[None]] | None = None,
) -> web.Application:
    """Build the application of the control port."""
    app = web.Application()

    async def faults(request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=FaultOrder)
        fault_injector.activate(order)
        if on_order is not None:
            await on_order(order)
        return web.Response(status=204)

    app.router.add_post('/faults', faults)
    return app
