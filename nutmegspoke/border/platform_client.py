"""HTTP clients of the platform's services."""

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
    """Chooses between pooled and new connections.

    If a call over a pooled connection times out, the other pooled connections
    may be unresponsive as well. Only new connections are then used until all
    idle pooled ones have been closed.

    :param pooled: session that keeps its connections open.
    :param fresh: session that opens a connection for each call.
    :param keepalive_s: seconds after which the pool closes an idle connection.
    """

    pooled: aiohttp.ClientSession
    fresh: aiohttp.ClientSession
    keepalive_s: float = 30.0
    _fresh_until_s: float = 0.0

    def session(self, now_s: float) -> aiohttp.ClientSession:
        """Return the session for the next call."""
        return self.fresh if now_s < self._fresh_until_s else self.pooled

    def record_timeout(
        self,
        session: aiohttp.ClientSession,
        now_s: float,
    ) -> bool:
        """Record that a call over a session timed out.

        :returns: whether a retry over a new connection may succeed.
        """
        if session is self.fresh:
            return False
        self._fresh_until_s = now_s + self.keepalive_s
        return True


class _Endpoint:
    """HTTP endpoint of one service of the platform."""

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
        """Return the status and body of the answer.

        An idempotent call that times out on a pooled connection is retried
        once on a new one. Exceptions of aiohttp are passed on.
        """
        loop = asyncio.get_running_loop()
        session = self._connections.session(loop.time())
        try:
            return await self._send(session, method, path, body, query)
        except TimeoutError:
            may_retry = self._connections.record_timeout(session, loop.time())
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
        """Return the body of an answer with status 200."""
        try:
            status, body = await self.request(method, path, **query)
        except _CALL_ERRORS as error:
            return metadata_store.Unavailable(_format_error(error))
        if status != _HTTP_OK:
            return metadata_store.Unavailable(f'status {status}')
        return body


class HttpTableService:
    """Client of the table service."""

    def __init__(self, endpoint: _Endpoint) -> None:
        """Create a client of an endpoint."""
        self._endpoint = endpoint

    async def read(
        self,
        key: str,
    ) -> metadata_store.StoredRow | metadata_store.Unavailable:
        """Return a row; version 0 if it is absent."""
        body = await self._endpoint.fetch('GET', '/tables/row', key=key)
        return _decode_answer(body, metadata_store.StoredRow)

    async def scan(
        self,
        prefix: str,
    ) -> tuple[metadata_store.StoredRow, ...] | metadata_store.Unavailable:
        """Return the rows whose keys begin with the prefix, in order."""
        body = await self._endpoint.fetch('GET', '/tables/rows', prefix=prefix)
        answer = _decode_answer(body, _WireRows)
        if isinstance(answer, metadata_store.Unavailable):
            return answer
        return answer.rows

    async def commit(
        self,
        transaction: metadata_store.Transaction,
    ) -> metadata_store.CommitResult:
        """Commit a transaction.

        A failure to connect returns ``Unavailable``; any later failure
        returns ``InDoubt``, as the transaction may have been committed.
        """
        try:
            status, body = await self._endpoint.request(
                'POST',
                '/tables/commit',
                _encode(transaction),
            )
        except _CONNECT_ERRORS as error:
            return metadata_store.Unavailable(_format_error(error))
        except _CALL_ERRORS as error:
            return metadata_store.InDoubt(_format_error(error))
        if status != _HTTP_OK:
            return metadata_store.InDoubt(f'status {status}')
        return _decode_commit_result(body)


class HttpObjectStore:
    """Client of the object store."""

    def __init__(self, endpoint: _Endpoint) -> None:
        """Create a client of an endpoint."""
        self._endpoint = endpoint

    async def put(
        self, name: str, body: bytes
    ) -> metadata_store.Unavailable | None:
        """Store an object; return ``None`` on success."""
        try:
            status, _ = await self._endpoint.request(
                'PUT',
                f'/objects/{name}',
                body,
            )
        except _CALL_ERRORS as error:
            return metadata_store.Unavailable(_format_error(error))
        if status not in _HTTP_STORED:
            return metadata_store.Unavailable(f'status {status}')
        return None

    async def get(self, name: str) -> bytes | metadata_store.Unavailable | None:
        """Return an object; ``None`` if it does not exist."""
        try:
            status, body = await self._endpoint.request(
                'GET',
                f'/objects/{name}',
            )
        except _CALL_ERRORS as error:
            return metadata_store.Unavailable(_format_error(error))
        if status == _HTTP_NOT_FOUND:
            return None
        if status != _HTTP_OK:
            return metadata_store.Unavailable(f'status {status}')
        return body

    async def names(
        self,
        prefix: str,
    ) -> tuple[str, ...] | metadata_store.Unavailable:
        """Return the names of objects that begin with the prefix, in order."""
        body = await self._endpoint.fetch('GET', '/objects', prefix=prefix)
        return _decode_answer(body, tuple[str, ...])


class HttpHostList:
    """Client of the host list."""

    def __init__(self, endpoint: _Endpoint) -> None:
        """Create a client of an endpoint."""
        self._endpoint = endpoint

    async def entries(
        self,
    ) -> tuple[metadata_store.HostEntry, ...] | metadata_store.Unavailable:
        """Return all entries of the host list."""
        body = await self._endpoint.fetch('GET', '/hosts')
        return _decode_answer(body, tuple[metadata_store.HostEntry, ...])


class _Reservation(msgspec.Struct):
    wait_s: float


class HttpWeightStore:
    """Client of the weight store."""

    def __init__(self, endpoint: _Endpoint) -> None:
        """Create a client of an endpoint."""
        self._endpoint = endpoint

    async def reserve(
        self,
        model: str,
        layers: str,
    ) -> float | metadata_store.Unavailable:
        """Reserve a load of layers; return the seconds until it may start."""
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
        """Create clients for the URLs in the settings."""
        timeout_s = settings.timeout_s

        def endpoint(url: object) -> _Endpoint:
            return _Endpoint(str(url), connections, timeout_s)

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
        """Create clients for four services behind one URL."""
        endpoint = _Endpoint(url, connections, timeout_s)
        return cls(
            HttpTableService(endpoint),
            HttpObjectStore(endpoint),
            HttpHostList(endpoint),
            HttpWeightStore(endpoint),
        )


def _decode_commit_result(body: bytes) -> metadata_store.CommitResult:
    answer = _decode_answer(body, _WireRows)
    if isinstance(answer, metadata_store.Unavailable):
        return metadata_store.InDoubt(answer.reason)
    if answer.committed:
        return metadata_store.Committed(answer.rows)
    return metadata_store.Conflict(answer.rows)


def _decode_answer(body: bytes | metadata_store.Unavailable, kind: Any) -> Any:
    if isinstance(body, metadata_store.Unavailable):
        return body
    try:
        return _decode(body, type=kind)
    except msgspec.MsgspecError as error:
        return metadata_store.Unavailable(_format_error(error))


def _format_error(error: BaseException) -> str:
    return f'{type(error).__name__}: {error}'
