"""Stand-in of a model engine that holds a range of layers."""

from __future__ import annotations

import asyncio
import secrets
import time

import msgspec
import typer
from aiohttp import web

from nutmegspoke import engine_protocol as protocol
from nutmegspoke.layers import LayerRange
from nutmegspoke.standins import faults, serving
from nutmegspoke.standins.pace import SimulatedAccelerator
from nutmegspoke.standins.passing import PassHandler
from nutmegspoke.standins.streams import StreamCaches

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode
# Empty range: an engine that holds no layers yet.
_NO_LAYERS = LayerRange(0, 0)
_MAX_BODY_BYTES = 64 * 1024 * 1024


class Engine:
    """HTTP handlers of an engine stand-in."""

    def __init__(
        self,
        caches: StreamCaches,
        accelerator: SimulatedAccelerator,
        model: str,
        version: str,
        activation_bytes: int,
        cache_bytes: int = 0,
    ) -> None:
        """Create an engine.

        :param caches: caches of its streams; they also hold the name of the
            target and its layers.
        :param accelerator: delays each step by its computing time.
        :param model: name of the model that it holds.
        :param version: version of the model.
        :param activation_bytes: size of the data of one position that is
            sent between two stages.
        :param cache_bytes: size of the KV cache of one position and layer.
        """
        self.fault_injector = faults.FaultInjector()
        self._caches = caches
        self._accelerator = accelerator
        self._model = model
        self._version = version
        self._activation_bytes = activation_bytes
        self._cache_bytes = cache_bytes
        self._in_flight = 0
        self._highest_fencing_number = 0
        self._start_id = secrets.token_hex(8)
        self._reported_load: protocol.LoadReport | None = None

    def app(self) -> web.Application:
        """Return the HTTP application of the engine's port."""
        app = web.Application(
            middlewares=[faults.fault_middleware(self.fault_injector)],
            client_max_size=_MAX_BODY_BYTES,
        )
        app.router.add_post(protocol.STEPS_PATH, self._handle_step)
        PassHandler(self._run_step, self.fault_injector).add_routes(app)
        app.router.add_post(protocol.CANCEL_PATH, self._handle_cancel)
        app.router.add_get(protocol.CACHES_PATH, self._handle_export)
        app.router.add_put(protocol.CACHES_PATH, self._handle_import)
        app.router.add_post(protocol.ORDERS_PATH, self._handle_order)
        app.router.add_get(protocol.LOAD_PATH, self._handle_load)
        app.router.add_get('/v1/streams', self._handle_streams)
        return app

    async def _handle_step(self, request: web.Request) -> web.Response:
        step = _decode(await request.read(), type=protocol.StepRequest)
        result = await self._run_step(step)
        if isinstance(result, protocol.StepRefusal):
            is_leaving = result.reason == protocol.RefusalKind.LEAVING
            return _build_refusal(result, status=503 if is_leaving else 409)
        return web.Response(
            body=_encode(result),
            content_type=protocol.MEDIA_TYPE,
        )

    async def _run_step(
        self,
        step: protocol.StepRequest,
    ) -> protocol.StepReply | protocol.StepRefusal:
        self._crash_if_poison(step)
        if self._is_leaving() and step.position == 0:
            return protocol.StepRefusal(protocol.RefusalKind.LEAVING)
        refusal = self._caches.admit(step)
        if refusal is not None:
            return refusal
        reply = self._caches.run(step)
        self._in_flight += 1
        try:
            await self._accelerator.work(
                reply.count * (step.stop_layer - step.first_layer),
                reply.count * self._activation_bytes,
                step.priority,
            )
        finally:
            self._in_flight -= 1
        return reply

    async def _handle_cancel(self, request: web.Request) -> web.Response:
        cancellation = _decode(
            await request.read(),
            type=protocol.CancelRequest,
        )
        self._caches.cancel(cancellation.stream_id, cancellation.attempt)
        return web.Response(status=204)

    async def _handle_export(self, request: web.Request) -> web.Response:
        """Return the KV cache of the stream that the query names."""
        block = self._caches.export(
            request.query['stream_id'],
            int(request.query['first_layer']),
            int(request.query['stop_layer']),
        )
        if block is None:
            return web.Response(status=404)
        # The first digest is that of the empty cache, not of a position.
        positions = sum(len(digests) - 1 for digests in block.digests)
        block.padding = bytes(positions * self._cache_bytes)
        await self._accelerator.work(0, len(block.padding))
        return web.Response(
            body=_encode(block),
            content_type=protocol.MEDIA_TYPE,
        )

    async def _handle_import(self, request: web.Request) -> web.Response:
        body = await request.read()
        await self._accelerator.work(0, len(body))
        is_imported = self._caches.import_block(
            _decode(body, type=protocol.CacheBlock)
        )
        return web.Response(status=204 if is_imported else 409)

    async def _handle_order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(
            await request.read(),
            type=protocol.LayerOrder,
        )
        ignores_fencing = self.fault_injector.peek('fencing') is not None
        if order.fencing_number < self._highest_fencing_number:
            if not ignores_fencing:
                return web.json_response({'reason': 'fencing'}, status=409)
        self._highest_fencing_number = max(
            self._highest_fencing_number,
            order.fencing_number,
        )
        self._caches.load(order.first_layer, order.stop_layer)
        self._model = order.model
        self._version = order.version
        return web.Response(status=204)

    async def _handle_load(self, request: web.Request) -> web.Response:
        # The fault ``lag`` repeats the last report.
        if (
            self._reported_load is None
            or self.fault_injector.peek('lag') is None
        ):
            self._reported_load = self._build_report()
        return web.Response(
            body=msgspec.json.encode(self._reported_load),
            content_type='application/json',
        )

    async def _handle_streams(self, request: web.Request) -> web.Response:
        return web.json_response({'streams': self._caches.stream_count()})

    def _build_report(self) -> protocol.LoadReport:
        return protocol.LoadReport(
            target=self._caches.target,
            in_flight=self._in_flight,
            queued=max(0, self._in_flight - 1),
            leaving=self._is_leaving(),
            model=self._model,
            version=self._version,
            first_layer=self._caches.first_layer,
            stop_layer=self._caches.stop_layer,
            layer_tokens_per_s=self._accelerator.layer_tokens_per_s,
            link_bytes_per_s=self._accelerator.link_bytes_per_s,
            start_id=self._start_id,
            activation_bytes=self._activation_bytes,
        )

    def _is_leaving(self) -> bool:
        return self.fault_injector.peek('leave') is not None

    def _crash_if_poison(self, step: protocol.StepRequest) -> None:
        poison = self.fault_injector.peek('crash_on')
        if poison is not None and step.prompt and poison.text in step.prompt:
            self.fault_injector.activate(faults.FaultOrder(fault='die'))


