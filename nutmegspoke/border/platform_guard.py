"""Guards the platform's services with circuit breakers and call limits."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING, TypeVar

from nutmegspoke import metadata_store
from nutmegspoke.border.platform_client import PlatformClient
from nutmegspoke.retries.breaker import BreakerSettings, CircuitBreaker

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from nutmegspoke.border.clock import Clock

logger = logging.getLogger(__name__)
_AnswerT = TypeVar('_AnswerT')
_FAILURES = (metadata_store.Unavailable, metadata_store.InDoubt)


class Guard:
    """Circuit breaker for calls to one service of the platform.

    :param name: name of the service in the log.
    :param clock: the process's clock.
    :param seed: seed of the breaker's random delays.
    """

    def __init__(self, name: str, clock: Clock, seed: str) -> None:
        """Create a guard whose breaker is closed."""
        self._name = name
        self._clock = clock
        self._breaker = CircuitBreaker(
            BreakerSettings(),
            random.Random(f'{name}:{seed}'),
        )

    async def call(
        self,
        start_call: Callable[[], Awaitable[_AnswerT]],
    ) -> _AnswerT | metadata_store.Unavailable:
        """Make a call unless the breaker refuses it.

        :param start_call: starts the call.
        :returns: the answer, or ``Unavailable`` if the call was refused.
        """
        refusal = self._breaker.refusal_reason(self._clock.now_s())
        if refusal:
            return metadata_store.Unavailable(f'{self._name}: {refusal}')
        old_state = self._breaker.state
        try:
            answer = await start_call()
        except BaseException:
            self._breaker.abandoned(self._clock.now_s())
            raise
        is_success = not isinstance(answer, _FAILURES)
        new_state = self._breaker.record_result(
            self._clock.now_s(),
            is_success=is_success,
        )
        if new_state is not old_state:
            logger.warning(
                'platform: circuit changed service=%s state=%s',
                self._name,
                new_state.value,
            )
        return answer


class GuardedTables:
    """Table service with separate guards for reads and for writes."""

    def __init__(
        self,
        tables: metadata_store.TableService,
        reads: Guard,
        writes: Guard,
    ) -> None:
        """Guard a table service."""
        self._tables = tables
        self._reads = reads
        self._writes = writes

    async def read(
        self,
        key: str,
    ) -> metadata_store.StoredRow | metadata_store.Unavailable:
        """Return a row; version 0 if it is absent."""
        return await self._reads.call(lambda: self._tables.read(key))

    async def scan(
        self,
        prefix: str,
    ) -> tuple[metadata_store.StoredRow, ...] | metadata_store.Unavailable:
        """Return the rows whose keys begin with the prefix, in order."""
        return await self._reads.call(lambda: self._tables.scan(prefix))

    async def commit(
        self,
        transaction: metadata_store.Transaction,
    ) -> metadata_store.CommitResult:
        """Commit a transaction."""
        return await self._writes.call(
            lambda: self._tables.commit(transaction),
        )


class GuardedObjects:
    """Object store whose calls pass a guard."""

    def __init__(
        self, objects: metadata_store.ObjectStore, guard: Guard
    ) -> None:
        """Guard an object store."""
        self._objects = objects
        self._guard = guard

    async def put(
        self, name: str, body: bytes
    ) -> metadata_store.Unavailable | None:
        """Store an object; return ``None`` on success."""
        return await self._guard.call(lambda: self._objects.put(name, body))

    async def get(self, name: str) -> bytes | metadata_store.Unavailable | None:
        """Return an object; ``None`` if it does not exist."""
        return await self._guard.call(lambda: self._objects.get(name))

    async def names(
        self,
        prefix: str,
    ) -> tuple[str, ...] | metadata_store.Unavailable:
        """Return the names of objects that begin with the prefix, in order."""
        return await self._guard.call(lambda: self._objects.names(prefix))


class GuardedHosts:
    """Host list whose calls pass a guard."""

    def __init__(self, hosts: metadata_store.HostList, guard: Guard) -> None:
        """Guard a host list."""
        self._hosts = hosts
        self._guard = guard

    async def entries(
        self,
    ) -> tuple[metadata_store.HostEntry, ...] | metadata_store.Unavailable:
        """Return all entries of the host list."""
        return await self._guard.call(self._hosts.entries)


class GuardedWeights:
    """Weight store whose calls pass a guard."""

    def __init__(
        self, weights: metadata_store.WeightStore, guard: Guard
    ) -> None:
        """Guard a weight store."""
        self._weights = weights
        self._guard = guard

    async def reserve(
        self,
        model: str,
        layers: str,
    ) -> float | metadata_store.Unavailable:
        """Reserve a load of layers; return the seconds until it may start."""
        return await self._guard.call(
            lambda: self._weights.reserve(model, layers),
        )


def guard_platform(
    client: PlatformClient, clock: Clock, seed: str
) -> PlatformClient:
    """Return the platform's services, each with guards of its own.

    :param client: the services.
    :param clock: the process's clock.
    :param seed: differs between daemons, so that they don't probe a failed
        service at the same time.
    """
    return PlatformClient(
        GuardedTables(
            client.tables,
            Guard('table_reads', clock, seed),
            Guard('table_writes', clock, seed),
        ),
        GuardedObjects(client.objects, Guard('objects', clock, seed)),
        GuardedHosts(client.hosts, Guard('hosts', clock, seed)),
        GuardedWeights(client.weights, Guard('weights', clock, seed)),
    )
