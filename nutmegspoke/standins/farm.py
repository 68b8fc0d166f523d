"""Stand-in of many idle targets in one process; serves load reports only."""

from __future__ import annotations

import asyncio

import msgspec
import typer
from aiohttp import web

from nutmegspoke.engine_protocol import LOAD_PATH, LoadReport
from nutmegspoke.standins import serving


def _build_report(number: int, layers: int) -> LoadReport:
    """Return the load report of one idle engine.

    Even numbers hold the first half of the layers, odd ones the second.
    """
    half = layers // 2
    is_first = number % 2 == 0
    return LoadReport(
        target=f'farm-{number}',
        model='farm',
        version='1',
        first_layer=0 if is_first else half,
        stop_layer=half if is_first else layers,
        layer_tokens_per_s=1000.0,
    )


def _build_app(number: int, layers: int) -> web.Application:
    body = msgspec.json.encode(_build_report(number, layers))

    async def load(request: web.Request) -> web.Response:
        return web.Response(body=body, content_type='application/json')

    app = web.Application()
    app.router.add_get(LOAD_PATH, load)
    return app


def main(ports: str, layers: int = 8) -> None:
    """Run idle targets.

    :param ports: comma-separated ports, one for each target.
    :param layers: number of layers of the model.
    """
    numbers = [int(port) for port in ports.split(',')]
    apps = tuple(
        (_build_app(number, layers), port)
        for number, port in enumerate(numbers)
    )
    asyncio.run(serving.serve(apps))


if __name__ == '__main__':
    typer.run(main)
