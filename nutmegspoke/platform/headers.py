"""Reads and writes the headers that the platform names."""

from __future__ import annotations

import logging
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
# Prompt tokens and the most tokens of the answer, in this order.
_TOKEN_COUNTS = b'token-counts'
_ANSWER_HINT = b'length-hint'
_RESUME_AFTER = b'last-event-id'
_EXPECTED_TARGET = b'expect-instance'
_CHAIN = b'hops'
_SEAL = b'response-seal'
_NOT_RUN = b'not-executed'
_TARGET_AT_FAULT = b'at-server'
_LOAD = b'server-load'

_PER_CONNECTION = frozenset(
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
# Headers that only the router may set; a caller's own are dropped.
_OWN = frozenset(
    (
        _DEADLINE,
        _TEAM_KEY,
        _TEAM,
        _RESUME_AFTER,
        _EXPECTED_TARGET,
        _CHAIN,
        b'urgency',
        b'expect-version',
    )
)
_NOT_FORWARDED = _PER_CONNECTION | _OWN
_NOT_RETURNED = _PER_CONNECTION
_MS_PER_S = 1_000
_MISDIRECTED = 421
_BAD_REQUEST = 400
_SUCCESS = range(200, 300)
_CRLF = b'\r\n'


def read_request(request: CallerRequest) -> RequestFacts:
    """Return what the headers of a request say; wrong values count as absent."""
    found = _by_name(request.headers)
    prompt, longest = _token_counts(found.get(_TOKEN_COUNTS, b''))
    deadline_ms = _number(found.get(_DEADLINE))
    return RequestFacts(
        request_id=_text(found.get(_REQUEST_ID)),
        host_name=_text(found.get(b'host')).partition(':')[0].lower(),
        path=request.url.partition(b'?')[0].decode('latin-1'),
        deadline_s=None if deadline_ms is None else deadline_ms / _MS_PER_S,
        team_key=_text(found.get(_TEAM_KEY)),
        prompt_tokens=prompt,
        max_answer_tokens=longest,
        hinted_answer_tokens=_number(found.get(_ANSWER_HINT)),
        resume_after=_text(found.get(_RESUME_AFTER)),
    )


def write_request(request: CallerRequest, dispatch: Dispatch) -> bytes:
    """Return a request as it goes to a target, body included."""
    lines = [b'%s %s HTTP/1.1' % (request.method, request.url)]
    lines.extend(
        b'%s: %s' % (name, text)
        for name, text in request.headers
        if name.lower() not in _NOT_FORWARDED
    )
    lines.extend(_dispatch_lines(dispatch))
    if request.body or request.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'Content-Length: %d' % len(request.body))
    return _CRLF.join((*lines, b'', request.body))


def read_answer(status: int, headers: Headers) -> AnswerFacts:
    """Return what the head of an answer says."""
    found = _by_name(headers)
    return AnswerFacts(
        request_id=_text(found.get(_REQUEST_ID)),
        kind=_answer_kind(status, found),
        target_at_fault=_text(found.get(_TARGET_AT_FAULT)),
        load=_load(found.get(_LOAD)),
        keep_alive_s=_keep_open(found.get(b'keep-alive')),
        must_close=b'close' in found.get(b'connection', b'').lower(),
    )


def answers_request(headers: Headers, request_id: str) -> bool:
    """Tell whether an answer is to a request; one without id may be."""
    found = _by_name(headers).get(_REQUEST_ID)
    return found is None or _text(found) == request_id


def returned_headers(headers: Headers) -> Headers:
    """Return the headers of an answer that go on to the caller."""
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in _NOT_RETURNED
    ]


def own_answer_headers(request_id: str) -> Headers:
    """Return the headers of an answer of the router's own."""
    return [(b'Attempt-Id', request_id.encode('latin-1'))]


def _dispatch_lines(dispatch: Dispatch) -> list[bytes]:
    left_ms = max(1, int(dispatch.time_left_s * _MS_PER_S))
    lines = [
        b'Deadline-Ms: %d' % left_ms,
        b'Expect-Instance: %s' % dispatch.target.encode('latin-1'),
    ]
    if dispatch.team:
        lines.append(b'Tenant: %s' % dispatch.team.encode('latin-1'))
    if dispatch.resume_after:
        mark = dispatch.resume_after.encode('latin-1')
        lines.append(b'Last-Event-Id: %s' % mark)
    if dispatch.chain:
        hops = chain_text(dispatch.chain).encode('latin-1')
        lines.append(b'Hops: %s' % hops)
    return lines


def chain_text(chain: tuple[tuple[str, int, int], ...]) -> str:
    """Return a chain as ``IP:PORT=FROM-TO`` entries."""
    return ','.join(
        f'{address}={start}-{stop}' for address, start, stop in chain
    )


def _answer_kind(status: int, found: dict[bytes, bytes]) -> AnswerKind:
    if _NOT_RUN in found or status == _MISDIRECTED:
        return AnswerKind.NOT_RUN
    if b'content-encoding' in found:
        return AnswerKind.INVALID
    if status in _SUCCESS:
        return AnswerKind.SUCCESS if _SEAL in found else AnswerKind.INVALID
    if status == _BAD_REQUEST and _REQUEST_ID not in found:
        return AnswerKind.NOT_RUN
    return AnswerKind.FAILURE


def _by_name(headers: Headers) -> dict[bytes, bytes]:
    return {name.lower(): text for name, text in headers}


def _text(raw: bytes | None) -> str:
    return (raw or b'').decode('latin-1')


def _number(raw: bytes | None) -> float | None:
    if raw is None:
        return None
    try:
        return max(0.0, float(raw))
    except ValueError:
        logger.info('headers: not a number: %r', raw)
        return None


def _token_counts(raw: bytes) -> tuple[int, int]:
    prompt, _, longest = raw.partition(b',')
    if prompt.isdigit() and longest.isdigit():
        return int(prompt), int(longest)
    return 0, 0


def _load(raw: bytes | None) -> tuple[int, int, int] | None:
    parts = (raw or b'').split(b',')
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return running, waiting, slots


def _keep_open(raw: bytes | None) -> float | None:
    for part in (raw or b'').split(b','):
        name, _, text = part.strip().partition(b'=')
        if name.lower() == b'timeout' and text.isdigit():
            return float(text)
    return None
