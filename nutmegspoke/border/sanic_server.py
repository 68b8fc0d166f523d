"""Runs a Sanic application in the daemon's own event loop."""

from __future__ import annotations

import logging
import socket
from typing import TYPE_CHECKING, Any

from sanic import Sanic

if TYPE_CHECKING:
    from sanic.server.async_server import AsyncioServer

logger = logging.getLogger(__name__)
_BACKLOG = 1_024


def new_app(name: str, **config: float) -> Sanic:
    """Return an application without a banner or logging configuration.

    :param name: name of the application, unique in the process.
    :param config: additional Sanic settings by name.
    """
    Sanic._app_registry.pop(name, None)  # noqa: SLF001, WPS437 -- tests reuse names
    app = Sanic(name, configure_logging=False, dumps=str)
    app.config.MOTD = False
    app.config.ACCESS_LOG = False
    app.config.AUTO_EXTEND = False
    app.config.TOUCHUP = False
    app.config.update(config)
    return app


class SanicServer:
    """HTTP server for one application.

    :param app: the application.
    :param host: IP address to listen on.
    :param port: port to listen on.
    """

    def __init__(self, app: Sanic, host: str, port: int) -> None:
        """Prepare the server; :meth:`start` opens the socket."""
        self._app = app
        self._host = host
        self._port = port
        self._server: AsyncioServer | None = None

    async def start(self) -> None:
        """Open the socket and start to accept connections."""
        server: Any = await self._app.create_server(
            sock=self._bind(),
            return_asyncio_server=True,
            asyncio_server_kwargs={'start_serving': False},
        )
        await server.startup()
        await server.before_start()
        await server.start_serving()
        await server.after_start()
        self._server = server

    def _bind(self) -> socket.socket:
        """Bind the socket; the loop would start four threads to resolve the host."""
        is_v6 = ':' in self._host
        listener = socket.create_server(
            (self._host, self._port),
            family=socket.AF_INET6 if is_v6 else socket.AF_INET,
            backlog=_BACKLOG,
        )
        listener.setblocking(False)
        return listener

    async def stop(self) -> None:
        """Close the listener and all idle connections."""
        if self._server is None:
            return
        self._server.close()
        for connection in tuple(self._server.connections):
            connection.close_if_idle()
