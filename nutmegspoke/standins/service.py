"""Stand-in of a plain service that records the calls it ran in a journal."""

from __future__ import annotations

import asyncio

import msgspec
import typer
from aiohttp import web

from nutmegspoke.standins import faults, serving


class JournalEntry(msgspec.Struct):
    """A call that ran.

    :param request_id: request id that the router assigned.
    :param idempotency_key: key that the caller sent; may be empty.
    :param path: path of the call.
    :param body: body of the call.
    """

    request_id: str
    idempotency_key: str
    path: str
    body: str


class RecordService:
    """Service that runs every call it receives and records it in a journal."""

    def __init__(self, name: str) -> None:
        """Create a service with an empty journal."""
        self.fault_injector = faults.FaultInjector()
        self.journal: list[JournalEntry] = []
        self._name = name

    def app(self) -> web.Application:
        """Return the HTTP application of the service's port."""
        app = web.Application(
            middlewares=[faults.fault_middleware(self.fault_injector)],
        )
        app.router.add_get('/v1/load', self._handle_load)
        app.router.add_get('/journal', self._show_journal)
        app.router.add_route('*', '/{path:.*}', self._handle_call)
        return app

    async def _handle_load(self, request: web.Request) -> web.Response:
        report = {
            'target': self._name,
            'in_flight': 0,
            'queued': 0,
            'leaving': self.fault_injector.peek('leave') is not None,
        }
        return web.json_response(report)

    async def _show_journal(self, request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.journal),
            content_type='application/json',
        )

    async def _handle_call(self, request: web.Request) -> web.Response:
        body = await request.read()
        if self.fault_injector.peek('leave') is not None:
            return web.json_response(
                {'error': 'leaving'},
                status=503,
                headers={
                    **dict(faults.NOT_EXECUTED),
                    'Nutmegspoke-Reason': 'leaving',
                },
            )
        entry = JournalEntry(
            request_id=request.headers.get('Nutmegspoke-Request-Id', ''),
            idempotency_key=request.headers.get('Idempotency-Key', ''),
            path=request.path,
            body=body.decode('utf-8', 'replace'),
        )
        self.journal.append(entry)
        self._crash_if_poison(entry.body)
        answer = {'service': self._name, 'number': len(self.journal)}
        return web.json_response(answer)

    def _crash_if_poison(self, body: str) -> None:
        poison = self.fault_injector.peek('crash_on')
        if poison is not None and poison.text in body:
            self.fault_injector.activate(faults.FaultOrder(fault='die'))


def main(name: str, port: int, control_port: int) -> None:
    """Run the service stand-in.

    :param name: name of the target.
    :param port: port for calls.
    :param control_port: port that receives fault orders.
    """
    service = RecordService(name)
    ports = (
        (service.app(), port),
        (faults.control_app(service.fault_injector), control_port),
    )
    asyncio.run(serving.serve(ports))


if __name__ == '__main__':
    typer.run(main)
