"""Parses and formats the HTTP headers defined by the platform.

Implements :class:`~nutmegspoke.forwarded.HeaderCodec`.
"""

from __future__ import annotations

import logging
import math
import re
from typing import TYPE_CHECKING

from nutmegspoke.forwarded import (
    AnswerFacts,
    AnswerKind,
    Dispatch,
    Headers,
    RequestFacts,
)

if TYPE_CHECKING:
    from nutmegspoke.forwarded import CallerRequest

logger = logging.getLogger(__name__)

_REQUEST_ID = b'attempt-id'
_DEADLINE = b'deadline-ms'
_TEAM_KEY = b'key'
_TEAM = b'tenant'
# Prompt tokens and maximum answer tokens, in this order.
_TOKEN_COUNTS = b'token-counts'
# ID:TOKENS of each part of the prompt, in order.
_PROMPT_PARTS = b'prompt-prefix'
_ANSWER_HINT = b'length-hint'
_RESUME_AFTER = b'last-event-id'
_EXPECTED_TARGET = b'expect-instance'
_CHAIN = b'hops'
_URGENCY = b'urgency'
_RESPONSE_SEAL = b'response-seal'
_NOT_RUN = b'not-executed'
_TARGET_AT_FAULT = b'at-server'
_SERVER_LOAD = b'server-load'
_RETRY_AFTER = b'retry-after'
_SERVER_LIMIT = b'server-limit'
SERVER_LEAVING = b'server-leaving'

_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
    )
)
# Headers that only the router may set; those sent by a caller are dropped.
_ROUTER_ONLY = frozenset(
    (
        _DEADLINE,
        _TEAM_KEY,
        _TEAM,
        _RESUME_AFTER,
        _EXPECTED_TARGET,
        _CHAIN,
        _URGENCY,
        b'expect-version',
    )
)
_NOT_FORWARDED = _HOP_BY_HOP | _ROUTER_ONLY
_NOT_RETURNED = _HOP_BY_HOP
_EVENT_STREAM = b'text/event-stream'
_MS_PER_S = 1_000
_MISDIRECTED = 421
# Statuses with which a target may ask for a pause.
_BUSY_STATUSES = frozenset((429, 503))
# Longest pause that is granted; a target that asks for more is mistaken.
_MAX_PAUSE_S = 60.0
_BAD_REQUEST = 400
_SUCCESS = range(200, 300)
_CRLF = b'\r\n'
# Longer numbers count as invalid; arithmetic with them could overflow.
_MAX_COUNT_DIGITS = 15
# A decimal number; higher limits would not bind.
_LIMIT = re.compile(rb'[0-9]{1,6}([.][0-9]{1,9})?')
# Part of an invalid header that is logged.
_LOGGED_BYTES = 40
_PART_ID = re.compile(rb'[0-9a-f]{1,64}')
_MAX_SHARED_PARTS = 64


def read_request(request: CallerRequest) -> RequestFacts:
    """Parse the headers of a request; invalid values count as absent."""
    fields = _index_by_name(request.headers)
    prompt_count, max_answer = _parse_token_counts(
        fields.get(_TOKEN_COUNTS, b'')
    )
    deadline_ms = _parse_number(fields.get(_DEADLINE))
    return RequestFacts(
        request_id=_decode_text(fields.get(_REQUEST_ID)),
        host_name=_decode_text(fields.get(b'host')).partition(':')[0].lower(),
        path=request.url.partition(b'?')[0].decode('latin-1'),
        deadline_s=None if deadline_ms is None else deadline_ms / _MS_PER_S,
        team_key=_decode_text(fields.get(_TEAM_KEY)),
        prompt_tokens=prompt_count,
        max_answer_tokens=max_answer,
        hinted_answer_tokens=_parse_number(fields.get(_ANSWER_HINT)),
        resume_after=_decode_text(fields.get(_RESUME_AFTER)),
        shared_parts=_parse_shared_parts(fields.get(_PROMPT_PARTS, b'')),
    )


def write_request(request: CallerRequest, dispatch: Dispatch) -> bytes:
    """Return the bytes of a request for a target, including the body."""
    lines = [b'%s %s HTTP/1.1' % (request.method, request.url)]
    lines.extend(
        b'%s: %s' % (name, text)
        for name, text in request.headers
        if name.lower() not in _NOT_FORWARDED
    )
    lines.extend(_format_dispatch(dispatch))
    if request.body or request.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'Content-Length: %d' % len(request.body))
    return _CRLF.join((*lines, b'', request.body))


def read_answer(status: int, headers: Headers) -> AnswerFacts:
    """Parse the status and headers of an answer."""
    fields = _index_by_name(headers)
    limit_per_s, invalid_limit = _parse_limit(headers)
    return AnswerFacts(
        request_id=_decode_text(fields.get(_REQUEST_ID)),
        kind=_classify_answer(status, fields),
        unreachable_address=_decode_text(fields.get(_TARGET_AT_FAULT)),
        load=_parse_load(fields.get(_SERVER_LOAD)),
        keep_alive_s=_parse_keep_alive(fields.get(b'keep-alive')),
        must_close=b'close' in fields.get(b'connection', b'').lower(),
        pause_s=_parse_pause(status, fields.get(_RETRY_AFTER)),
        limit_per_s=limit_per_s,
        invalid_limit=invalid_limit,
        is_other_target=status == _MISDIRECTED,
        is_leaving=fields.get(SERVER_LEAVING, b'').strip() == b'1',
        is_event_stream=_is_event_stream(fields.get(b'content-type', b'')),
    )