def _build_refusal(refusal: protocol.StepRefusal, status: int) -> web.Response:
    return web.Response(
        status=status,
        body=_encode(refusal),
        content_type=protocol.MEDIA_TYPE,
    )


def main(
    name: str,
    port: int,
    control_port: int,
    layers: str = '0-4',
    layer_count: int = 12,
    model: str = 'fanletter',
    version: str = '1',
    layer_tokens_per_s: float = 8_000.0,
    link_bytes_per_s: float = 0.0,
    activation_bytes: int = 16_384,
    cache_bytes: int = 4_096,
) -> None:
    """Run the engine stand-in.

    :param name: name of the target.
    :param port: port of the engine protocol.
    :param control_port: port that receives fault orders.
    :param layers: layers that it holds, as START-STOP, or ``none``.
    :param layer_count: number of layers of the whole model.
    :param model: name of the model.
    :param version: version of the model.
    :param layer_tokens_per_s: layers times tokens that run in a second.
    :param link_bytes_per_s: rate of the link; 0 for no limit.
    :param activation_bytes: size of the data of one position that is sent
        between two stages.
    :param cache_bytes: size of the KV cache of one position and layer.
    """
    held_layers = (
        _NO_LAYERS if layers == 'none' else LayerRange.from_text(layers)
    )
    if held_layers is None:
        raise typer.BadParameter('layers are START-STOP or none')
    caches = StreamCaches(
        name, held_layers.start, held_layers.stop, layer_count
    )
    accelerator = SimulatedAccelerator(
        layer_tokens_per_s, link_bytes_per_s, time.monotonic
    )
    engine = Engine(
        caches,
        accelerator,
        model,
        version,
        activation_bytes,
        cache_bytes,
    )
    ports = (
        (engine.app(), port),
        (faults.control_app(engine.fault_injector), control_port),
    )
    asyncio.run(serving.serve(ports))


if __name__ == '__main__':
    typer.run(main)
