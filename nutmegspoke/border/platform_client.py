"""Adapters of the platform's services over HTTP."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING, Any, Self

import aiohttp
import msgspec

from nutmegspoke import metadata_store

if TYPE_CHECKING:
    from nutmegspoke.border.settings import PlatformSection

_decode = msgspec.msgpack.decode
_encode = msgspec.msgpack.encode
_HTTP_OK = 200
_IDEMPOTENT_METHODS = frozenset(('GET', 'PUT'))
_HTTP_NOT_FOUND = 404
_HTTP_STORED = frozenset((200, 201, 204))
_CONNECT_ERRORS = (aiohttp.ClientConnectorError,)
_CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class _WireRows(msgspec.Struct):
    rows: tuple[metadata_store.StoredRow, ...]
    committed: bool = True


@dataclasses.dataclass(slots=True)
class Connections:
    """Kept connections, and new ones for when the kept ones go silent.

    A silent connection tells that others of its time may be silent too, so
    that only new connections are used until all kept ones are closed.

    :param kept: session that keeps its connections open.
    :param fresh: session that opens a connection for each call.
    :param keepalive_s: how long the first one keeps an idle connection.
    """

    kept: aiohttp.ClientSession
    fresh: aiohttp.ClientSession
    keepalive_s: float = 30.0
    _fresh_until_s: float = 0.0

    def session(self, now_s: float) -> aiohttp.ClientSession:
        """Return the session for the next call."""
        return self.fresh if now_s < self._fresh_until_s else self.kept

    def went_silent(
        self,
        session: aiohttp.ClientSession,
        now_s: float,
    ) -> bool:
        """Note that a call over a session had no answer in its time.

        :returns: whether a new connection may do better.
        """
        if session is self.fresh:
            return False
        self._fresh_until_s = now_s + self.keepalive_s
        return True


class _Endpoint:
    """One service of the platform."""

    def __init__(
        self,
        url: str,
        connections: Connections,
        timeout_s: float,
    ) -> None:
        self._url = url.rstrip('/')
        self._connections = connections
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        **query: str,
    ) -> tuple[int, bytes]:
        """Return status and body; errors of the library pass through.

        An idempotent call over a silent connection is sent once more.
        """
        loop = asyncio.get_running_loop()
        session = self._connections.session(loop.time())
        try:
            return await self._send(session, method, path, body, query)
        except TimeoutError:
            may_retry = self._connections.went_silent(session, loop.time())
            if not may_retry or method not in _IDEMPOTENT_METHODS:
                raise
        fresh = self._connections.fresh
        return await self._send(fresh, method, path, body, query)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        body: bytes | None,
        query: dict[str, str],
    ) -> tuple[int, bytes]:
        async with session.request(
            method,
            f'{self._url}{path}',
            data=body,
            params=query,
            timeout=self._timeout,
        ) as response:
            return response.status, await response.read()

    async def fetch(
        self,
        method: str,
        path: str,
        **query: str,
    ) -> bytes | metadata_store.Unavailable:
        """Return the body of a 200 answer."""
        try:
            status, body = await self.request(method, path, **query)
        except _CALL_ERRORS as error:
            return metadata_store.Unavailable(_reason(error))
        if status != _HTTP_OK:
            return metadata_store.Unavailable(f'status {status}')
        return body


class HttpTableService:
    """The table service."""

    def __init__(self, endpoint: _Endpoint) -> None:
        """Use an endpoint."""
        self._endpoint = endpoint

    async def read(
        self,
        key: str,
    ) -> metadata_store.StoredRow | metadata_store.Unavailable:
        """Return a row; version 0 if it is absent."""
        body = await self._endpoint.fetch('GET', '/tables/row', key=key)
        return _decoded(body, metadata_store.StoredRow)

    async def scan(
        self,
        prefix: str,
    ) -> tuple[metadata_store.StoredRow, ...] | metadata_store.Unavailable:
        """Return the rows whose keys begin with the prefix, in order."""
        body = await self._endpoint.fetch('GET', '/tables/rows', prefix=prefix)
        answer = _decoded(body, _WireRows)
        if isinstance(answer, metadata_store.Unavailable):
            return answer
        return answer.rows

    async def commit(
        self,
        transaction: metadata_store.Transaction,
    ) -> metadata_store.CommitResult:
        """Carry out a transaction.

        A failure before the connection stood is ``Unavailable``; any later
        one is ``InDoubt``.
        """
        try:
            status, body = await self._endpoint.request(
                'POST',
                '/tables/commit',
                _encode(transaction),
            )
        except _CONNECT_ERRORS as error:
            return metadata_store.Unavailable(_reason(error))
        except _CALL_ERRORS as error:
            return metadata_store.InDoubt(_reason(error))
        if status != _HTTP_OK:
            return metadata_store.InDoubt(f'status {status}')
        return _commit_result(body)


class HttpObjectStore:
    """The object store."""

    def __init__(self, endpoint: _Endpoint) -> None:
        """Use an endpoint."""
        self._endpoint = endpoint

    async def put(
        self, name: str, body: bytes
    ) -> metadata_store.Unavailable | None:
        """Store an object; ``None`` if it is kept."""
        try:
            status, _ = await self._endpoint.request(
                'PUT',
                f'/objects/{name}',
                body,
            )
        except _CALL_ERRORS as error:
            return metadata_store.Unavailable(_reason(error))
        if status not in _HTTP_STORED:
            return metadata_store.Unavailable(f'status {status}')
        return None

    async def get(self, name: str) -> bytes | metadata_store.Unavailable | None:
        """Return an object; ``None`` if there is none."""
        try:
            status, body = await self._endpoint.request(
                'GET',
                f'/objects/{name}',
            )
        except _CALL_ERRORS as error:
            return metadata_store.Unavailable(_reason(error))
        if status == _HTTP_NOT_FOUND:
            return None
        if status != _HTTP_OK:
            return metadata_store.Unavailable(f'status {status}')
        return body

    async def names(
        self,
        prefix: str,
    ) -> tuple[str, ...] | metadata_store.Unavailable:
        """Return the names that begin with the prefix, in order."""
        body = await self._endpoint.fetch('GET', '/objects', prefix=prefix)
        return _decoded(body, tuple[str, ...])


class HttpHostList:
    """The host list."""

    def __init__(self, endpoint: _Endpoint) -> None:
        """Use an endpoint."""
        self._endpoint = endpoint

    async def entries(
        self,
    ) -> tuple[metadata_store.HostEntry, ...] | metadata_store.Unavailable:
        """Return all entries."""
        body = await self._endpoint.fetch('GET', '/hosts')
        return _decoded(body, tuple[metadata_store.HostEntry, ...])


class _Reservation(msgspec.Struct):
    wait_s: float


class HttpWeightStore:
    """The weight store."""

    def __init__(self, endpoint: _Endpoint) -> None:
        """Use an endpoint."""
        self._endpoint = endpoint

    async def reserve(
        self,
        model: str,
        layers: str,
    ) -> float | metadata_store.Unavailable:
        """Ask to load layers; the seconds to wait before it may start."""
        body = await self._endpoint.fetch(
            'POST',
            '/weights/reserve',
            model=model,
            layers=layers,
        )
        if isinstance(body, metadata_store.Unavailable):
            return body
        return msgspec.json.decode(body, type=_Reservation).wait_s


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformClient:
    """The four services of the platform.

    :param tables: the table service.
    :param objects: the object store.
    :param hosts: the host list.
    :param weights: the weight store.
    """

    tables: metadata_store.TableService
    objects: metadata_store.ObjectStore
    hosts: metadata_store.HostList
    weights: metadata_store.WeightStore

    @classmethod
    def from_settings(
        cls,
        settings: PlatformSection,
        connections: Connections,
    ) -> Self:
        """Build the adapters that the settings name."""
        wait_s = settings.timeout_s

        def endpoint(url: object) -> _Endpoint:
            return _Endpoint(str(url), connections, wait_s)

        return cls(
            HttpTableService(endpoint(settings.table_service_url)),
            HttpObjectStore(endpoint(settings.object_store_url)),
            HttpHostList(endpoint(settings.host_list_url)),
            HttpWeightStore(endpoint(settings.weight_store_url)),
        )

    @classmethod
    def from_url(
        cls,
        url: str,
        connections: Connections,
        timeout_s: float = 2.0,
    ) -> Self:
        """Build adapters for four services behind one URL."""
        endpoint = _Endpoint(url, connections, timeout_s)
        return cls(
            HttpTableService(endpoint),
            HttpObjectStore(endpoint),
            HttpHostList(endpoint),
            HttpWeightStore(endpoint),
        )


def _commit_result(body: bytes) -> metadata_store.CommitResult:
    answer = _decoded(body, _WireRows)
    if isinstance(answer, metadata_store.Unavailable):
        return metadata_store.InDoubt(answer.reason)
    if answer.committed:
        return metadata_store.Committed(answer.rows)
    return metadata_store.Conflict(answer.rows)


def _decoded(body: bytes | metadata_store.Unavailable, kind: Any) -> Any:
    if isinstance(body, metadata_store.Unavailable):
        return body
    try:
        return _decode(body, type=kind)
    except msgspec.MsgspecError as error:
        return metadata_store.Unavailable(_reason(error))


def _reason(error: BaseException) -> str:
    return f'{type(error).__name__}: {error}'
