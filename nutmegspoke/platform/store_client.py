"""Client of the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import binascii
import logging
from typing import TYPE_CHECKING, Any

import msgspec

from nutmegspoke.http_calls import NotSentError

from nutmegspoke.metadata_store import (
    ABSENT_VERSION,
    Committed,
    Conflict,
    HistoryLost,
    InDoubt,
    StoredRow,
    TableChanges,
    Unavailable,
)
from nutmegspoke.untrusted import UndecodableError, UntrustedDecoder

if TYPE_CHECKING:
    from nutmegspoke.http_calls import CallAnswer, HttpCalls
    from nutmegspoke.metadata_store import (
        CommitResult,
        Transaction,
    )

logger = logging.getLogger(__name__)

# The store usually answers in a few milliseconds; a slow one takes tens of times
# as long.
CALL_TIMEOUT_S = 1.5
# Time after which an answer is overdue, so that the call is made a second time on
# a new connection.
_PATIENCE_S = 0.35
_PAGE_ROWS = 500
# Numbers of this length fit into the integers of datagrams.
_MAX_ERA_DIGITS = 18

_ERA_HEADER = 'store-era'
_OK = 200
_CONFLICT = 412
_GONE = 410
_NOT_APPLIED_STATUSES = frozenset((400, 403, 429, 503))
_CALL_ERRORS = (TimeoutError, OSError)


class _WireRow(msgspec.Struct):
    table: str
    key: str
    # Feeds return the rows of all parts; those used here have none.
    part: str = ''
    ver: int = ABSENT_VERSION
    # Base64; absent for a removed row.
    value: str | None = None
    removed: bool = False


class _WireRows(msgspec.Struct):
    rows: list[_WireRow] = msgspec.field(default_factory=list)
    # Latest version of the whole store, not of these rows.
    ver: int = 0
    truncated: bool = False
    # From the answer's header.
    era: int = 0


_rows_decoder = UntrustedDecoder.from_json(_WireRows)


class StoreClient:
    """Client for rows, transactions and change feeds of the store.

    :param address: ``IP:PORT`` of the store.
    :param http: HTTP client used for all calls.
    """

    def __init__(self, address: str, http: HttpCalls) -> None:
        """Store the HTTP client, which the caller must close."""
        self.use_address(address)
        self._http = http

    def use_address(self, address: str) -> None:
        """Send later calls to this ``IP:PORT``."""
        self._address = address

    async def read(self, key: str) -> StoredRow | Unavailable:
        """Return a row, with version 0 if it is absent.

        :param key: ``TABLE/NAME``.
        """
        table, _, name = key.partition('/')
        query = {'table': table, 'part': '', 'from': name, 'limit': '1'}
        answer = await self._request_rows(query)
        if isinstance(answer, Unavailable):
            return answer
        for row in answer.rows:
            if row.key == name:
                return _to_stored_row(row)
        return StoredRow(key, ABSENT_VERSION)

    async def snapshot(self, table: str) -> TableChanges | Unavailable:
        """Return all rows of a table and the store version for its feed.

        A large table is read in pages. The version is that of the first page,
        so the feed repeats changes made while later pages were read.
        """
        query = {'table': table, 'part': '', 'limit': str(_PAGE_ROWS)}
        rows: list[StoredRow] = []
        first: _WireRows | None = None
        while True:
            answer = await self._request_rows(query)
            if isinstance(answer, Unavailable):
                return answer
            first = first or answer
            if answer.era != first.era:
                return Unavailable('store went back between two pages')
            rows.extend(_to_stored_row(row) for row in answer.rows)
            if not answer.truncated or not answer.rows:
                newest = max((row.version for row in rows), default=0)
                return TableChanges(
                    first.ver, tuple(rows), (), newest, first.era
                )
            query['from'] = f'{answer.rows[-1].key}\0'

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> TableChanges | HistoryLost | Unavailable:
        """Return the changes after a version; wait for at least one.

        :param table: name of the table.
        :param after: version after which changes are returned.
        :param wait_s: time to wait if there is no change yet.
        """
        query = {
            'table': table,
            'after': str(after),
            'wait_ms': str(int(wait_s * 1_000)),
        }
        answer = await self._request_feed(query, wait_s)
        if isinstance(answer, HistoryLost | Unavailable):
            return answer
        # A row that was removed and written again is listed once for each.
        last = {row.key: row for row in answer.rows}
        return TableChanges(
            version=answer.ver,
            rows=tuple(
                _to_stored_row(row)
                for row in answer.rows
                if row is last[row.key] and not row.removed
            ),
            removed=tuple(row.key for row in last.values() if row.removed),
            newest_change=max((row.ver for row in answer.rows), default=0),
            era=answer.era,
        )

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Commit a transaction.

        A failure to connect gives :class:`Unavailable`, since nothing was sent.
        Any later failure gives :class:`InDoubt`.
        """
        body = msgspec.json.encode(_encode_transaction(transaction))
        try:
            answer = await self._request(
                'POST', '/v1/rows-tx', {}, CALL_TIMEOUT_S, body
            )
        except NotSentError as error:
            return Unavailable(repr(error))
        except _CALL_ERRORS as error:
            return InDoubt(repr(error))
        return _parse_commit_answer(answer.status, answer.body, transaction)

    async def _request_rows(
        self,
        query: dict[str, str],
    ) -> _WireRows | Unavailable:
        try:
            answer = await self._request(
                'GET',
                '/v1/rows-get',
                query,
                CALL_TIMEOUT_S,
                patience_s=_PATIENCE_S,
            )
        except _CALL_ERRORS as error:
            return _call_failure(error)
        return _parse_rows(answer)

    async def _request_feed(
        self,
        query: dict[str, str],
        wait_s: float,
    ) -> _WireRows | HistoryLost | Unavailable:
        try:
            answer = await self._request(
                'GET',
                '/v1/rows-feed',
                query,
                wait_s + CALL_TIMEOUT_S,
                patience_s=wait_s + _PATIENCE_S,
            )
        except _CALL_ERRORS as error:
            return _call_failure(error)
        if answer.status == _GONE:
            return HistoryLost()
        return _parse_rows(answer)

    async def _request(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        timeout_s: float,
        body: bytes = b'',
        patience_s: float | None = None,
    ) -> CallAnswer:
        headers = {'Content-Type': 'application/json'} if body else None
        async with asyncio.timeout(timeout_s):
            return await self._http.call(
                method, self._address, path, body, headers, query, patience_s
            )


