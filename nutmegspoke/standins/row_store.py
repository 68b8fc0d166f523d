"""Stand-in of the users' metadata store, by its published protocol."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
from typing import Any

from aiohttp import web

_OK = 200
_CONFLICT = 412
_GONE = 410


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """What goes wrong on purpose.

    :param refuses: calls are answered 503, nothing is done.
    :param loses_answers: writes are done and their connection is cut.
    :param is_silent: calls get no answer.
    """

    refuses: bool = False
    loses_answers: bool = False
    is_silent: bool = False


class RowStore:
    """Rows with versions of one counter, transactions and feeds."""

    def __init__(self) -> None:
        """Start empty."""
        self.faults = StoreFaults()
        self.calls = 0
        self._version = 0
        self._rows: dict[tuple[str, str], tuple[int, str]] = {}
        self._history: list[dict[str, Any]] = []
        self._forgotten = 0
        self._changed = asyncio.Condition()

    async def put(self, table: str, key: str, body: bytes | None) -> None:
        """Write a row as the operator or a target does; ``None`` drops it."""
        self._version += 1
        encoded = None if body is None else base64.b64encode(body).decode()
        self._apply(table, key, encoded)
        await self._tell()

    def body(self, table: str, key: str) -> bytes | None:
        """Return what a row holds."""
        found = self._rows.get((table, key))
        return None if found is None else base64.b64decode(found[1])

    def drop_history(self) -> None:
        """Drop the history, so that feeds must start anew."""
        self._history.clear()
        self._forgotten = self._version

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(middlewares=[self._fault])
        app.router.add_get('/v1/rows-get', self._get)
        app.router.add_get('/v1/rows-feed', self._feed)
        app.router.add_post('/v1/rows-tx', self._transact)
        return app

    @web.middleware
    async def _fault(
        self,
        request: web.Request,
        handler: Any,
    ) -> web.StreamResponse:
        self.calls += 1
        if self.faults.is_silent:
            await asyncio.Event().wait()
        if self.faults.refuses:
            return web.Response(status=503)
        response = await handler(request)
        if self.faults.loses_answers and request.method == 'POST':
            assert request.transport is not None
            request.transport.abort()
        return response

    async def _get(self, request: web.Request) -> web.Response:
        table = request.query['table']
        first = request.query.get('from', '')
        limit = int(request.query.get('limit', '500'))
        keys = sorted(
            key for owner, key in self._rows if owner == table and key >= first
        )
        rows = [self._row(table, key) for key in keys[:limit]]
        return self._answer(rows, truncated=len(keys) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        table = request.query['table']
        after = int(request.query['after'])
        wait_s = int(request.query.get('wait_ms', '0')) / 1_000
        if after < self._forgotten:
            return web.Response(status=_GONE)
        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(
                        lambda: bool(self._since(table, after)),
                    )
            except TimeoutError:
                return self._answer([])
        return self._answer(self._since(table, after))

    async def _transact(self, request: web.Request) -> web.Response:
        call = await request.json()
        wanted = call['precondition']
        for row in wanted:
            found = self._rows.get(_place(row), (0, ''))
            if found[0] != row['ver']:
                rows = [
                    self._row(*_place(one))
                    for one in wanted
                    if _place(one) in self._rows
                ]
                return self._answer(rows, status=_CONFLICT)
        self._version += 1
        for row in call['writes']:
            self._apply(*_place(row), row['value'])
        for row in call['remove']:
            self._apply(*_place(row), None)
        await self._tell()
        return web.json_response({'ver': self._version, 'now_ms': 0})

    def _apply(self, table: str, key: str, encoded: str | None) -> None:
        change: dict[str, Any] = {
            'table': table,
            'part': '',
            'key': key,
            'ver': self._version,
        }
        if encoded is None:
            self._rows.pop((table, key), None)
            change['removed'] = True
        else:
            self._rows[table, key] = (self._version, encoded)
            change['value'] = encoded
        self._history.append(change)

    async def _tell(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _since(self, table: str, after: int) -> list[dict[str, Any]]:
        return [
            change
            for change in self._history
            if change['table'] == table and change['ver'] > after
        ]

    def _row(self, table: str, key: str) -> dict[str, Any]:
        version, encoded = self._rows[table, key]
        return {
            'table': table,
            'part': '',
            'key': key,
            'value': encoded,
            'ver': version,
        }

    def _answer(
        self,
        rows: list[dict[str, Any]],
        *,
        status: int = _OK,
        truncated: bool = False,
    ) -> web.Response:
        return web.json_response(
            {
                'rows': rows,
                'truncated': truncated,
                'ver': self._version,
                'now_ms': 0,
            },
            status=status,
        )


def _place(row: dict[str, Any]) -> tuple[str, str]:
    """Return where a row of a call lies: its table and key."""
    return row['table'], row['key']
