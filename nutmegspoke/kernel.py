"""Registry of the daemon's services, which it starts and stops in order."""

from __future__ import annotations

import logging
from typing import Protocol, TypeVar

from nutmegspoke.errors import ServiceNameError

logger = logging.getLogger(__name__)

_ServiceT = TypeVar('_ServiceT')


class Service(Protocol):
    """A part of the daemon that is started and stopped."""

    async def start(self) -> None:
        """Start the service; services registered later may depend on it."""

    async def stop(self) -> None:
        """Stop the service; services are stopped in reverse start order."""


class Kernel:
    """Registry of services by name."""

    def __init__(self) -> None:
        """Create a kernel without services."""
        self._services: dict[str, Service] = {}
        self._started: list[str] = []

    def register(self, name: str, service: Service) -> None:
        """Add a service; call this before :meth:`start`.

        :raises ServiceNameError: if the name is already registered.
        """
        if name in self._services:
            raise ServiceNameError(f'service {name!r} is registered twice')
        self._services[name] = service

    def find(self, name: str, kind: type[_ServiceT]) -> _ServiceT:
        """Return the service with this name.

        :param name: name under which the service was registered.
        :param kind: expected class of the service.
        :raises ServiceNameError: if no such service of that class exists.
        """
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise ServiceNameError(f'no service {name!r} of {kind.__name__}')
        return service

    async def start(self) -> None:
        """Start all services in the order of their registration."""
        for name, service in self._services.items():
            await service.start()
            self._started.append(name)
            logger.debug('kernel: service started name=%s', name)

    async def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self._started:
            name = self._started.pop()
            await self._services[name].stop()
            logger.debug('kernel: service stopped name=%s', name)