def answers_request(headers: Headers, request_id: str) -> bool:
    """Return whether an answer can belong to the request.

    An answer without a request id is accepted.
    """
    raw_id = _index_by_name(headers).get(_REQUEST_ID)
    return raw_id is None or _decode_text(raw_id) == request_id


def returned_headers(headers: Headers) -> Headers:
    """Return the headers of an answer that are forwarded to the caller."""
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in _NOT_RETURNED
    ]


def own_answer_headers(request_id: str) -> Headers:
    """Return the headers of an answer generated by the router."""
    return [(b'Attempt-Id', request_id.encode('latin-1'))]


def _format_dispatch(dispatch: Dispatch) -> list[bytes]:
    time_left_ms = max(1, int(dispatch.time_left_s * _MS_PER_S))
    lines = [
        b'Deadline-Ms: %d' % time_left_ms,
        b'Expect-Instance: %s' % dispatch.target.encode('latin-1'),
    ]
    if dispatch.team:
        lines.append(b'Tenant: %s' % dispatch.team.encode('latin-1'))
    if dispatch.resume_after:
        event_id = dispatch.resume_after.encode('latin-1')
        lines.append(b'Last-Event-Id: %s' % event_id)
    if dispatch.chain:
        hops = chain_text(dispatch.chain).encode('latin-1')
        lines.append(b'Hops: %s' % hops)
    if dispatch.urgency is not None:
        lines.append(b'Urgency: %d' % dispatch.urgency)
    return lines


def chain_text(chain: tuple[tuple[str, int, int], ...]) -> str:
    """Return a chain as comma-separated ``IP:PORT=FROM-TO`` entries."""
    return ','.join(
        f'{address}={start}-{stop}' for address, start, stop in chain
    )


def _classify_answer(status: int, fields: dict[bytes, bytes]) -> AnswerKind:
    if _NOT_RUN in fields or status == _MISDIRECTED:
        return AnswerKind.NOT_RUN
    if b'content-encoding' in fields:
        return AnswerKind.INVALID
    if status in _SUCCESS:
        return (
            AnswerKind.SUCCESS
            if _RESPONSE_SEAL in fields
            else AnswerKind.INVALID
        )
    if status == _BAD_REQUEST and _REQUEST_ID not in fields:
        return AnswerKind.NOT_RUN
    return AnswerKind.FAILURE


def _is_event_stream(content_type: bytes) -> bool:
    media_type = content_type.partition(b';')[0]
    return media_type.strip().lower() == _EVENT_STREAM


def _index_by_name(headers: Headers) -> dict[bytes, bytes]:
    return {name.lower(): text for name, text in headers}


def _decode_text(raw: bytes | None) -> str:
    return (raw or b'').decode('latin-1')


def _parse_number(raw: bytes | None) -> float | None:
    if raw is None:
        return None
    try:
        number = float(raw)
    except ValueError:
        number = math.nan
    if math.isfinite(number):
        return max(0.0, number)
    logger.info('headers: invalid number: %r', raw)
    return None


def _parse_pause(status: int, raw: bytes | None) -> float:
    """Return the pause in seconds that an answer asks for; 0 for none."""
    if status not in _BUSY_STATUSES:
        return 0.0
    pause_s = _parse_number(raw) or 0.0
    if pause_s > _MAX_PAUSE_S:
        logger.info('headers: pause of %r s is too long', raw)
    return min(pause_s, _MAX_PAUSE_S)


def _parse_limit(headers: Headers) -> tuple[float | None, str]:
    """Return the limit that an answer names, and an invalid one as text."""
    named = [raw for name, raw in headers if name.lower() == _SERVER_LIMIT]
    if not named:
        return None, ''
    text = named[0].strip()
    if len(named) == 1 and _LIMIT.fullmatch(text):
        return float(text), ''
    return None, repr(b', '.join(named)[:_LOGGED_BYTES])


def _parse_count(raw: bytes) -> int | None:
    text = raw.strip()
    if text.isdigit() and len(text) <= _MAX_COUNT_DIGITS:
        return int(text)
    return None


def _parse_token_counts(raw: bytes) -> tuple[int, int]:
    prompt_text, _, answer_text = raw.partition(b',')
    prompt_count = _parse_count(prompt_text)
    max_answer = _parse_count(answer_text)
    if prompt_count is None or max_answer is None:
        return 0, 0
    return prompt_count, max_answer


def _parse_shared_parts(raw: bytes) -> tuple[str, ...]:
    *shared, _ = raw.lower().split(b',')
    ids = [entry.partition(b':')[0].strip() for entry in shared]
    valid_ids = dict.fromkeys(each for each in ids if _PART_ID.fullmatch(each))
    return tuple(each.decode() for each in valid_ids)[:_MAX_SHARED_PARTS]


def _parse_load(raw: bytes | None) -> tuple[int, int, int] | None:
    counts = [_parse_count(part) for part in (raw or b'').split(b',')]
    match counts:
        case [int(running), int(queued), int(slots)]:
            return running, queued, slots
        case _:
            return None


def _parse_keep_alive(raw: bytes | None) -> float | None:
    for part in (raw or b'').split(b','):
        name, _, text = part.strip().partition(b'=')
        if name.lower() == b'timeout' and text.isdigit():
            return float(text)
    return None