def _call_failure(error: Exception) -> Unavailable:
    return Unavailable(repr(error), is_silent=isinstance(error, TimeoutError))


def _parse_era(answer: CallAnswer) -> int:
    """Return the era; 0 if there is none."""
    text = answer.headers.get(_ERA_HEADER, '')
    is_number = text.isascii() and text.isdecimal()
    return int(text[:_MAX_ERA_DIGITS]) if is_number else 0


def _parse_rows(answer: CallAnswer) -> _WireRows | Unavailable:
    if answer.status != _OK:
        return Unavailable(f'status {answer.status}')
    try:
        rows = _rows_decoder.decode(answer.body)
    except UndecodableError as error:
        return Unavailable(f'unreadable answer: {error}')
    rows.era = _parse_era(answer)
    rows.rows = [row for row in rows.rows if not row.part]
    return rows


def _to_stored_row(row: _WireRow) -> StoredRow:
    key = f'{row.table}/{row.key}'
    try:
        body = base64.b64decode(row.value or '', validate=True)
    except (binascii.Error, ValueError) as error:
        logger.warning('store: row %s is not base64: %s', key, error)
        body = b''
    return StoredRow(key, row.ver, body)


def _encode_key(key: str) -> dict[str, str]:
    table, _, name = key.partition('/')
    return {'table': table, 'part': '', 'key': name}


def _encode_transaction(transaction: Transaction) -> dict[str, Any]:
    writes: list[dict[str, str]] = []
    removed: list[dict[str, str]] = []
    for write in transaction.writes:
        encoded_key = _encode_key(write.key)
        if write.body is None:
            removed.append(encoded_key)
        else:
            encoded_body = base64.b64encode(write.body).decode()
            writes.append(encoded_key | {'value': encoded_body})
    return {
        'precondition': [
            _encode_key(condition.key) | {'ver': condition.version}
            for condition in transaction.conditions
        ],
        'writes': writes,
        'remove': removed,
    }


def _parse_commit_answer(
    status: int,
    body: bytes,
    transaction: Transaction,
) -> CommitResult:
    if status in _NOT_APPLIED_STATUSES:
        return Unavailable(f'status {status}')
    try:
        answer = _rows_decoder.decode(body)
    except UndecodableError as error:
        return InDoubt(f'status {status}, unreadable answer: {error}')
    if status == _CONFLICT:
        return Conflict(_find_condition_rows(answer, transaction))
    if status != _OK:
        return InDoubt(f'status {status}')
    return Committed(
        tuple(
            StoredRow(write.key, answer.ver, write.body or b'')
            for write in transaction.writes
        ),
    )


def _find_condition_rows(
    answer: _WireRows,
    transaction: Transaction,
) -> tuple[StoredRow, ...]:
    """Return the current row of each condition, absent ones with version 0."""
    found = {row.key: row for row in map(_to_stored_row, answer.rows)}
    return tuple(
        found.get(condition.key, StoredRow(condition.key, ABSENT_VERSION))
        for condition in transaction.conditions
    )
