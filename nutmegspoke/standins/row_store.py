"""Stand-in of the users' metadata store; implements its published protocol."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
from typing import TYPE_CHECKING, Any

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Sequence

_OK = 200
_CONFLICT = 412
_GONE = 410
_ERA_HEADER = 'Store-Era'


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Injected faults.

    :param refuses: calls are answered with status 503 and not run.
    :param loses_answers: writes are applied, then their connection is reset.
    :param is_silent: calls get no answer, not even those that wait for a change
        when the silence begins.
    :param has_no_rows: reads of rows are answered with status 410.
    """

    refuses: bool = False
    loses_answers: bool = False
    is_silent: bool = False
    has_no_rows: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """State of a store at one moment."""

    version: int
    rows: dict[tuple[str, str], tuple[int, str]]
    history: list[dict[str, Any]]


class RowStore:
    """Table rows versioned by one counter, with transactions and feeds.

    :ivar lost_calls: number of calls that never get an answer.
    :ivar polled_after: by table, the version after which changes were last
        asked for.
    :ivar era: raised each time that the store comes back from a copy.
    """

    def __init__(self) -> None:
        """Start without rows and faults."""
        self.faults = StoreFaults()
        self.calls = 0
        self.lost_calls = 0
        self.polled_after: dict[str, int] = {}
        self.era = 1
        self._version = 0
        self._rows: dict[tuple[str, str], tuple[int, str]] = {}
        self._history: list[dict[str, Any]] = []
        self._dropped_version = 0
        self._changed = asyncio.Condition()

    async def put(
        self, table: str, key: str, body: bytes | None, part: str = ''
    ) -> None:
        """Write a row as an operator or target does; ``None`` removes it.

        :param part: part of the table; only feeds return rows of others than
            the empty one.
        """
        self._version += 1
        encoded = None if body is None else base64.b64encode(body).decode()
        self._apply(table, key, encoded, part)
        await self._notify_feeds()

    def body(self, table: str, key: str) -> bytes | None:
        """Return the body of a row; ``None`` if there is no such row."""
        found = self._rows.get((table, key))
        return None if found is None else base64.b64decode(found[1])

    def drop_history(self) -> None:
        """Drop the history, so that feeds must list the table again."""
        self._history.clear()
        self._dropped_version = self._version

    def copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return StoreCopy(self._version, dict(self._rows), list(self._history))

    async def come_back_from(
        self,
        copy: StoreCopy,
        rewritten: Sequence[tuple[str, str, bytes]] = (),
    ) -> None:
        """Continue from a copy; what was written since is lost.

        Versions are given out again, and feeds that wait are cut.

        :param rewritten: table, key and body of rows that are written again
            before any call is answered.
        """
        self.era += 1
        self._version = copy.version
        self._rows = dict(copy.rows)
        self._history = list(copy.history)
        for table, key, body in rewritten:
            self._version += 1
            self._apply(table, key, base64.b64encode(body).decode())
        await self._notify_feeds()

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(middlewares=[self._apply_faults])
        app.on_response_prepare.append(self._add_era)
        app.router.add_get('/v1/rows-get', self._handle_get)
        app.router.add_get('/v1/rows-feed', self._handle_feed)
        app.router.add_post('/v1/rows-tx', self._handle_transaction)
        return app

    async def _add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers[_ERA_HEADER] = str(self.era)

    @web.middleware
    async def _apply_faults(
        self,
        request: web.Request,
        handler: Any,
    ) -> web.StreamResponse:
        self.calls += 1
        if self.faults.is_silent:
            await self._keep_silent()
        if self.faults.refuses:
            return web.Response(status=503)
        response = await handler(request)
        if self.faults.is_silent:
            await self._keep_silent()
        if self.faults.loses_answers and request.method == 'POST':
            assert request.transport is not None
            request.transport.abort()
        return response

    async def _keep_silent(self) -> None:
        self.lost_calls += 1
        await asyncio.Event().wait()

    async def _handle_get(self, request: web.Request) -> web.Response:
        table = request.query['table']
        first = request.query.get('from', '')
        limit = int(request.query.get('limit', '500'))
        if self.faults.has_no_rows:
            return web.Response(status=_GONE)
        keys = sorted(
            key for owner, key in self._rows if owner == table and key >= first
        )
        rows = [self._row(table, key) for key in keys[:limit]]
        return self._respond(rows, truncated=len(keys) > limit)

    async def _handle_feed(self, request: web.Request) -> web.Response:
        table = request.query['table']
        after = int(request.query['after'])
        wait_s = int(request.query.get('wait_ms', '0')) / 1_000
        if not self._dropped_version <= after <= self._version:
            return web.Response(status=_GONE)
        self.polled_after[table] = after
        era = self.era
        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(
                        lambda: (
                            self.era != era
                            or bool(self._changes_after(table, after))
                        ),
                    )
            except TimeoutError:
                return self._respond([])
        if self.era != era:
            assert request.transport is not None
            request.transport.abort()
        return self._respond(self._changes_after(table, after))

    async def _handle_transaction(self, request: web.Request) -> web.Response:
        call = await request.json()
        preconditions = call['precondition']
        for row in preconditions:
            found = self._rows.get(_row_key(row), (0, ''))
            if found[0] != row['ver']:
                rows = [
                    self._row(*_row_key(expected))
                    for expected in preconditions
                    if _row_key(expected) in self._rows
                ]
                return self._respond(rows, status=_CONFLICT)
        self._version += 1
        for row in call['writes']:
            self._apply(*_row_key(row), row['value'])
        for row in call['remove']:
            self._apply(*_row_key(row), None)
        await self._notify_feeds()
        return web.json_response({'ver': self._version, 'now_ms': 0})

    def _apply(
        self, table: str, key: str, encoded: str | None, part: str = ''
    ) -> None:
        change: dict[str, Any] = {
            'table': table,
            'part': part,
            'key': key,
            'ver': self._version,
        }
        if encoded is None:
            change['removed'] = True
        else:
            change['value'] = encoded
        self._history.append(change)
        if part:
            return
        if encoded is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = (self._version, encoded)

    async def _notify_feeds(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _changes_after(self, table: str, after: int) -> list[dict[str, Any]]:
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

    def _respond(
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


def _row_key(row: dict[str, Any]) -> tuple[str, str]:
    """Return the table and key of a row in a call."""
    return row['table'], row['key']
